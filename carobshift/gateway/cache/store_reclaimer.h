// Frees the parts of managed KV cache stores that ObsoletePartSelector selects.
//
//   StoreReclaimer reclaimer(loop, client, dialect, registry, contents);
//   reclaimer.SetConfig(config);
//   reclaimer.OnTick(is_first, list_refreshed, weights_of, loop.now());
//
// Only the first of the live instances frees parts. If two instances both act
// as the first, parts are freed twice, which has no effect.
//
// Parts of audiences that the configuration doesn't have any more are freed
// with their weights, not before: a configuration may return, and another
// instance fetch them at that moment.
//
// State: the audiences of up to kMaxFormerAudiences from configurations before.
// After a restart they aren't known, and their parts stay in the stores.

#ifndef CAROBSHIFT_GATEWAY_CACHE_STORE_RECLAIMER_H_
#define CAROBSHIFT_GATEWAY_CACHE_STORE_RECLAIMER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "carobshift/gateway/cache/obsolete_part_selector.h"
#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/endpoints/endpoint_registry.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/net/http_fetch.h"

namespace carobshift {

class StoreReclaimer {
 public:
  static constexpr std::size_t kMaxFormerAudiences = 256;

  using WeightsOf =
      std::function<std::optional<WeightNumber>(const EndpointRecord& endpoint,
                                                const ModelName& model)>;

  StoreReclaimer(EventLoop& loop,
                 HttpClient& client,
                 const EngineDialect& dialect,
                 const EndpointRegistry& registry,
                 CacheContents& contents)
      : loop_(loop),
        client_(client),
        dialect_(dialect),
        registry_(registry),
        contents_(contents) {}

  void SetConfig(std::shared_ptr<const ServingConfigSnapshot> config);
  // To be called at most a few times per second. `frees_parts` is true if this
  // instance is the one that frees parts. `list_refreshed` is the time at which
  // the log last reported the endpoints, nullopt if it has not yet.
  void OnTick(bool frees_parts,
              const std::optional<MonotonicTime>& list_refreshed,
              const WeightsOf& weights_of,
              MonotonicTime now);

 private:
  [[nodiscard]] std::vector<ScopedEngine> Engines(
      const WeightsOf& weights_of) const;
  void Send(const FreeOrder& order, const NetAddress& address);

  EventLoop& loop_;
  HttpClient& client_;
  const EngineDialect& dialect_;
  const EndpointRegistry& registry_;
  CacheContents& contents_;
  std::shared_ptr<const ServingConfigSnapshot> config_;
  // Of the configuration in force, then of those before, the latest first.
  std::vector<CacheAudience> audiences_;
  ObsoletePartSelector part_selector_;
  // At most one call in progress per store.
  std::map<CacheHolder, HttpFetch> calls_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_CACHE_STORE_RECLAIMER_H_
