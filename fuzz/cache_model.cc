#include "fuzz/cache_model.h"

#include <algorithm>
#include <iterator>

namespace carobshift {

void ModelEngine::RecordHistory() {
  std::set<BlockHash> held;
  for (const auto& [block, origin] : blocks_)
    held.insert(block);
  history_.emplace(next_sequence_, std::move(held));
}

void ModelEngine::Publish(CacheEvent::Kind kind, const BlockHash& block) {
  events_.push_back({next_sequence_++, kind, block});
  if (events_.size() > kRetainedEvents)
    events_.erase(events_.begin());
  RecordHistory();
}

void ModelEngine::Store(const BlockHash& block, const BlockOrigin& origin) {
  if (blocks_.emplace(block, origin).second)
    Publish(CacheEvent::Kind::kStored, block);
}

void ModelEngine::Evict(std::size_t index) {
  if (blocks_.empty())
    return;
  const auto it =
      std::next(blocks_.begin(), static_cast<long>(index % blocks_.size()));
  const BlockHash block = it->first;
  blocks_.erase(it);
  Publish(CacheEvent::Kind::kEvicted, block);
}

void ModelEngine::Restart() {
  ++incarnation_;
  ++epoch_;
  blocks_.clear();
  events_.clear();
  next_sequence_ = 0;
  RecordHistory();
}

void ModelEngine::SwapWeights() {
  ++epoch_;
  version_ = WeightVersion(version_.value() == "1" ? "2" : "1");
  while (!blocks_.empty())
    Evict(0);
}

bool ModelEngine::Holds(const std::vector<BlockHash>& chain) const {
  return std::all_of(chain.begin(), chain.end(), [&](const BlockHash& block) {
    return blocks_.contains(block);
  });
}

CacheEventBatch ModelEngine::EventsFrom(std::uint64_t sequence) const {
  CacheEventBatch batch{incarnation_, next_sequence_, next_sequence_, {}};
  for (const CacheEvent& event : events_) {
    if (event.sequence >= sequence)
      batch.events.push_back(event);
  }
  if (!batch.events.empty())
    batch.first_sequence = batch.events.front().sequence;
  return batch;
}

CacheEventBatch ModelEngine::Listing() const {
  CacheEventBatch batch{incarnation_, 0, next_sequence_, {}};
  for (const auto& [block, origin] : blocks_)
    batch.events.push_back({0, CacheEvent::Kind::kStored, block});
  return batch;
}

std::vector<std::set<BlockHash>> ModelEngine::HeldAt(
    std::uint64_t sequence) const {
  std::vector<std::set<BlockHash>> held_sets;
  if (sequence == 0)
    held_sets.emplace_back();
  const auto [begin, end] = history_.equal_range(sequence);
  for (auto it = begin; it != end; ++it)
    held_sets.push_back(it->second);
  return held_sets;
}

std::optional<std::string> ModelStore::Open(const BlockHash& last_block,
                                            std::size_t blocks,
                                            const BlockOrigin& origin) {
  if (!alive_)
    return std::nullopt;
  for (std::size_t slot = 0; slot < kSlots; ++slot) {
    const std::string name = "slot-" + std::to_string(slot);
    if (objects_.contains(name))
      continue;
    ModelObject object;
    object.identity = next_identity_++;
    // The header is written first; its checksum covers the content that
    // follows.
    object.header = {generation_, last_block.high, last_block, false};
    object.origin = origin;
    object.blocks = blocks;
    objects_.emplace(name, object);
    return name;
  }
  return std::nullopt;
}

bool ModelStore::Write(const std::string& name, std::uint64_t identity) {
  const auto it = objects_.find(name);
  if (!alive_ || it == objects_.end() || it->second.identity != identity)
    return false;
  ModelObject& object = it->second;
  if (++object.written == object.blocks)
    object.header.sealed = true;
  return true;
}

// The index on disk survives the data in memory, so its entries report the
// current generation for lost data.
StoredObject ModelStore::HeaderOf(const ModelObject& object) const {
  StoredObject header = object.header;
  header.generation = generation_;
  return header;
}

const ModelObject* ModelStore::OpenForRead(const BlockHandle& handle,
                                           CacheMutation mutation) const {
  const ModelObject* object = Find(handle.object);
  if (!alive_ || object == nullptr)
    return nullptr;
  const auto verdict = CheckImport(handle, HeaderOf(*object), mutation);
  return verdict == ImportVerdict::kUsable ? object : nullptr;
}

const ModelObject* ModelStore::Find(const std::string& name) const {
  const auto it = objects_.find(name);
  return it == objects_.end() ? nullptr : &it->second;
}

Status ModelStore::Pin(const BlockHandle& handle,
                       Milliseconds duration,
                       MonotonicTime now,
                       CacheMutation mutation) {
  if (!alive_)
    return Error{ResultCode::kStoreUnavailable, "no answer"};
  if (OpenForRead(handle, mutation) == nullptr)
    return Error{ResultCode::kBlockRejected, "not what was named"};
  MonotonicTime& pinned_until = objects_.at(handle.object).pinned_until;
  pinned_until = std::max(pinned_until, now + duration);
  return {};
}

void ModelStore::Free(const std::string& name, MonotonicTime now) {
  const auto it = objects_.find(name);
  if (alive_ && it != objects_.end() && it->second.pinned_until <= now)
    objects_.erase(it);
}

void ModelStore::Drop(const BlockHandle& handle, MonotonicTime now) {
  if (OpenForRead(handle, CacheMutation::kNone) != nullptr)
    Free(handle.object, now);
}

void ModelStore::Crash() {
  alive_ = false;
}

void ModelStore::Restart() {
  alive_ = true;
  ++generation_;
  for (auto& [name, object] : objects_) {
    object.identity = next_identity_++;
    object.written = 0;
    object.pinned_until = {};
  }
}

}  // namespace carobshift
