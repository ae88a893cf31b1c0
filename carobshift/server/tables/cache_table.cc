#include "carobshift/server/tables/cache_table.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace carobshift {
namespace {

// Above this share of used KV memory an engine evicts soon. Its conversations
// are then exported without waiting for a pause.
constexpr double kMemoryPressureRatio = 0.85;
// Maximum number of queued prefetch pins. Further ones are dropped.
constexpr std::size_t kMaxPrefetches = 256;

WeightVersion MostCommonVersion(const std::vector<EndpointInfo>& candidates) {
  std::map<WeightVersion, int> counts;
  for (const EndpointInfo& candidate : candidates) {
    if (candidate.status)
      ++counts[candidate.status->version];
  }
  const auto most = std::max_element(
      counts.begin(), counts.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return most == counts.end() ? WeightVersion() : most->first;
}

}  // namespace

CacheTable::CacheTable(std::string secret) : secret_(std::move(secret)) {}

PromptCache CacheTable::View(const PromptIdentity& identity,
                             const std::vector<EndpointInfo>& candidates,
                             MonotonicTime now) const {
  PromptCache cached;
  cached.version = MostCommonVersion(candidates);
  cached.cache_namespace =
      MakeCacheNamespace(secret_, identity.account, identity.model,
                         cached.version, identity.adapter);
  cached.chain = BlockChain(cached.cache_namespace, *identity.prompt);
  if (identity.conversation)
    cached.key = ConversationKey{identity.account, *identity.conversation};
  const std::lock_guard lock(mutex_);
  for (const EndpointPrefix& prefix : directory_.Lookup(cached.chain)) {
    cached.view.hits.emplace_back(
        prefix.endpoint, static_cast<Tokens>(prefix.blocks) * kBlockTokens);
  }
  if (cached.key) {
    cached.stored = planner_.BestImport(*cached.key, cached.cache_namespace,
                                        cached.chain, now);
  }
  if (cached.stored) {
    const StoredImport& stored = *cached.stored;
    cached.view.imports.push_back(
        {stored.tokens, stored.bytes, stored.transfer});
  }
  return cached;
}

std::optional<PinOrder> CacheTable::BeginPin(const PromptCache& cached,
                                             MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  return planner_.BeginPin(*cached.stored, cached.cache_namespace, cached.chain,
                           now);
}

std::optional<ImportGrant> CacheTable::BeginImport(StoreClient& stores,
                                                   const PromptCache& cached,
                                                   Milliseconds engine_time) {
  if (!cached.stored)
    return std::nullopt;
  const auto run_pin = [&](const PinOrder& pin) {
    const Status answer = stores.Pin(StoreAddress(cached.stored->store),
                                     pin.handle, pin.duration);
    OnPinEnd(pin, answer, MonotonicNow());
  };
  // A prefetch pin may still be queued behind exports. While it counts as in
  // progress no other pin is ordered, and the request would recompute what the
  // store holds. It is therefore run here.
  if (const auto queued_pin = TakePrefetch(cached.stored->id))
    run_pin(*queued_pin);
  if (const auto pin = BeginPin(cached, MonotonicNow()))
    run_pin(*pin);
  std::optional<ImportGrant> grant;
  {
    const std::lock_guard lock(mutex_);
    grant = planner_.BeginImport(*cached.stored, cached.cache_namespace,
                                 cached.chain, engine_time, MonotonicNow());
  }
  if (grant)
    std::this_thread::sleep_for(grant->wait);
  return grant;
}

void CacheTable::EndImport(const ImportGrant& grant,
                           ImportOutcome outcome,
                           MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  planner_.EndImport(grant, outcome, now);
}

NetAddress CacheTable::StoreAddress(const StoreId& store) const {
  const std::lock_guard lock(mutex_);
  const auto it = stores_.find(store);
  return it == stores_.end() ? NetAddress{} : it->second;
}

void CacheTable::OnTurnEnd(const PromptCache& cached,
                           const EndpointId& endpoint,
                           Bytes bytes_per_token,
                           MonotonicTime now) {
  if (!cached.key)
    return;
  const std::lock_guard lock(mutex_);
  planner_.OnTurnEnd({*cached.key, endpoint, cached.cache_namespace,
                      cached.chain, bytes_per_token},
                     now);
}

void CacheTable::OnAddressLookup(const ConversationKey& key,
                                 MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  if (prefetches_.size() >= kMaxPrefetches)
    return;
  if (auto pin = planner_.OnAddressLookup(key, now))
    prefetches_.push_back(*std::move(pin));
}

void CacheTable::SyncEngines(const std::vector<EndpointInfo>& engines,
                             MonotonicTime now) {
  std::vector<EndpointId> present;
  const std::lock_guard lock(mutex_);
  for (const EndpointInfo& engine : engines) {
    if (!engine.status)
      continue;
    present.push_back(engine.id);
    (void)directory_.Track(engine.id, engine.status->version);
    const auto used = static_cast<double>(engine.status->kv_used);
    const auto capacity = static_cast<double>(engine.status->kv_capacity);
    if (engine.leaving || used > kMemoryPressureRatio * capacity)
      planner_.OnMemoryPressure(engine.id, now);
  }
  for (const EndpointId& known : engines_) {
    if (std::ranges::find(present, known) == present.end())
      directory_.Forget(known);
  }
  engines_ = std::move(present);
}

void CacheTable::SyncStores(const std::vector<StoreSpec>& declared,
                            const std::vector<EndpointInfo>& instances) {
  std::map<StoreId, NetAddress> found;
  const std::lock_guard lock(mutex_);
  for (const StoreSpec& spec : declared) {
    for (const EndpointInfo& instance : instances) {
      if (instance.id.value() != spec.id.value())
        continue;
      found[spec.id] = instance.address;
      planner_.stores().Declare(spec.id, spec.link_bytes_per_second);
    }
  }
  for (const auto& [id, address] : stores_) {
    if (!found.contains(id))
      planner_.OnStoreRemoved(id);
  }
  stores_ = std::move(found);
}

std::optional<std::uint64_t> CacheTable::NextSequence(
    const EndpointId& engine) const {
  const std::lock_guard lock(mutex_);
  return directory_.NextSequence(engine);
}

ApplyOutcome CacheTable::Apply(const EndpointId& engine,
                               const CacheEventBatch& batch) {
  const std::lock_guard lock(mutex_);
  return directory_.Apply(engine, batch);
}

void CacheTable::Relist(const EndpointId& engine,
                        const CacheEventBatch& listing) {
  const std::lock_guard lock(mutex_);
  directory_.ApplyListing(engine, listing);
}

std::map<StoreId, NetAddress> CacheTable::StoreAddresses() const {
  const std::lock_guard lock(mutex_);
  return stores_;
}

void CacheTable::OnStoreStatus(const StoreId& store,
                               const Result<StoreStatus>& status,
                               MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  planner_.OnStoreStatus(store, status, now);
}

PlannedTransfers CacheTable::NextMoves(MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  return planner_.NextTransfers(now, 1);
}

void CacheTable::OnExportEnd(const ExportMove& move,
                             const Result<BlockHandle>& answer,
                             MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  planner_.OnExportEnd(move.id, move.transfer, answer, now);
}

std::optional<PinOrder> CacheTable::NextPrefetch() {
  const std::lock_guard lock(mutex_);
  if (prefetches_.empty())
    return std::nullopt;
  PinOrder order = std::move(prefetches_.front());
  prefetches_.pop_front();
  return order;
}

std::optional<PinOrder> CacheTable::TakePrefetch(HandleId id) {
  const std::lock_guard lock(mutex_);
  const auto queued_pin = std::ranges::find(prefetches_, id, &PinOrder::id);
  if (queued_pin == prefetches_.end())
    return std::nullopt;
  PinOrder order = std::move(*queued_pin);
  prefetches_.erase(queued_pin);
  return order;
}

void CacheTable::OnPinEnd(const PinOrder& order,
                          const Status& answer,
                          MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  planner_.OnPinEnd(order, answer, now);
}

void CacheTable::WriteMetrics(Metrics& metrics, MonotonicTime now) const {
  DirectoryStats directory;
  PlannerStats planner;
  std::vector<StoreSummary> stores;
  {
    const std::lock_guard lock(mutex_);
    directory = directory_.Stats();
    planner = planner_.Stats();
    stores = planner_.stores().Summaries(now);
  }
  const auto set = [&](std::string_view name, auto value) {
    metrics.Set(name, {}, static_cast<double>(value));
  };
  set("carobshift_directory_blocks", directory.blocks);
  set("carobshift_directory_bytes", directory.memory_bytes);
  set("carobshift_directory_gaps_total", directory.gaps);
  set("carobshift_conversations", planner.conversations);
  set("carobshift_stored_objects", planner.objects);
  set("carobshift_exports_total", planner.exports_sealed);
  set("carobshift_imports_total", planner.imports);
  set("carobshift_imports_rejected_total", planner.imports_rejected);
  for (const StoreSummary& store : stores) {
    const std::string& id = store.id.value();
    metrics.Set("carobshift_store_link_bytes_total",
                {{"store", id}, {"direction", "import"}},
                static_cast<double>(store.imported));
    metrics.Set("carobshift_store_link_bytes_total",
                {{"store", id}, {"direction", "export"}},
                static_cast<double>(store.exported));
    metrics.Set("carobshift_store_link_rate", {{"store", id}},
                store.bytes_per_second);
  }
}

nlohmann::json CacheTable::DumpState() const {
  const std::lock_guard lock(mutex_);
  const DirectoryStats directory = directory_.Stats();
  const PlannerStats planner = planner_.Stats();
  nlohmann::json stores = nlohmann::json::array();
  for (const StoreSummary& store :
       planner_.stores().Summaries(MonotonicNow())) {
    stores.push_back({{"store", store.id.value()},
                      {"usable", store.usable},
                      {"generation", store.generation},
                      {"used", store.used},
                      {"capacity", store.capacity},
                      {"link_bytes_per_second", store.bytes_per_second},
                      {"imported_bytes", store.imported},
                      {"exported_bytes", store.exported}});
  }
  return {{"directory",
           {{"endpoints", directory.endpoints},
            {"unknown_endpoints", directory.unknown_endpoints},
            {"blocks", directory.blocks},
            {"gaps", directory.gaps},
            {"over_limit", directory.dropped_over_limit}}},
          {"conversations", planner.conversations},
          {"objects", planner.objects},
          {"waiting_exports", planner.candidates},
          {"exports_ordered", planner.exports_ordered},
          {"exports_sealed", planner.exports_sealed},
          {"exports_not_worth", planner.exports_not_worth},
          {"evictions", planner.evictions},
          {"imports", planner.imports},
          {"imports_rejected", planner.imports_rejected},
          {"prefetches", planner.prefetches},
          {"stores", std::move(stores)}};
}

}  // namespace carobshift
