#include "carobshift/cache/internal/holder_table.h"

#include <algorithm>
#include <utility>

namespace carobshift {
namespace {

constexpr std::uint32_t kListBit = 1U << 31;
constexpr std::size_t kMinSlots = 16;
// Linear probe sequences stay short up to about this load.
constexpr std::size_t kMaxLoadPercent = 70;

std::uint64_t Fingerprint(const BlockHash& block) {
  return block.low == 0 ? 1 : block.low;
}

bool Overloaded(std::size_t used, std::size_t slots) {
  return used * 100 >= slots * kMaxLoadPercent;
}

// The shard index uses the high bits, the slot index the low bits.
std::size_t ShardIndex(std::uint64_t fingerprint, std::size_t shards) {
  return static_cast<std::size_t>(fingerprint >> 58) % shards;
}

}  // namespace

HolderTable::HolderTable(IsLive is_live) : is_live_(std::move(is_live)) {}

std::size_t HolderTable::FindSlot(const Shard& shard,
                                  std::uint64_t fingerprint) {
  const std::size_t mask = shard.fingerprints.size() - 1;
  std::size_t slot = fingerprint & mask;
  while (shard.fingerprints[slot] != 0 &&
         shard.fingerprints[slot] != fingerprint) {
    slot = (slot + 1) & mask;
  }
  return slot;
}

std::span<const std::uint32_t> HolderTable::ValuesAt(const Shard& shard,
                                                     std::size_t slot) {
  const std::uint32_t& value = shard.values[slot];
  if ((value & kListBit) != 0)
    return shard.lists[value & ~kListBit];
  return {&value, 1};
}

std::span<const std::uint32_t> HolderTable::HoldersOf(
    const BlockHash& block) const {
  const std::uint64_t fingerprint = Fingerprint(block);
  const Shard& shard = shards_[ShardIndex(fingerprint, kShards)];
  if (shard.fingerprints.empty())
    return {};
  const std::size_t slot = FindSlot(shard, fingerprint);
  if (shard.fingerprints[slot] == 0)
    return {};
  return ValuesAt(shard, slot);
}

bool HolderTable::AddToSlot(Shard& shard,
                            std::size_t slot,
                            std::uint32_t holder) {
  const auto present = ValuesAt(shard, slot);
  if (std::binary_search(present.begin(), present.end(), holder))
    return false;
  std::uint32_t& value = shard.values[slot];
  if ((value & kListBit) != 0) {
    auto& list = shard.lists[value & ~kListBit];
    list.insert(std::lower_bound(list.begin(), list.end(), holder), holder);
    return true;
  }
  std::uint32_t index = 0;
  if (shard.free_lists.empty()) {
    index = static_cast<std::uint32_t>(shard.lists.size());
    shard.lists.emplace_back();
  } else {
    index = shard.free_lists.back();
    shard.free_lists.pop_back();
  }
  shard.lists[index] = {std::min(value, holder), std::max(value, holder)};
  value = kListBit | index;
  return true;
}

bool HolderTable::Insert(const BlockHash& block, std::uint32_t holder) {
  const std::uint64_t fingerprint = Fingerprint(block);
  Shard& shard = shards_[ShardIndex(fingerprint, kShards)];
  if (Overloaded(shard.used + 1, shard.fingerprints.size()))
    Rebuild(shard);
  const std::size_t slot = FindSlot(shard, fingerprint);
  if (shard.fingerprints[slot] != 0)
    return AddToSlot(shard, slot, holder);
  shard.fingerprints[slot] = fingerprint;
  shard.values[slot] = holder;
  ++shard.used;
  return true;
}

void HolderTable::ReleaseList(Shard& shard, std::uint32_t value) {
  if ((value & kListBit) == 0)
    return;
  const std::uint32_t index = value & ~kListBit;
  shard.lists[index] = {};
  shard.free_lists.push_back(index);
}

// Moves later slots of the probe sequence back, so that no tombstones
// accumulate while engines store and evict for days.
void HolderTable::EraseSlot(Shard& shard, std::size_t slot) {
  const std::size_t mask = shard.fingerprints.size() - 1;
  ReleaseList(shard, shard.values[slot]);
  std::size_t next = (slot + 1) & mask;
  while (shard.fingerprints[next] != 0) {
    const std::size_t home = shard.fingerprints[next] & mask;
    if (((next - home) & mask) >= ((next - slot) & mask)) {
      shard.fingerprints[slot] = shard.fingerprints[next];
      shard.values[slot] = shard.values[next];
      slot = next;
    }
    next = (next + 1) & mask;
  }
  shard.fingerprints[slot] = 0;
  shard.values[slot] = 0;
  --shard.used;
}

bool HolderTable::Erase(const BlockHash& block, std::uint32_t holder) {
  const std::uint64_t fingerprint = Fingerprint(block);
  Shard& shard = shards_[ShardIndex(fingerprint, kShards)];
  if (shard.fingerprints.empty())
    return false;
  const std::size_t slot = FindSlot(shard, fingerprint);
  if (shard.fingerprints[slot] == 0)
    return false;
  const std::uint32_t value = shard.values[slot];
  if ((value & kListBit) == 0) {
    if (value != holder)
      return false;
    EraseSlot(shard, slot);
    return true;
  }
  auto& list = shard.lists[value & ~kListBit];
  const auto it = std::lower_bound(list.begin(), list.end(), holder);
  if (it == list.end() || *it != holder)
    return false;
  list.erase(it);
  if (list.size() == 1) {
    const std::uint32_t last = list.front();
    ReleaseList(shard, value);
    shard.values[slot] = last;
  }
  return true;
}

std::size_t HolderTable::CountLiveSlots(const Shard& shard) const {
  std::size_t live = 0;
  for (std::size_t slot = 0; slot < shard.fingerprints.size(); ++slot) {
    if (shard.fingerprints[slot] == 0)
      continue;
    const auto values = ValuesAt(shard, slot);
    if (std::any_of(values.begin(), values.end(), is_live_))
      ++live;
  }
  return live;
}

void HolderTable::Rebuild(Shard& shard) {
  std::size_t slots = kMinSlots;
  // Leaves spare capacity of a quarter of the live slots, so that the cost of a
  // rebuild is amortized over many inserts.
  while (Overloaded(CountLiveSlots(shard) * 5 / 4 + 1, slots))
    slots *= 2;
  Shard fresh;
  fresh.fingerprints.assign(slots, 0);
  fresh.values.assign(slots, 0);
  for (std::size_t slot = 0; slot < shard.fingerprints.size(); ++slot) {
    const std::uint64_t fingerprint = shard.fingerprints[slot];
    if (fingerprint == 0)
      continue;
    for (const std::uint32_t holder : ValuesAt(shard, slot)) {
      if (!is_live_(holder))
        continue;
      const std::size_t to = FindSlot(fresh, fingerprint);
      if (fresh.fingerprints[to] != 0) {
        AddToSlot(fresh, to, holder);
        continue;
      }
      fresh.fingerprints[to] = fingerprint;
      fresh.values[to] = holder;
      ++fresh.used;
    }
  }
  shard = std::move(fresh);
}

void HolderTable::Purge() {
  for (Shard& shard : shards_) {
    if (!shard.fingerprints.empty())
      Rebuild(shard);
  }
}

std::size_t HolderTable::size() const {
  std::size_t total = 0;
  for (const Shard& shard : shards_)
    total += shard.used;
  return total;
}

std::size_t HolderTable::memory_bytes() const {
  std::size_t bytes = sizeof(*this);
  for (const Shard& shard : shards_) {
    bytes += shard.fingerprints.capacity() * sizeof(std::uint64_t);
    bytes += shard.values.capacity() * sizeof(std::uint32_t);
    bytes += shard.lists.capacity() * sizeof(std::vector<std::uint32_t>);
    bytes += shard.free_lists.capacity() * sizeof(std::uint32_t);
    for (const auto& list : shard.lists)
      bytes += list.capacity() * sizeof(std::uint32_t);
  }
  return bytes;
}

}  // namespace carobshift
