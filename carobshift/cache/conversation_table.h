// What this entry remembers of each conversation: when it was last seen, how
// long it usually stays away and which sealed handles hold its blocks.
//
//   ConversationTable table(ConversationTableOptions{});
//   std::vector<HandleId> orphans = table.OnTurn(key, now);
//   table.AddHandle(key, id);
//   const Conversation* known = table.Find(key);
//
// Load pattern: the address answer sends a conversation back to the same
// entry, about 600 returning ones per entry at the two-year size, among many
// that never return. Without the table a returning prompt's blocks would lie
// in a store with nobody to name them. Without the bound, conversations that
// never return would fill the process over days.
//
// A conversation id means something only within its client account, so both
// make the key, and both are compared in full: a hash alone could be made to
// collide, and one account would be offered another's handles.
//
// Grounds for the figures: kDefaultMaxConversations is 16 times the 600 of the
// two-year size, for uneven shares and for conversations of entries that left;
// each takes about 340 bytes (cache_benchmark), 820 with its stored object's
// record. Evicted first is, among those that have never returned, the one not
// seen for longest; the others follow only once they fill kReturnedShare of the
// table. With one order for all, ten new conversation ids a second would push
// out every returning conversation in a quarter of an hour.

#ifndef CAROBSHIFT_CACHE_CONVERSATION_TABLE_H_
#define CAROBSHIFT_CACHE_CONVERSATION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/cache/gap_model.h"

namespace carobshift {

// Names a stored object within this process; never reused.
using HandleId = StrongType<struct HandleIdTag, std::uint64_t>;

struct ConversationKey {
  AccountId account;
  ConversationId conversation;
  friend auto operator<=>(const ConversationKey&,
                          const ConversationKey&) = default;
};

}  // namespace carobshift

template <>
struct std::hash<carobshift::ConversationKey> {
  std::size_t operator()(
      const carobshift::ConversationKey& key) const noexcept {
    constexpr std::size_t kMultiplier = 0x9e3779b97f4a7c15;
    return std::hash<carobshift::AccountId>{}(key.account) * kMultiplier +
           std::hash<carobshift::ConversationId>{}(key.conversation);
  }
};

namespace carobshift {

inline constexpr std::size_t kDefaultMaxConversations = 10000;
// Different prefixes or second copies; the oldest goes first.
inline constexpr std::size_t kMaxHandlesPerConversation = 4;
// Of the table; room for new conversations to be seen again is left.
inline constexpr double kReturnedShare = 0.8;

struct ConversationTableOptions {
  std::size_t max_conversations = kDefaultMaxConversations;
};

struct Conversation {
  MonotonicTime last_seen;
  std::uint32_t turns = 0;
  GapHistory gaps;
  // Oldest first.
  std::vector<HandleId> handles;
};

// Thread-compatible.
class ConversationTable {
 public:
  explicit ConversationTable(const ConversationTableOptions& options);

  // Notes the end of a turn. Returns handles that no conversation names any
  // more because another conversation was evicted for this one; the caller
  // drops them.
  [[nodiscard]] std::vector<HandleId> OnTurn(const ConversationKey& key,
                                             MonotonicTime now);

  // Returns handles pushed out by the limit per conversation; `handle` itself
  // if the conversation is unknown.
  [[nodiscard]] std::vector<HandleId> AddHandle(const ConversationKey& key,
                                                HandleId handle);
  void RemoveHandle(const ConversationKey& key, HandleId handle);

  // Null if unknown; valid until the next change.
  [[nodiscard]] const Conversation* Find(const ConversationKey& key) const;
  [[nodiscard]] const GapModel& population() const { return population_; }
  [[nodiscard]] std::size_t size() const { return index_.size(); }

 private:
  struct Entry {
    ConversationKey key;
    Conversation conversation;
  };
  using Entries = std::list<Entry>;

  std::vector<HandleId> EvictOne();

  ConversationTableOptions options_;
  // Each with the last seen first.
  Entries seen_once_;
  Entries returned_;
  std::unordered_map<ConversationKey, Entries::iterator> index_;
  GapModel population_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CACHE_CONVERSATION_TABLE_H_
