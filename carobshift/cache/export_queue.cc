#include "carobshift/cache/export_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace carobshift {

Tokens TokensOf(const TurnEnd& turn) {
  return static_cast<Tokens>(turn.chain.size()) * kBlockTokens;
}

Bytes BytesOf(const TurnEnd& turn) {
  return TokensOf(turn) * turn.bytes_per_token;
}

bool ExportQueue::Push(TurnEnd turn,
                       MonotonicTime now,
                       MonotonicTime not_before) {
  RemoveConversation(turn.key);
  const bool full = candidates_.size() >= kMaxCandidates;
  if (full)
    Remove(candidates_.begin());
  const ConversationKey key = turn.key;
  candidates_.push_back({std::move(turn), now, not_before});
  index_.emplace(key, std::prev(candidates_.end()));
  return full;
}

void ExportQueue::Remove(Iterator candidate) {
  index_.erase(candidate->turn.key);
  candidates_.erase(candidate);
}

void ExportQueue::RemoveConversation(const ConversationKey& key) {
  const auto it = index_.find(key);
  if (it != index_.end())
    Remove(it->second);
}

void ExportQueue::MakeDue(const EndpointId& endpoint, MonotonicTime now) {
  for (ExportCandidate& candidate : candidates_) {
    if (candidate.turn.endpoint == endpoint)
      candidate.not_before = std::min(candidate.not_before, now);
  }
}

std::vector<ExportQueue::Iterator> ExportQueue::Due(MonotonicTime now) {
  std::vector<Iterator> due;
  for (auto it = candidates_.begin(); it != candidates_.end(); ++it) {
    if (it->not_before <= now)
      due.push_back(it);
  }
  return due;
}

}  // namespace carobshift
