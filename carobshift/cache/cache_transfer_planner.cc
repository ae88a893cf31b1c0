#include "carobshift/cache/cache_transfer_planner.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace carobshift {
namespace {

// Number of failed candidates after which NextTransfers stops trying. If the
// best candidates find no space or budget, lesser ones won't either, and each
// attempt costs a sample of the store.
constexpr int kMaxRefusals = 4;

Seconds SecondsBetween(MonotonicTime from, MonotonicTime to) {
  return std::max(Seconds(0), std::chrono::duration_cast<Seconds>(to - from));
}

}  // namespace

CacheTransferPlanner::CacheTransferPlanner(
    const CacheTransferPlannerOptions& options)
    : options_(options),
      conversations_(options.conversations),
      object_tracker_(options.guard) {}

PlannerStats CacheTransferPlanner::Stats() const {
  PlannerStats stats = stats_;
  stats.conversations = conversations_.size();
  stats.objects = object_tracker_.size();
  stats.candidates = queue_.size();
  return stats;
}

Milliseconds CacheTransferPlanner::RecomputeTime(Tokens tokens) const {
  const double ms =
      static_cast<double>(tokens) * 1000.0 / options_.prefill_tokens_per_second;
  return Milliseconds(static_cast<std::int64_t>(ms));
}

void CacheTransferPlanner::SyncForgotten() {
  for (const TrackedObject& object : object_tracker_.TakeForgotten())
    conversations_.RemoveHandle(object.owner, object.id);
}

void CacheTransferPlanner::OnTurnEnd(TurnEnd turn, MonotonicTime now) {
  for (const HandleId orphan : conversations_.OnTurn(turn.key, now))
    pending_drops_.push_back(orphan);
  if (turn.chain.empty()) {
    queue_.RemoveConversation(turn.key);
    return;
  }
  const MonotonicTime not_before =
      options_.strategy->delays_export ? now + kExportDelay : now;
  if (queue_.Push(std::move(turn), now, not_before))
    ++stats_.candidates_dropped;
}

void CacheTransferPlanner::OnMemoryPressure(const EndpointId& endpoint,
                                            MonotonicTime now) {
  queue_.MakeDue(endpoint, now);
}

// Returns the number of tokens of the turn's chain that a sealed object already
// covers.
Tokens CacheTransferPlanner::StoredTokens(const TurnEnd& turn) const {
  const Conversation* known = conversations_.Find(turn.key);
  Tokens stored = 0;
  if (known == nullptr)
    return stored;
  for (const HandleId id : known->handles) {
    const TrackedObject* object = object_tracker_.Find(id);
    if (object != nullptr && object->state != ObjectState::kExporting &&
        object->cache_namespace == turn.cache_namespace &&
        IsPrefixOf(object->handle, turn.chain)) {
      stored = std::max(stored, object->handle.tokens);
    }
  }
  return stored;
}

void CacheTransferPlanner::Forecast(const Conversation& conversation,
                                    MonotonicTime now,
                                    Valuation& value) const {
  value.idle = SecondsBetween(conversation.last_seen, now);
  const ReturnForecast forecast =
      ForecastReturn(conversations_.population(), conversation.gaps, value.idle,
                     options_.engine_residence, options_.horizon);
  value.return_probability = forecast.probability;
  value.returns_per_second = forecast.per_second;
}

Valuation CacheTransferPlanner::ValueCandidate(const ExportCandidate& candidate,
                                               const StoreId& store,
                                               MonotonicTime now) const {
  Valuation value;
  const Conversation* known = conversations_.Find(candidate.turn.key);
  if (known == nullptr)
    return value;
  Forecast(*known, now, value);
  const Tokens tokens = TokensOf(candidate.turn);
  value.saved = RecomputeTime(tokens - StoredTokens(candidate.turn));
  value.bytes = BytesOf(candidate.turn);
  value.link_time =
      stores_.ImportTime(store, value.bytes, now).value_or(Milliseconds::max());
  value.link_pressure = stores_.LinkPressure(store, now);
  return value;
}

Valuation CacheTransferPlanner::ValueObject(const TrackedObject& object,
                                            MonotonicTime now) const {
  Valuation value;
  const Conversation* known = conversations_.Find(object.owner);
  value.bytes = object.handle.bytes;
  value.stored_for = SecondsBetween(object.last_used, now);
  value.idle = value.stored_for;
  if (known == nullptr)
    return value;
  Forecast(*known, now, value);
  value.saved = RecomputeTime(object.handle.tokens);
  return value;
}

