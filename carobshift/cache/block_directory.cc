#include "carobshift/cache/block_directory.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace carobshift {
namespace {

// A holder number consists of the slot and the slot's epoch. Forgetting an
// endpoint increments the epoch, which avoids visiting each of its blocks.
constexpr std::uint32_t kSlotBits = 12;
constexpr std::uint32_t kSlotMask = (1U << kSlotBits) - 1;
constexpr std::uint32_t kMaxEpoch = 1U << (31 - kSlotBits);

static_assert(kMaxDirectoryEndpoints == kSlotMask + 1);

// Returns true if the batch contains each of its sequence numbers once and in
// order. Otherwise events were lost in transit.
bool IsComplete(const CacheEventBatch& batch) {
  if (batch.next_sequence < batch.first_sequence)
    return false;
  if (batch.events.size() != batch.next_sequence - batch.first_sequence)
    return false;
  std::uint64_t expected = batch.first_sequence;
  for (const CacheEvent& event : batch.events) {
    if (event.sequence != expected++)
      return false;
  }
  return true;
}

}  // namespace

BlockDirectory::BlockDirectory(const DirectoryOptions& options)
    : options_(options),
      table_([this](std::uint32_t holder) { return IsLive(holder); }) {}

bool BlockDirectory::IsLive(std::uint32_t holder) const {
  const Slot& slot = slots_[holder & kSlotMask];
  return slot.tracked && slot.epoch == holder >> kSlotBits;
}

std::uint32_t BlockDirectory::HolderOf(std::size_t slot) const {
  return (slots_[slot].epoch << kSlotBits) | static_cast<std::uint32_t>(slot);
}

BlockDirectory::Slot* BlockDirectory::Find(const EndpointId& endpoint) {
  const auto it = index_.find(endpoint);
  return it == index_.end() ? nullptr : &slots_[it->second];
}

const BlockDirectory::Slot* BlockDirectory::Find(
    const EndpointId& endpoint) const {
  const auto it = index_.find(endpoint);
  return it == index_.end() ? nullptr : &slots_[it->second];
}

bool BlockDirectory::Track(const EndpointId& endpoint,
                           const WeightVersion& version) {
  if (Slot* slot = Find(endpoint)) {
    if (slot->version != version) {
      slot->version = version;
      ForgetBlocks(*slot);
    }
    return true;
  }
  std::size_t index = slots_.size();
  if (!free_slots_.empty()) {
    index = free_slots_.back();
    free_slots_.pop_back();
  } else if (index < kMaxDirectoryEndpoints) {
    slots_.emplace_back();
  } else {
    return false;
  }
  Slot& slot = slots_[index];
  slot.endpoint = endpoint;
  slot.version = version;
  slot.tracked = true;
  index_.emplace(endpoint, index);
  return true;
}

void BlockDirectory::ForgetBlocks(Slot& slot) {
  slot.known = false;
  slot.blocks = 0;
  slot.incarnation = 0;
  slot.next_sequence = 0;
  ++slot.epoch;
  if (slot.epoch < kMaxEpoch)
    return;
  // The epochs of this slot are exhausted. The table may still contain holders
  // of epoch 0, which would become valid again without the purge.
  table_.Purge();
  slot.epoch = 0;
}

void BlockDirectory::Forget(const EndpointId& endpoint) {
  const auto it = index_.find(endpoint);
  if (it == index_.end())
    return;
  Slot& slot = slots_[it->second];
  ForgetBlocks(slot);
  slot.tracked = false;
  free_slots_.push_back(it->second);
  index_.erase(it);
}

ApplyOutcome BlockDirectory::MarkUnknown(Slot& slot) {
  if (slot.known) {
    ++gaps_;
    ForgetBlocks(slot);
  }
  return ApplyOutcome::kNeedsListing;
}

void BlockDirectory::ApplyEvent(Slot& slot, const CacheEvent& event) {
  const std::uint32_t holder =
      HolderOf(static_cast<std::size_t>(&slot - slots_.data()));
  if (event.kind == CacheEvent::Kind::kEvicted) {
    if (table_.Erase(event.block, holder))
      --slot.blocks;
    return;
  }
  if (slot.blocks >= options_.max_blocks_per_endpoint) {
    ++dropped_over_limit_;
    return;
  }
  if (table_.Insert(event.block, holder))
    ++slot.blocks;
}

