#include "carobshift/gateway/cache/store_reclaimer.h"

#include <algorithm>
#include <set>
#include <utility>

#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr Milliseconds kConnectTimeout{300};
// A store answers within a few milliseconds, regardless of the number of parts.
constexpr Milliseconds kCallTimeout{1000};

bool Contains(const std::vector<CacheAudience>& audiences,
              const CacheAudience& audience) {
  return std::find(audiences.begin(), audiences.end(), audience) !=
         audiences.end();
}

}  // namespace

void StoreReclaimer::SetConfig(
    std::shared_ptr<const ServingConfigSnapshot> config) {
  config_ = std::move(config);
  std::vector<CacheAudience> before =
      std::exchange(audiences_, AudiencesOf(config_->config()));
  const std::size_t current = audiences_.size();
  for (CacheAudience& audience : before) {
    if (!Contains(audiences_, audience))
      audiences_.push_back(std::move(audience));
  }
  audiences_.resize(std::min(audiences_.size(), current + kMaxFormerAudiences));
}

std::vector<ScopedEngine> StoreReclaimer::Engines(
    const WeightsOf& weights_of) const {
  std::vector<ScopedEngine> engines;
  for (const auto& [id, record] : registry_.all()) {
    const DeclaredService* const service =
        config_->config().FindService(record.service);
    if (service == nullptr || !service->engine)
      continue;
    std::set<ModelName> models(service->engine->models.begin(),
                               service->engine->models.end());
    for (const auto& [model, number] : record.weights)
      models.insert(model);
    for (const ModelName& model : models)
      engines.push_back({model, weights_of(record, model)});
  }
  return engines;
}

void StoreReclaimer::OnTick(bool frees_parts,
                            const std::optional<MonotonicTime>& list_refreshed,
                            const WeightsOf& weights_of,
                            MonotonicTime now) {
  if (config_ == nullptr || !list_refreshed)
    return;
  part_selector_.OnListRefreshed(*list_refreshed, now);
  // Updated on every instance, so that the next first instance knows since when
  // each scope has been obsolete.
  part_selector_.SetObsolete(ObsoleteScopes(Engines(weights_of), audiences_),
                             now);
  if (!frees_parts)
    return;
  std::vector<CacheHolder> stores;
  std::map<CacheHolder, NetAddress> addresses;
  for (const auto& [name, service] : config_->config().services) {
    const CacheHolder holder(name.value());
    if (!service.store || !service.store->managed || calls_[holder].active())
      continue;
    stores.push_back(holder);
    addresses[holder] = service.store->address;
  }
  for (const FreeOrder& order :
       part_selector_.NextOrders(stores, contents_, now))
    Send(order, addresses.at(order.store));
}

void StoreReclaimer::Send(const FreeOrder& order, const NetAddress& address) {
  FetchOptions options;
  options.call.connect_timeout = kConnectTimeout;
  options.timeout = kCallTimeout;
  std::string body;
  const HttpHead head = dialect_.EncodeFree(order.parts, order.epoch, &body);
  calls_[order.store].Start(
      client_, loop_, address, SerializeRequest(head, address, body), options,
      [this, order](const FetchOutcome& outcome) {
        const bool freed =
            outcome.status && dialect_.DecodeFreeReply(*outcome.status);
        LogEvent(LogLevel::kInfo, "store_parts_freed",
                 {{"store", order.store.value()},
                  {"parts", order.parts.size()},
                  {"epoch", order.epoch},
                  {"ok", freed},
                  {"status", outcome.status.value_or(0)},
                  {"reason", outcome.reason}});
        // Parts that were not freed are selected again by a later tick.
        if (freed)
          contents_.OnFreed(order.store, order.parts);
      });
}

}  // namespace carobshift
