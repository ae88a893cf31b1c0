#include "carobshift/cache/stored_object_tracker.h"

#include <algorithm>
#include <utility>

namespace carobshift {
namespace {

Milliseconds PinDuration(Milliseconds transfer) {
  return std::clamp(transfer * kPinTransferFactor, kMinPin, kMaxPin);
}

}  // namespace

bool IsPrefixOf(const BlockHandle& handle, std::span<const BlockHash> chain) {
  const auto blocks = static_cast<std::size_t>(handle.tokens / kBlockTokens);
  return blocks > 0 && blocks <= chain.size() &&
         chain[blocks - 1] == handle.last_block;
}

StoredObjectTracker::StoredObjectTracker(
    const StoredObjectTrackerOptions& options)
    : options_(options) {}

TrackedObject* StoredObjectTracker::FindMutable(HandleId id) {
  const auto it = objects_.find(id);
  return it == objects_.end() ? nullptr : &it->second;
}

TrackedObject* StoredObjectTracker::FindAndExpirePin(HandleId id,
                                                     MonotonicTime now) {
  TrackedObject* object = FindMutable(id);
  if (object == nullptr)
    return nullptr;
  const bool in_pin = object->state == ObjectState::kPinning ||
                      object->state == ObjectState::kPinned;
  if (in_pin && now >= object->pinned_until)
    object->state = ObjectState::kSealed;
  return object;
}

const TrackedObject* StoredObjectTracker::Find(HandleId id) const {
  const auto it = objects_.find(id);
  return it == objects_.end() ? nullptr : &it->second;
}

StoredObjectTracker::Objects::iterator StoredObjectTracker::Erase(
    Objects::iterator it) {
  forgotten_.push_back(std::move(it->second));
  return objects_.erase(it);
}

void StoredObjectTracker::Forget(HandleId id) {
  const auto it = objects_.find(id);
  if (it != objects_.end())
    Erase(it);
}

template <typename Predicate>
std::size_t StoredObjectTracker::ForgetIf(Predicate predicate) {
  std::size_t count = 0;
  for (auto it = objects_.begin(); it != objects_.end();) {
    if (!predicate(it->second)) {
      ++it;
      continue;
    }
    it = Erase(it);
    ++count;
  }
  return count;
}

std::optional<HandleId> StoredObjectTracker::BeginExport(
    const ConversationKey& owner,
    const CacheNamespace& cache_namespace,
    const StoreId& store,
    MonotonicTime now) {
  if (objects_.size() >= options_.max_objects)
    return std::nullopt;
  TrackedObject object;
  object.id = HandleId(next_id_++);
  object.owner = owner;
  object.cache_namespace = cache_namespace;
  object.handle.store = store;
  object.last_used = now;
  const HandleId id = object.id;
  objects_.emplace(id, std::move(object));
  return id;
}

bool StoredObjectTracker::OnExportEnd(HandleId id,
                                      const Result<BlockHandle>& answer,
                                      MonotonicTime now) {
  TrackedObject* object = FindMutable(id);
  if (object == nullptr || object->state != ObjectState::kExporting)
    return false;
  if (!answer.ok() || answer.value().store != object->handle.store ||
      answer.value().tokens < kBlockTokens) {
    Forget(id);
    return false;
  }
  object->handle = answer.value();
  object->state = ObjectState::kSealed;
  object->last_used = now;
  return true;
}

PinOrder StoredObjectTracker::OrderPin(TrackedObject& object,
                                       Milliseconds duration,
                                       MonotonicTime now) {
  object.state = ObjectState::kPinning;
  // Counts from the time of sending. The store starts its count later, so its
  // pin never expires before the local one.
  object.pinned_until = now + duration;
  object.last_used = now;
  return {object.id, ++object.pins_ordered, object.handle, duration};
}

std::optional<PinOrder> StoredObjectTracker::BeginPin(
    HandleId id,
    const CacheNamespace& ns,
    std::span<const BlockHash> chain,
    Milliseconds transfer,
    MonotonicTime now) {
  TrackedObject* object = FindAndExpirePin(id, now);
  if (object == nullptr || object->cache_namespace != ns ||
      !IsPrefixOf(object->handle, chain)) {
    return std::nullopt;
  }
  const Milliseconds duration = PinDuration(transfer);
  if (object->state == ObjectState::kPinned &&
      now + transfer + kPinMargin <= object->pinned_until) {
    return std::nullopt;
  }
  if (object->state != ObjectState::kSealed &&
      object->state != ObjectState::kPinned) {
    return std::nullopt;
  }
  return OrderPin(*object, duration, now);
}

std::optional<PinOrder> StoredObjectTracker::BeginPrefetch(HandleId id,
                                                           MonotonicTime now) {
  TrackedObject* object = FindAndExpirePin(id, now);
  if (object == nullptr || object->state != ObjectState::kSealed)
    return std::nullopt;
  return OrderPin(*object, kMinPin, now);
}

void StoredObjectTracker::OnPinEnd(const PinOrder& order,
                                   const Status& answer,
                                   MonotonicTime now) {
  TrackedObject* object = FindAndExpirePin(order.id, now);
  if (object == nullptr || object->state != ObjectState::kPinning ||
      object->pins_ordered != order.number)
    return;
  if (answer.ok()) {
    object->state = ObjectState::kPinned;
    return;
  }
  if (answer.error().code == ResultCode::kBlockRejected) {
    Forget(order.id);
    return;
  }
  // The store did not answer, but the object may be intact. It is not named
  // without a pin; the next BeginPin orders another one.
  object->state = ObjectState::kSealed;
}

std::optional<BlockHandle> StoredObjectTracker::Use(
    HandleId id,
    const CacheNamespace& ns,
    std::span<const BlockHash> chain,
    MonotonicTime now) {
  TrackedObject* object = FindAndExpirePin(id, now);
  if (object == nullptr || object->cache_namespace != ns ||
      !IsPrefixOf(object->handle, chain)) {
    return std::nullopt;
  }
  const bool pinned = object->state == ObjectState::kPinned &&
                      now + kPinMargin <= object->pinned_until;
  const bool skip_pin = options_.mutation == CacheMutation::kNoPin &&
                        object->state != ObjectState::kExporting;
  if (!pinned && !skip_pin)
    return std::nullopt;
  if (!pinned)
    object->pinned_until = now + kMinPin;
  object->last_used = now;
  ++object->users;
  return object->handle;
}

void StoredObjectTracker::EndUse(HandleId id, bool usable, MonotonicTime now) {
  TrackedObject* object = FindMutable(id);
  if (object == nullptr)
    return;
  if (object->users > 0)
    --object->users;
  if (!usable) {
    Forget(id);
    return;
  }
  object->last_used = now;
}

bool StoredObjectTracker::MayDrop(HandleId id, MonotonicTime now) const {
  const TrackedObject* object = Find(id);
  if (object == nullptr || object->users > 0)
    return false;
  if (object->state == ObjectState::kExporting)
    return false;
  return object->state == ObjectState::kSealed || now >= object->pinned_until;
}

std::size_t StoredObjectTracker::OnStoreGeneration(const StoreId& store,
                                                   std::uint64_t generation) {
  return ForgetIf([&](const TrackedObject& object) {
    return object.handle.store == store &&
           object.state != ObjectState::kExporting &&
           object.handle.generation != generation;
  });
}

std::size_t StoredObjectTracker::OnStoreGone(const StoreId& store) {
  return ForgetIf([&](const TrackedObject& object) {
    return object.handle.store == store;
  });
}

std::vector<const TrackedObject*> StoredObjectTracker::Sample(
    HandleId after,
    std::size_t count) const {
  std::vector<const TrackedObject*> sample;
  const std::size_t wanted = std::min(count, objects_.size());
  sample.reserve(wanted);
  auto it = objects_.upper_bound(after);
  while (sample.size() < wanted) {
    if (it == objects_.end())
      it = objects_.begin();
    sample.push_back(&it->second);
    ++it;
  }
  return sample;
}

std::vector<TrackedObject> StoredObjectTracker::TakeForgotten() {
  return std::exchange(forgotten_, {});
}

}  // namespace carobshift
