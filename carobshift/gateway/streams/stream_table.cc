#include "carobshift/gateway/streams/stream_table.h"

#include <algorithm>

namespace carobshift {

void StreamTable::Put(const StreamRecord& record, MonotonicTime now) {
  const auto [found, inserted] = streams_.try_emplace(record.key);
  Entry& entry = found->second;
  entry.evidence.Merge(record.beginning);
  entry.expires =
      std::max(entry.expires, now + std::min(record.life, kMaxLife));
  if (!inserted)
    return;
  order_.push_back(record.key);
  if (streams_.size() > max_streams_)
    DropOldest();
}

void StreamTable::DropOldest() {
  while (!order_.empty()) {
    const StreamKey oldest = order_.front();
    order_.pop_front();
    if (streams_.erase(oldest) > 0) {
      ++dropped_;
      return;
    }
  }
}

StreamEvidence StreamTable::Find(StreamKey key, MonotonicTime now) const {
  const auto found = streams_.find(key);
  if (found == streams_.end() || found->second.expires <= now)
    return {};
  return found->second.evidence;
}

void StreamTable::Expire(MonotonicTime now) {
  const std::size_t expired = std::erase_if(
      streams_,
      [now](const auto& stream) { return stream.second.expires <= now; });
  if (expired == 0)
    return;
  std::erase_if(order_,
                [this](StreamKey key) { return !streams_.contains(key); });
}

std::vector<StreamRecord> StreamTable::All(MonotonicTime now) const {
  std::vector<StreamRecord> records;
  for (const auto& [key, entry] : streams_) {
    const auto left =
        std::chrono::duration_cast<Milliseconds>(entry.expires - now);
    const auto beginning = entry.evidence.beginning();
    if (left > Milliseconds(0) && beginning)
      records.push_back({key, *beginning, left});
  }
  return records;
}

}  // namespace carobshift