double CacheTransferPlanner::BestScore(const ExportCandidate& candidate,
                                       std::span<const StoreId> stores,
                                       MonotonicTime now) const {
  if (stores.empty())
    return 0.0;
  const Tokens tokens = TokensOf(candidate.turn);
  const Tokens stored = StoredTokens(candidate.turn);
  if (static_cast<double>(tokens) <
      static_cast<double>(stored) * kSupersedeShare) {
    return 0.0;
  }
  return options_.strategy->export_score(
      ValueCandidate(candidate, stores.front(), now));
}

void CacheTransferPlanner::DropObject(HandleId id, PlannedTransfers& moves) {
  const TrackedObject* object = object_tracker_.Find(id);
  if (object == nullptr)
    return;
  stores_.OnDropped(object->handle.store, object->handle.bytes);
  moves.drops.push_back(object->handle);
  object_tracker_.Forget(id);
}

bool CacheTransferPlanner::MakeRoom(const StoreId& store,
                                    Bytes bytes,
                                    double score,
                                    MonotonicTime now,
                                    PlannedTransfers& moves) {
  Bytes missing = bytes - stores_.Room(store);
  if (missing <= 0)
    return true;
  std::vector<std::pair<double, const TrackedObject*>> victims;
  for (const TrackedObject* object :
       object_tracker_.Sample(sample_cursor_, kVictimSample)) {
    sample_cursor_ = object->id;
    if (object->handle.store != store ||
        !object_tracker_.MayDrop(object->id, now))
      continue;
    const double keep =
        options_.strategy->keep_score(ValueObject(*object, now));
    // Export scores of the baseline strategies are not comparable with the keep
    // scores of stored objects.
    if (!options_.strategy->delays_export || keep < score)
      victims.emplace_back(keep, object);
  }
  std::sort(victims.begin(), victims.end());
  std::vector<HandleId> chosen;
  for (const auto& [keep, object] : victims) {
    if (missing <= 0)
      break;
    missing -= object->handle.bytes;
    chosen.push_back(object->id);
  }
  // Evicting objects without freeing enough space would gain nothing.
  if (missing > 0)
    return false;
  for (const HandleId id : chosen) {
    DropObject(id, moves);
    ++stats_.evictions;
  }
  return true;
}

bool CacheTransferPlanner::TryExport(const ExportCandidate& candidate,
                                     std::span<const StoreId> stores,
                                     MonotonicTime now,
                                     PlannedTransfers& moves) {
  const TurnEnd& turn = candidate.turn;
  const Bytes bytes = BytesOf(turn);
  for (const StoreId& store : stores) {
    const auto wait = stores_.ExportWait(store, bytes, now);
    if (!wait.has_value() || *wait > Milliseconds(0))
      continue;
    const double score =
        options_.strategy->export_score(ValueCandidate(candidate, store, now));
    if (score <= 0 || !MakeRoom(store, bytes, score, now, moves))
      continue;
    const auto id =
        object_tracker_.BeginExport(turn.key, turn.cache_namespace, store, now);
    if (!id.has_value())
      return false;
    const auto transfer =
        stores_.Begin(store, TransferKind::kExport, bytes, now);
    if (!transfer.has_value()) {
      object_tracker_.Forget(*id);
      continue;
    }
    moves.exports.push_back({*id, transfer->id, turn.endpoint,
                             turn.cache_namespace, turn.chain, store,
                             turn.bytes_per_token, bytes});
    ++stats_.exports_ordered;
    return true;
  }
  return false;
}

void CacheTransferPlanner::DropOrphans(MonotonicTime now,
                                       PlannedTransfers& moves) {
  for (const HandleId id : std::exchange(pending_drops_, {})) {
    if (object_tracker_.MayDrop(id, now))
      DropObject(id, moves);
    else
      object_tracker_.Forget(id);
  }
}

// Returns true if the engine has presumably evicted the blocks, so that there
// is nothing left to export.
bool CacheTransferPlanner::IsPastResidence(const ExportCandidate& candidate,
                                           MonotonicTime now) const {
  return SecondsBetween(candidate.ended, now) > options_.engine_residence;
}

