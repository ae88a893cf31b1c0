#include "testing/prefix_cache.h"

namespace carobshift {

std::size_t PrefixCache::Match(const std::vector<BlockHash>& chain) {
  std::size_t matched = 0;
  while (matched < chain.size() && index_.contains(chain[matched]))
    ++matched;
  // The first block of a chain becomes the most recently used, so that a chain
  // is evicted from its end.
  for (std::size_t i = matched; i-- > 0;)
    lru_.splice(lru_.begin(), lru_, index_.at(chain[i]));
  return matched;
}

void PrefixCache::Insert(const std::vector<BlockHash>& chain) {
  for (const BlockHash& block : chain) {
    if (index_.contains(block))
      continue;
    if (lru_.size() >= capacity_)
      EvictOldest();
    lru_.push_front(block);
    index_[block] = lru_.begin();
    Publish(CacheEvent::Kind::kStored, block);
  }
  Match(chain);
}

void PrefixCache::Clear() {
  while (!lru_.empty())
    EvictOldest();
}

void PrefixCache::DropEvents() {
  events_.clear();
}

CacheEventBatch PrefixCache::Events(std::uint64_t from,
                                    Milliseconds lag) const {
  const MonotonicTime visible_until = MonotonicNow() - lag;
  CacheEventBatch batch;
  const std::uint64_t oldest =
      events_.empty() ? next_sequence_ : events_.front().event.sequence;
  batch.first_sequence = std::max(from, oldest);
  batch.next_sequence = batch.first_sequence;
  for (const TimedEvent& timed : events_) {
    if (timed.event.sequence < batch.first_sequence)
      continue;
    if (timed.time > visible_until)
      break;
    batch.events.push_back(timed.event);
    batch.next_sequence = timed.event.sequence + 1;
  }
  return batch;
}

CacheEventBatch PrefixCache::AllBlocks() const {
  CacheEventBatch batch;
  batch.next_sequence = next_sequence_;
  batch.first_sequence = next_sequence_ - lru_.size();
  std::uint64_t sequence = batch.first_sequence;
  for (const BlockHash& block : lru_)
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
  const BlockHash block = lru_.back();
  index_.erase(block);
  lru_.pop_back();
  Publish(CacheEvent::Kind::kEvicted, block);
}

}  // namespace carobshift
