// Queue of completed turns that wait for their export, at most one per
// conversation.
//
//   queue.Push(turn, now, now + kExportDelay);
//   for (ExportQueue::Iterator it : queue.Due(now)) ...
//
// At the end of a busy hour far more turns end than the links can carry. The
// queue is bounded so that it does not grow with the backlog. When it is full,
// the turn that has waited longest is dropped, whose blocks the engine evicts
// next anyway. kMaxCandidates times a chain of 512 blocks of 16 bytes is 8 MB.

#ifndef CAROBSHIFT_CACHE_EXPORT_QUEUE_H_
#define CAROBSHIFT_CACHE_EXPORT_QUEUE_H_

#include <cstddef>
#include <list>
#include <unordered_map>
#include <vector>

#include "carobshift/cache/block_chain.h"
#include "carobshift/cache/conversation_table.h"

namespace carobshift {

inline constexpr std::size_t kMaxCandidates = 1024;

struct TurnEnd {
  ConversationKey key;
  EndpointId endpoint;
  CacheNamespace cache_namespace;
  // The chain of the prompt and the answer, which is the prefix of the next
  // turn's prompt.
  std::vector<BlockHash> chain;
  Bytes bytes_per_token = 0;
};

[[nodiscard]] Tokens TokensOf(const TurnEnd& turn);
[[nodiscard]] Bytes BytesOf(const TurnEnd& turn);

struct ExportCandidate {
  TurnEnd turn;
  MonotonicTime ended;
  MonotonicTime not_before;
};

// Thread-compatible. Iterators stay valid until their candidate is removed.
class ExportQueue {
 public:
  using Candidates = std::list<ExportCandidate>;
  using Iterator = Candidates::iterator;

  // Replaces the conversation's older turn. Returns true if the turn of another
  // conversation was dropped because the queue was full.
  bool Push(TurnEnd turn, MonotonicTime now, MonotonicTime not_before);
  void Remove(Iterator candidate);
  void RemoveConversation(const ConversationKey& key);
  // Makes all candidates of the endpoint due at `now`.
  void MakeDue(const EndpointId& endpoint, MonotonicTime now);

  // Returns the due candidates in order of arrival.
  [[nodiscard]] std::vector<Iterator> Due(MonotonicTime now);
  [[nodiscard]] std::size_t size() const { return candidates_.size(); }

 private:
  Candidates candidates_;
  std::unordered_map<ConversationKey, Iterator> index_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CACHE_EXPORT_QUEUE_H_
