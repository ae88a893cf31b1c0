#include "testing/prefix_cache.h"

namespace carobshift {

std::size_t PrefixCache::Match(const std::vector<BlockHash>& chain) {
  std::size_t matched = 0;
  while (matched < chain.size() && index_.contains(chain[matched]))
    ++matched;
  // The start of a chain is used last, so that its end is evicted first.
  for (std::size_t i = matched; i-- > 0;)
    used_.splice(used_.begin(), used_, index_.at(chain[i]));
  return matched;
}

void PrefixCache::Insert(const std::vector<BlockHash>& chain) {
  for (const BlockHash& block : chain) {
    if (index_.contains(block))
      continue;
    if (used_.size() >= capacity_)
      EvictOldest();
    used_.push_front(block);
    index_[block] = used_.begin();
    Publish(CacheEvent::Kind::kStored, block);
  }
  Match(chain);
}

void PrefixCache::Clear() {
  while (!used_.empty())
    EvictOldest();
}

void PrefixCache::DropEvents() {
  events_.clear();
}

CacheEventBatch PrefixCache::Events(std::uint64_t from,
                                    Milliseconds lag) const {
  const MonotonicTime visible = MonotonicNow() - lag;
  CacheEventBatch batch;
  const std::uint64_t oldest =
      events_.empty() ? next_sequence_ : events_.front().event.sequence;
  batch.first_sequence = std::max(from, oldest);
  batch.next_sequence = batch.first_sequence;
  for (const TimedEvent& timed : events_) {
    if (timed.event.sequence < batch.first_sequence)
      continue;
    if (timed.time > visible)
      break;
    batch.events.push_back(timed.event);
    batch.next_sequence = timed.event.sequence + 1;
  }
  return batch;
}

CacheEventBatch PrefixCache::AllBlocks() const {
  CacheEventBatch batch;
  batch.next_sequence = next_sequence_;
  batch.first_sequence = next_sequence_ - used_.size();
  std::uint64_t sequence = batch.first_sequence;
  for (const BlockHash& block : used_)
    batch.events.push_back({sequence++, CacheEvent::Kind::kStored, block});
  return batch;
}

void PrefixCache::Publish(CacheEvent::Kind kind, const BlockHash& block) {
  constexpr std::size_t kMaxEvents = 20000;
  events_.push_back({MonotonicNow(), {next_sequence_++, kind, block}});
  if (events_.size() > kMaxEvents)
    events_.pop_front();
}

void PrefixCache::EvictOldest() {
  const BlockHash block = used_.back();
  index_.erase(block);
  used_.pop_back();
  Publish(CacheEvent::Kind::kEvicted, block);
}

}  // namespace carobshift
