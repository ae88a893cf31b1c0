#include "carobshift/cache/store_table.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace carobshift {
namespace {

// Fraction of the difference by which a faster sample raises the rate.
constexpr double kRateIncreaseFraction = 0.25;
// Factor by which the rate grows per minute without a sample.
constexpr double kIdleGrowthPerMinute = 1.5;
// Lower limit of the planned rate, so that the link is eventually tried again.
constexpr double kLowestRateShare = 0.01;
// Seconds. Shorter transfers consist mostly of round trips and give little
// information about the rate.
constexpr double kShortestSample = 0.005;

double ToSeconds(Microseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void StoreTable::Declare(const StoreId& store, Bytes link_bytes_per_second) {
  const auto it = stores_.find(store);
  if (it == stores_.end()) {
    stores_.emplace(store, Store(link_bytes_per_second));
    return;
  }
  if (it->second.budget.bytes_per_second() == link_bytes_per_second)
    return;
  it->second.budget = LinkBudget(link_bytes_per_second);
  it->second.measured_rate = static_cast<double>(link_bytes_per_second);
}

void StoreTable::Remove(const StoreId& store) {
  stores_.erase(store);
}

StoreChange StoreTable::OnStatus(const StoreId& id,
                                 const Result<StoreStatus>& status,
                                 MonotonicTime now) {
  const auto it = stores_.find(id);
  if (it == stores_.end())
    return StoreChange::kNone;
  Store& store = it->second;
  if (!status.ok()) {
    OnFailure(id, now);
    return store.failures == kDeadAfterFailures ? StoreChange::kDied
                                                : StoreChange::kNone;
  }
  const bool restarted = store.generation.has_value() &&
                         *store.generation != status.value().generation;
  store.generation = status.value().generation;
  store.used = status.value().used;
  store.capacity = status.value().capacity;
  store.failures = 0;
  store.backoff_until = now;
  return restarted ? StoreChange::kRestarted : StoreChange::kNone;
}

void StoreTable::OnFull(const StoreId& id, MonotonicTime now) {
  const auto it = stores_.find(id);
  if (it != stores_.end())
    it->second.full_until = now + kStoreBackoff;
}

void StoreTable::OnFailure(const StoreId& id, MonotonicTime now) {
  const auto it = stores_.find(id);
  if (it == stores_.end())
    return;
  ++it->second.failures;
  it->second.backoff_until = now + kStoreBackoff;
}

void StoreTable::OnDropped(const StoreId& id, Bytes bytes) {
  const auto it = stores_.find(id);
  if (it != stores_.end())
    it->second.used = std::max<Bytes>(0, it->second.used - bytes);
}

std::optional<StartedTransfer> StoreTable::Begin(
    const StoreId& id,
    TransferKind kind,
    Bytes bytes,
    MonotonicTime now,
    Milliseconds non_transfer_time) {
  const auto it = stores_.find(id);
  if (it == stores_.end())
    return std::nullopt;
  Store& store = it->second;
  Milliseconds wait{0};
  if (kind == TransferKind::kImport) {
    const auto booked = store.budget.BookImport(bytes, now);
    if (!booked.has_value())
      return std::nullopt;
    wait = *booked;
  } else {
    if (!store.budget.TryTake(kind, bytes, now))
      return std::nullopt;
    store.pending += bytes;
  }
  const TransferId transfer(next_transfer_++);
  transfers_.emplace(transfer,
                     Transfer{id, kind, bytes, now + wait + non_transfer_time});
  return StartedTransfer{transfer, wait};
}

void StoreTable::UpdateMeasuredRate(Store& store,
                                    double rate,
                                    MonotonicTime now) {
  const double budget = static_cast<double>(store.budget.bytes_per_second());
  rate = std::clamp(rate, budget * kLowestRateShare, budget);
  store.measured_at = now;
  if (rate < store.measured_rate) {
    store.measured_rate = rate;
    return;
  }
  store.measured_rate += (rate - store.measured_rate) * kRateIncreaseFraction;
}

void StoreTable::End(TransferId transfer, TransferEnd end, MonotonicTime now) {
  const bool moved = end == TransferEnd::kMoved;
  const auto it = transfers_.find(transfer);
  if (it == transfers_.end())
    return;
  const Transfer ended = it->second;
  transfers_.erase(it);
  const auto found = stores_.find(ended.store);
  if (found == stores_.end())
    return;
  Store& store = found->second;
  if (end == TransferEnd::kNotStarted)
    store.budget.Return(ended.bytes);
  if (ended.kind == TransferKind::kExport) {
    store.pending -= ended.bytes;
    if (moved)
      store.used += ended.bytes;
  }
  const double seconds = ToSeconds(now - ended.began);
  // A transfer shorter than a round trip was faster than expected by an unknown
  // factor.
  if (moved) {
    UpdateMeasuredRate(
        store,
        static_cast<double>(ended.bytes) / std::max(seconds, kShortestSample),
        now);
  }
}

double StoreTable::RateOf(const StoreId& id,
                          const Store& store,
                          MonotonicTime now) const {
  const double budget = static_cast<double>(store.budget.bytes_per_second());
  const double idle_minutes =
      std::max(0.0, ToSeconds(now - store.measured_at) / 60.0);
  double rate =
      std::min(budget, store.measured_rate *
                           std::pow(kIdleGrowthPerMinute, idle_minutes));
  // A transfer that is still in progress cannot have been faster than this.
  std::size_t examined = 0;
  for (const auto& [transfer_id, transfer] : transfers_) {
    if (++examined > kMaxExaminedTransfers)
      break;
    const double seconds = ToSeconds(now - transfer.began);
    if (transfer.store == id && seconds >= kShortestSample)
      rate = std::min(rate, static_cast<double>(transfer.bytes) / seconds);
  }
  return std::max(rate, budget * kLowestRateShare);
}

// Transfers in progress precede a new transfer or share the link with it.
double StoreTable::Backlog(const StoreId& id,
                           double rate,
                           MonotonicTime now) const {
  double seconds = 0;
  std::size_t examined = 0;
  for (const auto& [transfer_id, transfer] : transfers_) {
    if (++examined > kMaxExaminedTransfers)
      break;
    if (transfer.store != id)
      continue;
    const double all = static_cast<double>(transfer.bytes) / rate;
    seconds += std::clamp(all - ToSeconds(now - transfer.began), 0.0, all);
  }
  return seconds;
}

const StoreTable::Store* StoreTable::FindUsable(const StoreId& id,
                                                MonotonicTime now) const {
  const auto it = stores_.find(id);
  if (it == stores_.end() || now < it->second.backoff_until)
    return nullptr;
  return &it->second;
}

std::optional<Milliseconds> StoreTable::ImportTime(const StoreId& id,
                                                   Bytes bytes,
                                                   MonotonicTime now) const {
  const Store* store = FindUsable(id, now);
  if (store == nullptr)
    return std::nullopt;
  const Milliseconds wait =
      store->budget.WaitFor(TransferKind::kImport, bytes, now);
  if (wait > kMaxImportWait)
    return std::nullopt;
  const double rate = RateOf(id, *store, now);
  const double seconds =
      static_cast<double>(bytes) / rate + Backlog(id, rate, now);
  return wait + Milliseconds(static_cast<std::int64_t>(seconds * 1000.0));
}

std::optional<Milliseconds> StoreTable::ExportWait(const StoreId& id,
                                                   Bytes bytes,
                                                   MonotonicTime now) const {
  const Store* store = FindUsable(id, now);
  if (store == nullptr)
    return std::nullopt;
  return store->budget.WaitFor(TransferKind::kExport, bytes, now);
}

Bytes StoreTable::Room(const StoreId& id) const {
  const auto it = stores_.find(id);
  if (it == stores_.end())
    return 0;
  return it->second.capacity - it->second.used - it->second.pending;
}

std::vector<StoreId> StoreTable::StoresForExport(MonotonicTime now) const {
  std::vector<std::pair<double, StoreId>> ranked;
  for (const auto& [id, store] : stores_) {
    if (now >= store.backoff_until && now >= store.full_until)
      ranked.emplace_back(-RateOf(id, store, now), id);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<StoreId> ids;
  for (auto& [rate, id] : ranked)
    ids.push_back(std::move(id));
  return ids;
}

double StoreTable::LinkPressure(const StoreId& id, MonotonicTime now) const {
  const auto it = stores_.find(id);
  return it == stores_.end() ? 1.0 : it->second.budget.pressure(now);
}

std::vector<StoreSummary> StoreTable::Summaries(MonotonicTime now) const {
  std::vector<StoreSummary> all;
  for (const auto& [id, store] : stores_) {
    all.push_back({id, FindUsable(id, now) != nullptr,
                   store.generation.value_or(0), store.used, store.capacity,
                   RateOf(id, store, now),
                   store.budget.taken(TransferKind::kImport),
                   store.budget.taken(TransferKind::kExport)});
  }
  return all;
}

}  // namespace carobshift
