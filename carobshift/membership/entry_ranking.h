// Which entries a caller should use for one conversation, best first, by
// rendezvous hashing over the live entries.
//
//   RankEntries({.account = a, .conversation = c, .zone = z}, live, 3);
//
// Load pattern: callers return after minutes to days and ask any entry which
// one to use. Every entry must give the same answer without shared state, and
// the entry that served the conversation holds the directory of its blocks.
// Without a stable answer a return lands on an entry that knows nothing of the
// blocks and its prompt is recomputed; with hashing modulo the number of
// entries, one restart would move nearly all conversations, with rendezvous
// hashing it moves only those of that entry.

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
  // The caller's availability zone; empty if it is not known.
  ZoneName zone{};
};

// At most `count` of `live`, those of the caller's zone first, each group by
// falling hash of (account, conversation, entry id). Thread-safe.
[[nodiscard]] std::vector<MemberInfo> RankEntries(
    const RankingKey& key,
    const std::vector<MemberInfo>& live,
    std::size_t count);

}  // namespace carobshift

#endif  // CAROBSHIFT_MEMBERSHIP_ENTRY_RANKING_H_
