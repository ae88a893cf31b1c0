// Hash table from a block to the holders that have it. Internal to the block
// directory.
//
//   HolderTable table;
//   table.Insert(hash, holder);
//   table.HoldersOf(hash, [](std::uint32_t holder) { ... });
//
// Most blocks belong to one conversation and have one holder, which is stored
// in the slot itself. A block with more holders has a list in a pool. A slot
// takes 12 bytes, and shards are at most 70% full. The table is split into
// shards that grow independently, because rehashing three million blocks at
// once would block the event loop for longer than the limit for a first token.

#ifndef CAROBSHIFT_CACHE_INTERNAL_HOLDER_TABLE_H_
#define CAROBSHIFT_CACHE_INTERNAL_HOLDER_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include "carobshift/cache/block_chain.h"

namespace carobshift {

// Thread-compatible. Holder numbers are below 2^31.
class HolderTable {
 public:
  // Returns whether a holder number is still in use. Other numbers are dropped
  // when a shard is rebuilt and skipped until then.
  using IsLive = std::function<bool(std::uint32_t)>;

  explicit HolderTable(IsLive is_live);

  // Returns true if the pair was not present.
  bool Insert(const BlockHash& block, std::uint32_t holder);
  // Returns true if the pair was present.
  bool Erase(const BlockHash& block, std::uint32_t holder);
  // Returns the holders of a block in ascending order, including dead ones. The
  // span is valid until the next change.
  [[nodiscard]] std::span<const std::uint32_t> HoldersOf(
      const BlockHash& block) const;
  // Removes all dead holders.
  void Purge();

  // Returns the number of blocks with a slot, including those with only dead
  // holders.
  [[nodiscard]] std::size_t size() const;
  // Returns the bytes of all arrays, including unused capacity.
  [[nodiscard]] std::size_t memory_bytes() const;

 private:
  struct Shard {
    // A zero fingerprint marks a free slot.
    std::vector<std::uint64_t> fingerprints;
    // A holder, or kListBit and an index into `lists`.
    std::vector<std::uint32_t> values;
    std::size_t used = 0;
    std::vector<std::vector<std::uint32_t>> lists;
    std::vector<std::uint32_t> free_lists;
  };
  static constexpr std::size_t kShards = 64;

  static std::size_t FindSlot(const Shard& shard, std::uint64_t fingerprint);
  static std::span<const std::uint32_t> ValuesAt(const Shard& shard,
                                                 std::size_t slot);
  static void EraseSlot(Shard& shard, std::size_t slot);
  static void ReleaseList(Shard& shard, std::uint32_t value);
  static bool AddToSlot(Shard& shard, std::size_t slot, std::uint32_t holder);
  void Rebuild(Shard& shard);
  [[nodiscard]] std::size_t CountLiveSlots(const Shard& shard) const;

  IsLive is_live_;
  std::array<Shard, kShards> shards_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CACHE_INTERNAL_HOLDER_TABLE_H_
