// The import side of CacheTransferPlanner: what a returning prompt may read
// from a store.

#include <utility>

#include "carobshift/cache/cache_transfer_planner.h"

namespace carobshift {
namespace {

TransferEnd TransferEndOf(ImportOutcome outcome) {
  switch (outcome) {
    case ImportOutcome::kImported:
      return TransferEnd::kMoved;
    case ImportOutcome::kNotTried:
      return TransferEnd::kNotStarted;
    case ImportOutcome::kInterrupted:
    case ImportOutcome::kRejected:
      return TransferEnd::kFailed;
  }
  return TransferEnd::kFailed;
}

}  // namespace

std::optional<StoredImport> CacheTransferPlanner::BestImport(
    const ConversationKey& key,
    const CacheNamespace& cache_namespace,
    std::span<const BlockHash> chain,
    MonotonicTime now) const {
  const Conversation* known = conversations_.Find(key);
  if (known == nullptr)
    return std::nullopt;
  std::optional<StoredImport> best;
  Milliseconds best_gain{0};
  for (const HandleId id : known->handles) {
    const TrackedObject* object = object_tracker_.Find(id);
    if (object == nullptr || object->state == ObjectState::kExporting ||
        object->cache_namespace != cache_namespace ||
        !IsPrefixOf(object->handle, chain)) {
      continue;
    }
    const BlockHandle& handle = object->handle;
    const auto transfer = stores_.ImportTime(handle.store, handle.bytes, now);
    if (!transfer.has_value())
      continue;
    const Milliseconds gain = RecomputeTime(handle.tokens) - *transfer;
    if (!best.has_value() || gain > best_gain) {
      best = {id, handle.store, handle.tokens, handle.bytes, *transfer};
      best_gain = gain;
    }
  }
  return best;
}

std::optional<PinOrder> CacheTransferPlanner::BeginPin(
    const StoredImport& option,
    const CacheNamespace& ns,
    std::span<const BlockHash> chain,
    MonotonicTime now) {
  return object_tracker_.BeginPin(option.id, ns, chain, option.transfer, now);
}

void CacheTransferPlanner::OnPinEnd(const PinOrder& order,
                                    const Status& answer,
                                    MonotonicTime now) {
  const TrackedObject* object = object_tracker_.Find(order.id);
  if (object != nullptr && !answer.ok() &&
      answer.error().code == ResultCode::kStoreUnavailable) {
    stores_.OnFailure(object->handle.store, now);
  }
  object_tracker_.OnPinEnd(order, answer, now);
  SyncForgotten();
}

std::optional<ImportGrant> CacheTransferPlanner::BeginImport(
    const StoredImport& option,
    const CacheNamespace& ns,
    std::span<const BlockHash> chain,
    Milliseconds engine_time,
    MonotonicTime now) {
  const auto transfer = stores_.Begin(option.store, TransferKind::kImport,
                                      option.bytes, now, engine_time);
  if (!transfer.has_value())
    return std::nullopt;
  auto handle = object_tracker_.Use(option.id, ns, chain, now);
  if (!handle.has_value()) {
    stores_.End(transfer->id, TransferEnd::kNotStarted, now);
    return std::nullopt;
  }
  ++stats_.imports;
  return ImportGrant{
      option.id, transfer->id, *std::move(handle), transfer->wait,
      object_tracker_.Find(option.id)->pinned_until - kCancelMargin};
}

void CacheTransferPlanner::EndImport(const ImportGrant& grant,
                                     ImportOutcome outcome,
                                     MonotonicTime now) {
  stores_.End(grant.transfer, TransferEndOf(outcome), now);
  if (outcome == ImportOutcome::kRejected)
    ++stats_.imports_rejected;
  object_tracker_.EndUse(grant.id, outcome != ImportOutcome::kRejected, now);
  SyncForgotten();
}

std::optional<PinOrder> CacheTransferPlanner::OnAddressLookup(
    const ConversationKey& key,
    MonotonicTime now) {
  const Conversation* known = conversations_.Find(key);
  if (known == nullptr || known->handles.empty())
    return std::nullopt;
  auto pin = object_tracker_.BeginPrefetch(known->handles.back(), now);
  if (pin.has_value())
    ++stats_.prefetches;
  return pin;
}

}  // namespace carobshift