std::vector<ExportQueue::Iterator> CacheTransferPlanner::RankDue(
    std::span<const StoreId> stores,
    MonotonicTime now) {
  std::vector<std::pair<double, ExportQueue::Iterator>> scored;
  const bool link_idle = stores_.LinkPressure(stores.front(), now) <= 0;
  for (const ExportQueue::Iterator candidate : queue_.Due(now)) {
    const double score = BestScore(*candidate, stores, now);
    if (score > 0) {
      scored.emplace_back(score, candidate);
      continue;
    }
    // While the link is loaded, its cost may fall again and make the export
    // worthwhile. With an idle link it will not.
    if (link_idle || IsPastResidence(*candidate, now)) {
      ++stats_.exports_not_worth;
      queue_.Remove(candidate);
    }
  }
  std::stable_sort(
      scored.begin(), scored.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<ExportQueue::Iterator> ranked;
  for (const auto& [score, candidate] : scored)
    ranked.push_back(candidate);
  return ranked;
}

PlannedTransfers CacheTransferPlanner::NextTransfers(MonotonicTime now,
                                                     std::size_t max_exports) {
  PlannedTransfers moves;
  DropOrphans(now, moves);
  const std::vector<StoreId> stores = stores_.StoresForExport(now);
  if (!stores.empty()) {
    int refusals = 0;
    for (const ExportQueue::Iterator candidate : RankDue(stores, now)) {
      if (moves.exports.size() >= max_exports)
        break;
      if (refusals < kMaxRefusals &&
          TryExport(*candidate, stores, now, moves)) {
        queue_.Remove(candidate);
        continue;
      }
      ++refusals;
      if (IsPastResidence(*candidate, now)) {
        ++stats_.candidates_dropped;
        queue_.Remove(candidate);
      }
    }
  }
  SyncForgotten();
  return moves;
}

// Drops older objects that are a prefix of a newly sealed one, because they
// have no value any more.
void CacheTransferPlanner::DropSuperseded(const TrackedObject& fresh,
                                          MonotonicTime now) {
  const Conversation* known = conversations_.Find(fresh.owner);
  if (known == nullptr)
    return;
  for (const HandleId id : known->handles) {
    const TrackedObject* older = object_tracker_.Find(id);
    if (older != nullptr && id != fresh.id &&
        object_tracker_.MayDrop(id, now) &&
        older->handle.tokens <= fresh.handle.tokens) {
      pending_drops_.push_back(id);
    }
  }
}

void CacheTransferPlanner::OnExportEnd(HandleId id,
                                       TransferId transfer,
                                       const Result<BlockHandle>& answer,
                                       MonotonicTime now) {
  const TrackedObject* before = object_tracker_.Find(id);
  const StoreId store = before == nullptr ? StoreId() : before->handle.store;
  const bool sealed = object_tracker_.OnExportEnd(id, answer, now);
  stores_.End(transfer, sealed ? TransferEnd::kMoved : TransferEnd::kFailed,
              now);
  if (sealed) {
    ++stats_.exports_sealed;
    const TrackedObject& object = *object_tracker_.Find(id);
    DropSuperseded(object, now);
    for (const HandleId out : conversations_.AddHandle(object.owner, id))
      pending_drops_.push_back(out);
  } else if (!answer.ok() && answer.error().code == ResultCode::kStoreFull) {
    stores_.OnFull(store, now);
  } else if (!answer.ok() &&
             answer.error().code == ResultCode::kStoreUnavailable) {
    stores_.OnFailure(store, now);
  }
  SyncForgotten();
}

void CacheTransferPlanner::OnStoreStatus(const StoreId& store,
                                         const Result<StoreStatus>& status,
                                         MonotonicTime now) {
  const StoreChange change = stores_.OnStatus(store, status, now);
  if (change == StoreChange::kRestarted)
    object_tracker_.OnStoreGeneration(store, status.value().generation);
  if (change == StoreChange::kDied)
    object_tracker_.OnStoreGone(store);
  SyncForgotten();
}

void CacheTransferPlanner::OnStoreRemoved(const StoreId& store) {
  stores_.Remove(store);
  object_tracker_.OnStoreGone(store);
  SyncForgotten();
}

}  // namespace carobshift
