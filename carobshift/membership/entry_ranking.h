// Ranks the live entries for one conversation, best first, by rendezvous
// hashing.
//
//   RankEntries({.account = a, .conversation = c, .zone = z}, live, 3);
//
// Load pattern: callers return after minutes to days and may ask any entry
// which one to use. Every entry must give the same answer without shared state,
// because the entry that served the conversation holds the directory of its KV
// blocks. With an unstable ranking, a returning prompt reaches an entry without
// that directory and is recomputed. Rendezvous hashing moves only the
// conversations of an entry that restarts; hashing modulo the number of entries
// would move nearly all of them.

#ifndef CAROBSHIFT_MEMBERSHIP_ENTRY_RANKING_H_
#define CAROBSHIFT_MEMBERSHIP_ENTRY_RANKING_H_

#include <cstddef>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/membership/member.h"

namespace carobshift {

struct RankingKey {
  AccountId account{};
  ConversationId conversation{};
  // The caller's availability zone; empty if unknown.
  ZoneName zone{};
};

// Returns at most `count` of `live`: entries in the caller's zone first, and
// within each group in descending order of the hash of (account, conversation,
// entry id). Thread-safe.
[[nodiscard]] std::vector<MemberInfo> RankEntries(
    const RankingKey& key,
    const std::vector<MemberInfo>& live,
    std::size_t count);

}  // namespace carobshift

#endif  // CAROBSHIFT_MEMBERSHIP_ENTRY_RANKING_H_
