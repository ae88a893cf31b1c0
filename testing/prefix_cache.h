// The prefix cache of the stand-in engine: an LRU set of blocks that publishes
// an event for every stored and evicted block.
//
//   PrefixCache cache(2000);
//   std::size_t matched = cache.Match(chain);
//   cache.Insert(chain);

#ifndef TESTING_PREFIX_CACHE_H_
#define TESTING_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include "carobshift/cache/block_chain.h"
#include "carobshift/external/engine.h"

namespace carobshift {

// Not thread-safe. Holds at most `capacity` blocks and 20,000 events.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t capacity) : capacity_(capacity) {}

  // Returns the length in blocks of the longest cached prefix of `chain` and
  // marks its blocks as recently used.
  std::size_t Match(const std::vector<BlockHash>& chain);
  void Insert(const std::vector<BlockHash>& chain);
  void Clear();
  // Discards the events that have not been read yet, as a publisher with a
  // bounded buffer may do.
  void DropEvents();

  // Returns the events from sequence number `from` on that are at least `lag`
  // old.
  [[nodiscard]] CacheEventBatch Events(std::uint64_t from,
                                       Milliseconds lag) const;
  [[nodiscard]] CacheEventBatch AllBlocks() const;
  [[nodiscard]] std::size_t size() const { return lru_.size(); }
  [[nodiscard]] std::size_t capacity() const { return capacity_; }

 private:
  struct TimedEvent {
    MonotonicTime time;
    CacheEvent event;
  };

  void Publish(CacheEvent::Kind kind, const BlockHash& block);
  void EvictOldest();

  std::size_t capacity_;
  // Most recently used first.
  std::list<BlockHash> lru_;
  std::unordered_map<BlockHash, std::list<BlockHash>::iterator> index_;
  std::deque<TimedEvent> events_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace carobshift

#endif  // TESTING_PREFIX_CACHE_H_
