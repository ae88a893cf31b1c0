// Ended turns that wait for their export, at most one per conversation.
//
//   queue.Push(turn, now, now + kExportDelay);
//   for (ExportQueue::Iterator it : queue.Due(now)) ...
//
// Load pattern: at the end of a busy hour far more turns end than links carry.
// Without the bound the queue would grow with the backlog; what falls out is
// the turn that has waited longest, whose blocks the engine evicts next
// anyway. kMaxCandidates times a chain of 512 blocks of 16 bytes is 8 MB.

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
  // Of the prompt and the answer: what the next turn's prompt begins with.
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

  // Replaces the conversation's older turn. Returns true if another one was
  // pushed out.
  bool Push(TurnEnd turn, MonotonicTime now, MonotonicTime not_before);
  void Remove(Iterator candidate);
  void RemoveOf(const ConversationKey& key);
  // Lets the endpoint's candidates wait no longer.
  void Hurry(const EndpointId& endpoint, MonotonicTime now);

  // In order of arrival.
  [[nodiscard]] std::vector<Iterator> Due(MonotonicTime now);
  [[nodiscard]] std::size_t size() const { return candidates_.size(); }

 private:
  Candidates candidates_;
  std::unordered_map<ConversationKey, Iterator> index_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CACHE_EXPORT_QUEUE_H_