ApplyOutcome BlockDirectory::Apply(const EndpointId& endpoint,
                                   const CacheEventBatch& batch) {
  Slot* slot = Find(endpoint);
  if (slot == nullptr)
    return ApplyOutcome::kUnknownEndpoint;
  if (!slot->known)
    return ApplyOutcome::kNeedsListing;
  const bool detect = options_.mutation != CacheMutation::kNoGapDetection;
  if (detect && batch.incarnation != slot->incarnation)
    return MarkUnknown(*slot);
  if (batch.next_sequence <= slot->next_sequence)
    return ApplyOutcome::kStale;
  if (detect &&
      (batch.first_sequence > slot->next_sequence || !IsComplete(batch))) {
    return MarkUnknown(*slot);
  }
  for (const CacheEvent& event : batch.events) {
    if (event.sequence >= slot->next_sequence)
      ApplyEvent(*slot, event);
  }
  slot->next_sequence = batch.next_sequence;
  return ApplyOutcome::kApplied;
}

ApplyOutcome BlockDirectory::ApplyListing(const EndpointId& endpoint,
                                          const CacheEventBatch& listing) {
  Slot* slot = Find(endpoint);
  if (slot == nullptr)
    return ApplyOutcome::kUnknownEndpoint;
  // A delayed answer to an earlier listing would restore evicted blocks.
  if (slot->known && listing.incarnation == slot->incarnation &&
      listing.next_sequence < slot->next_sequence) {
    return ApplyOutcome::kStale;
  }
  ForgetBlocks(*slot);
  slot->known = true;
  slot->incarnation = listing.incarnation;
  slot->next_sequence = listing.next_sequence;
  for (const CacheEvent& event : listing.events)
    ApplyEvent(*slot, event);
  return ApplyOutcome::kApplied;
}

std::vector<EndpointPrefix> BlockDirectory::Lookup(
    std::span<const BlockHash> chain) const {
  if (chain.empty())
    return {};
  std::vector<std::uint32_t> active;
  for (const std::uint32_t holder : table_.HoldersOf(chain.front())) {
    if (IsLive(holder))
      active.push_back(holder);
  }
  // Holders and their prefix lengths, shortest first.
  std::vector<std::pair<std::uint32_t, std::size_t>> found;
  std::vector<std::uint32_t> ended;
  std::vector<std::uint32_t> continuing;
  std::size_t depth = 1;
  const auto report = [&](std::uint32_t holder) {
    found.emplace_back(holder, depth);
  };
  for (; depth < chain.size() && !active.empty(); ++depth) {
    const auto holders = table_.HoldersOf(chain[depth]);
    // The common case: a conversation on one endpoint, or a prefix that all
    // endpoints hold.
    if (std::ranges::equal(active, holders))
      continue;
    ended.clear();
    continuing.clear();
    // Both ranges are in ascending order.
    std::set_difference(active.begin(), active.end(), holders.begin(),
                        holders.end(), std::back_inserter(ended));
    std::set_intersection(active.begin(), active.end(), holders.begin(),
                          holders.end(), std::back_inserter(continuing));
    std::for_each(ended.begin(), ended.end(), report);
    active.swap(continuing);
  }
  std::for_each(active.begin(), active.end(), report);
  std::vector<EndpointPrefix> prefixes;
  prefixes.reserve(found.size());
  for (auto it = found.rbegin(); it != found.rend(); ++it)
    prefixes.push_back({slots_[it->first & kSlotMask].endpoint, it->second});
  return prefixes;
}

std::size_t BlockDirectory::PrefixLength(
    const EndpointId& endpoint,
    std::span<const BlockHash> chain) const {
  const Slot* slot = Find(endpoint);
  if (slot == nullptr)
    return 0;
  const std::uint32_t holder =
      HolderOf(static_cast<std::size_t>(slot - slots_.data()));
  std::size_t depth = 0;
  while (depth < chain.size()) {
    const auto holders = table_.HoldersOf(chain[depth]);
    if (!std::binary_search(holders.begin(), holders.end(), holder))
      break;
    ++depth;
  }
  return depth;
}

std::optional<std::uint64_t> BlockDirectory::NextSequence(
    const EndpointId& endpoint) const {
  const Slot* slot = Find(endpoint);
  if (slot == nullptr || !slot->known)
    return std::nullopt;
  return slot->next_sequence;
}

DirectoryStats BlockDirectory::Stats() const {
  DirectoryStats stats;
  for (const Slot& slot : slots_) {
    if (!slot.tracked)
      continue;
    ++stats.endpoints;
    stats.unknown_endpoints += slot.known ? 0 : 1;
    stats.blocks += slot.blocks;
  }
  stats.memory_bytes = table_.memory_bytes() + slots_.capacity() * sizeof(Slot);
  stats.gaps = gaps_;
  stats.dropped_over_limit = dropped_over_limit_;
  return stats;
}

}  // namespace carobshift
