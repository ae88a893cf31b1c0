// Records per conversation when it was last active, its usual gaps between
// turns and the sealed handles that hold its blocks.
//
//   ConversationTable table(ConversationTableOptions{});
//   std::vector<HandleId> orphans = table.OnTurn(key, now);
//   table.AddHandle(key, id);
//   const Conversation* known = table.Find(key);
//
// The address answer routes a conversation back to the same gateway instance,
// about 600 returning conversations per instance at the size planned for two
// years ahead, among many that never return. Without the table the blocks of a
// returning prompt would lie in a store without any reference to them. Without
// the bound, conversations that never return would exhaust the memory of the
// process over days.
//
// A conversation id is unique only within its client account. The key therefore
// consists of both, and both are compared in full: with a hash alone a caller
// could construct a collision and be offered the handles of another account.
//
// Sizing: kDefaultMaxConversations is 16 times the 600 above, to allow for an
// uneven distribution and for conversations of instances that left. Each takes
// about 340 bytes (cache_benchmark), or 820 with the record of its stored
// object.
//
// Eviction: the least recently active conversation that has never returned is
// evicted first. Returned conversations are evicted only once they fill
// kMaxReturnedFraction of the table. With a single LRU order, ten new
// conversation ids per second would evict every returning conversation within a
// quarter of an hour.

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

// Identifies a stored object within this process. Never reused.
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
// Handles of different prefixes or of second copies; the oldest is removed
// first.
inline constexpr std::size_t kMaxHandlesPerConversation = 4;
// Fraction of the table. The rest is reserved for new conversations, so that
// they stay long enough to be seen again.
inline constexpr double kMaxReturnedFraction = 0.8;

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

  // Records the end of a turn. Returns the handles of the conversation that was
  // evicted to make space, if any. No conversation refers to them any more; the
  // caller drops them.
  [[nodiscard]] std::vector<HandleId> OnTurn(const ConversationKey& key,
                                             MonotonicTime now);

  // Returns the handles that were removed by the limit per conversation, or
  // `handle` itself if the conversation is unknown.
  [[nodiscard]] std::vector<HandleId> AddHandle(const ConversationKey& key,
                                                HandleId handle);
  void RemoveHandle(const ConversationKey& key, HandleId handle);

  // Returns null if unknown. The pointer is valid until the next change.
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
  // Both lists are ordered by last activity, most recent first.
  Entries seen_once_;
  Entries returned_;
  std::unordered_map<ConversationKey, Entries::iterator> index_;
  GapModel population_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CACHE_CONVERSATION_TABLE_H_
