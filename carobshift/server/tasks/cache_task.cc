#include "carobshift/server/tasks/cache_task.h"

#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr Milliseconds kEventPollInterval{100};
constexpr Milliseconds kStorePollInterval{1000};
constexpr Milliseconds kExportIdleDelay{50};

}  // namespace

void CacheTask::FollowEngine(const EndpointInfo& engine) {
  EngineClient& engines = context_.platform.engines;
  if (const auto next = context_.cache.NextSequence(engine.id)) {
    const auto batch = engines.FetchEvents(engine.address, *next);
    if (!batch.ok() || context_.cache.Apply(engine.id, batch.value()) !=
                           ApplyOutcome::kNeedsListing) {
      return;
    }
    LogEvent(LogLevel::kInfo, "cache_events_lost",
             {{"endpoint", engine.id.value()}});
  }
  const auto listing = engines.ListBlocks(engine.address);
  if (listing.ok())
    context_.cache.Relist(engine.id, listing.value());
}

void CacheTask::PollStores() {
  const auto config = context_.config.current();
  if (!config)
    return;
  context_.cache.SyncStores(config->declaration.stores,
                            context_.endpoints.All(InstanceKind::kStore));
  for (const auto& [store, address] : context_.cache.StoreAddresses()) {
    const auto status = context_.platform.stores.FetchStatus(address);
    context_.cache.OnStoreStatus(store, status, MonotonicNow());
  }
}

Milliseconds CacheTask::RunOnce(MonotonicTime now) {
  const auto engines = context_.endpoints.All(InstanceKind::kEngine);
  context_.cache.SyncEngines(engines, now);
  for (const EndpointInfo& engine : engines) {
    if (engine.status)
      FollowEngine(engine);
  }
  if (now >= next_store_poll_) {
    PollStores();
    context_.cache.WriteMetrics(context_.metrics, MonotonicNow());
    next_store_poll_ = now + kStorePollInterval;
  }
  return kEventPollInterval;
}

EndpointInfo ExportTask::FindEngine(const EndpointId& id) const {
  for (EndpointInfo& engine : context_.endpoints.All(InstanceKind::kEngine)) {
    if (engine.id == id)
      return std::move(engine);
  }
  return {};
}

void ExportTask::Export(const ExportMove& move) {
  ExportRequest request;
  request.cache_namespace = move.cache_namespace;
  request.blocks = move.blocks;
  request.store = move.store;
  request.store_address = context_.cache.StoreAddress(move.store);
  request.bytes_per_token = move.bytes_per_token;
  const EndpointInfo engine = FindEngine(move.endpoint);
  const auto answer = context_.platform.engines.Export(engine.address, request);
  context_.cache.OnExportEnd(move, answer, MonotonicNow());
  if (answer.ok() && engine.status) {
    context_.metrics.Add("carobshift_service_link_bytes_total",
                         {{"service", engine.status->role.value()},
                          {"store", move.store.value()},
                          {"direction", "export"}},
                         static_cast<double>(answer.value().bytes));
  }
  LogEvent(LogLevel::kInfo, answer.ok() ? "export_sealed" : "export_failed",
           {{"endpoint", move.endpoint.value()},
            {"store", move.store.value()},
            {"bytes", move.bytes},
            {"reason", answer.ok() ? "" : answer.error().message}});
}

Milliseconds ExportTask::RunOnce(MonotonicTime now) {
  StoreClient& stores = context_.platform.stores;
  while (const auto pin = context_.cache.NextPrefetch()) {
    const Status answer =
        stores.Pin(context_.cache.StoreAddress(pin->handle.store), pin->handle,
                   pin->duration);
    context_.cache.OnPinEnd(*pin, answer, MonotonicNow());
  }
  const PlannedTransfers moves = context_.cache.NextMoves(now);
  for (const BlockHandle& handle : moves.drops) {
    // An object whose drop fails is eventually freed by the store itself.
    (void)stores.Drop(context_.cache.StoreAddress(handle.store), handle);
  }
  for (const ExportMove& move : moves.exports)
    Export(move);
  return moves.exports.empty() ? kExportIdleDelay : Milliseconds(0);
}

}  // namespace carobshift
