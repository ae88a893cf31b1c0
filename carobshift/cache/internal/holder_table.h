// The hash table below the block directory: which holders have a block. Only
// the directory includes it.
//
//   HolderTable table;
//   table.Insert(hash, holder);
//   table.HoldersOf(hash, [](std::uint32_t holder) { ... });
//
// Most blocks belong to one conversation and have one holder, kept in the slot
// itself; a block with more has a list in a pool. A slot takes 12 bytes and
// shards are at most 70% full. The table is split into shards that grow on
// their own, because rehashing three million blocks at once would stop the
// event loop for longer than a first token may take.

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
  // Says whether a holder number is still in use. Numbers that are not are
  // dropped when a shard is rebuilt and skipped before that.
  using IsLive = std::function<bool(std::uint32_t)>;

  explicit HolderTable(IsLive is_live);

  // True if the pair was not there.
  bool Insert(const BlockHash& block, std::uint32_t holder);
  // True if the pair was there.
  bool Erase(const BlockHash& block, std::uint32_t holder);
  // The holders of a block in ascending order, dead ones among them; valid
  // until the next change.
  [[nodiscard]] std::span<const std::uint32_t> HoldersOf(
      const BlockHash& block) const;
  // Drops every dead holder now.
  void Purge();

  // Blocks with a slot, dead ones among them.
  [[nodiscard]] std::size_t size() const;
  // Bytes of all arrays, spare room included.
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
