// Models of engines and stores for the cache fuzz test. They are small, inject
// faults, and record beside each block the origin that the oracle checks.
//
//   ModelEngine engine(EndpointId("engine-0"));
//   engine.Store(block, origin);
//
// They evict at any moment, restart, swap weights, crash during a write and
// reuse the names of freed objects.

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

// The account that owns a block and the weights that computed it. Only the
// oracle reads it.
struct BlockOrigin {
  AccountId account;
  WeightVersion version;
  friend bool operator==(const BlockOrigin&, const BlockOrigin&) = default;
};

class ModelEngine {
 public:
  explicit ModelEngine(EndpointId id) : id_(std::move(id)) {}

  void Store(const BlockHash& block, const BlockOrigin& origin);
  void Evict(std::size_t index);
  void Restart();
  void SwapWeights();

  [[nodiscard]] bool Holds(const std::vector<BlockHash>& chain) const;
  [[nodiscard]] CacheEventBatch EventsFrom(std::uint64_t sequence) const;
  [[nodiscard]] CacheEventBatch Listing() const;
  // Returns the blocks that the engine held when its event sequence had reached
  // `sequence`, one set for each incarnation that reached it.
  [[nodiscard]] std::vector<std::set<BlockHash>> HeldAt(
      std::uint64_t sequence) const;

  [[nodiscard]] const EndpointId& id() const { return id_; }
  [[nodiscard]] const WeightVersion& version() const { return version_; }
  [[nodiscard]] const std::map<BlockHash, BlockOrigin>& blocks() const {
    return blocks_;
  }
  // Changes with each restart and weight swap, which end all requests begun
  // before.
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }

 private:
  void Publish(CacheEvent::Kind kind, const BlockHash& block);
  void RecordHistory();

  static constexpr std::size_t kRetainedEvents = 12;

  EndpointId id_;
  std::uint64_t incarnation_ = 1;
  std::uint64_t epoch_ = 1;
  WeightVersion version_{"1"};
  std::map<BlockHash, BlockOrigin> blocks_;
  std::uint64_t next_sequence_ = 0;
  std::vector<CacheEvent> events_;
  std::multimap<std::uint64_t, std::set<BlockHash>> history_;
};

struct ModelObject {
  // Identifies one write of one export; unlike the object's name it is never
  // reused.
  std::uint64_t identity = 0;
  StoredObject header;
  BlockOrigin origin;
  std::size_t written = 0;
  std::size_t blocks = 0;
  MonotonicTime pinned_until;
};

class ModelStore {
 public:
  explicit ModelStore(StoreId id) : id_(std::move(id)) {}

  // Starts a write and returns the object's name; nullopt if the store is full
  // or down.
  std::optional<std::string> Open(const BlockHash& last_block,
                                  std::size_t blocks,
                                  const BlockOrigin& origin);
  // Writes one block and seals the object with the last one. Returns false if
  // the write is lost.
  bool Write(const std::string& name, std::uint64_t identity);

  Status Pin(const BlockHandle& handle,
             Milliseconds duration,
             MonotonicTime now,
             CacheMutation mutation);
  // Frees the object unless it is pinned.
  void Free(const std::string& name, MonotonicTime now);
  void Drop(const BlockHandle& handle, MonotonicTime now);
  // Crashes the store: the data in memory is lost, the index on disk survives.
  void Crash();
  void Restart();

  // Returns the object that an import with `handle` opens, or null if a check
  // fails.
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
