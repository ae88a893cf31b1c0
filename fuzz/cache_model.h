// Engines and stores as the cache fuzz sees them: small, hostile and with the
// truth written beside each block.
//
//   ModelEngine engine(EndpointId("engine-0"));
//   engine.Store(block, truth);
//
// They evict at any moment, restart, swap weights, die half way through a
// write and reuse the names of what they freed.

#ifndef FUZZ_CACHE_MODEL_H_
#define FUZZ_CACHE_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "carobshift/cache/import_check.h"
#include "carobshift/external/engine.h"

namespace carobshift {

// Whose a block is and what computed it; nobody but the oracle reads it.
struct BlockTruth {
  AccountId account;
  WeightVersion version;
  friend bool operator==(const BlockTruth&, const BlockTruth&) = default;
};

class ModelEngine {
 public:
  explicit ModelEngine(EndpointId id) : id_(std::move(id)) {}

  void Store(const BlockHash& block, const BlockTruth& truth);
  void Evict(std::size_t index);
  void Restart();
  void Swap();

  [[nodiscard]] bool Holds(const std::vector<BlockHash>& chain) const;
  [[nodiscard]] CacheEventBatch EventsFrom(std::uint64_t sequence) const;
  [[nodiscard]] CacheEventBatch Listing() const;
  // What the engine held when its events had reached `sequence`, in each of
  // its lives.
  [[nodiscard]] std::vector<std::set<BlockHash>> HeldAt(
      std::uint64_t sequence) const;

  [[nodiscard]] const EndpointId& id() const { return id_; }
  [[nodiscard]] const WeightVersion& version() const { return version_; }
  [[nodiscard]] const std::map<BlockHash, BlockTruth>& blocks() const {
    return blocks_;
  }
  // Changes with each restart and swap; a run begun before it is over.
  [[nodiscard]] std::uint64_t life() const { return life_; }

 private:
  void Publish(CacheEvent::Kind kind, const BlockHash& block);
  void Remember();

  static constexpr std::size_t kRetainedEvents = 12;

  EndpointId id_;
  std::uint64_t incarnation_ = 1;
  std::uint64_t life_ = 1;
  WeightVersion version_{"1"};
  std::map<BlockHash, BlockTruth> blocks_;
  std::uint64_t next_sequence_ = 0;
  std::vector<CacheEvent> events_;
  std::multimap<std::uint64_t, std::set<BlockHash>> history_;
};

struct ModelObject {
  // One write of one export; never reused, unlike the name.
  std::uint64_t identity = 0;
  StoredObject header;
  BlockTruth truth;
  std::size_t written = 0;
  std::size_t blocks = 0;
  MonotonicTime pinned_until;
};

class ModelStore {
 public:
  explicit ModelStore(StoreId id) : id_(std::move(id)) {}

  // Starts to write; nothing if full or dead.
  std::optional<std::string> Open(const BlockHash& last_block,
                                  std::size_t blocks,
                                  const BlockTruth& truth);
  // Writes one block; seals with the last. False if the write is lost.
  bool Write(const std::string& name, std::uint64_t identity);

  Status Pin(const BlockHandle& handle,
             Milliseconds duration,
             MonotonicTime now,
             CacheMutation mutation);
  // Frees the object unless pinned.
  void Free(const std::string& name, MonotonicTime now);
  void Drop(const BlockHandle& handle, MonotonicTime now);
  // Dies; what is in memory is lost, the index on disk is not.
  void Die();
  void Restart();

  // What an import named by `handle` opens, or null if a check fails.
  [[nodiscard]] const ModelObject* OpenForRead(const BlockHandle& handle,
                                               CacheMutation mutation) const;
  [[nodiscard]] const ModelObject* Find(const std::string& name) const;

  [[nodiscard]] const StoreId& id() const { return id_; }
  [[nodiscard]] bool alive() const { return alive_; }
  [[nodiscard]] std::uint64_t generation() const { return generation_; }
  [[nodiscard]] const std::map<std::string, ModelObject>& objects() const {
    return objects_;
  }

 private:
  [[nodiscard]] StoredObject HeaderOf(const ModelObject& object) const;

  static constexpr std::size_t kSlots = 3;

  StoreId id_;
  bool alive_ = true;
  std::uint64_t generation_ = 1;
  std::uint64_t next_identity_ = 1;
  std::map<std::string, ModelObject> objects_;
};

}  // namespace carobshift

#endif  // FUZZ_CACHE_MODEL_H_
