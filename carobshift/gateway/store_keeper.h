// Frees what managed KV cache stores no longer need, as StoreCleaner decides.
//
//   StoreKeeper keeper(loop, client, dialect, registry, contents);
//   keeper.SetConfig(config);
//   keeper.OnTick(is_first, list_heard, weights_of, loop.now());
//
// One instance does it, the first of those that live. Should two believe to be
// the first, parts are freed twice, which changes nothing.

#ifndef CAROBSHIFT_GATEWAY_STORE_KEEPER_H_
#define CAROBSHIFT_GATEWAY_STORE_KEEPER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/endpoint_registry.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/gateway/store_cleaner.h"
#include "carobshift/net/http_fetch.h"

namespace carobshift {

class StoreKeeper {
 public:
  using WeightsOf =
      std::function<std::optional<WeightNumber>(const EndpointRecord& endpoint,
                                                const ModelName& model)>;

  StoreKeeper(EventLoop& loop,
              HttpClient& client,
              const EngineDialect& dialect,
              const EndpointRegistry& registry,
              CacheContents& contents)
      : loop_(loop),
        client_(client),
        dialect_(dialect),
        registry_(registry),
        contents_(contents) {}

  void SetConfig(std::shared_ptr<const ConfigInForce> config) {
    config_ = std::move(config);
  }
  // A few times a second at most. `acts`: whether this instance is the one.
  // `list_heard`: when the log last told of the endpoints, if ever.
  void OnTick(bool acts,
              const std::optional<MonotonicTime>& list_heard,
              const WeightsOf& weights_of,
              MonotonicTime now);

 private:
  [[nodiscard]] std::vector<ScopedEngine> Engines(
      const WeightsOf& weights_of) const;
  [[nodiscard]] std::vector<AccountId> IsolatedAccounts() const;
  void Send(const FreeOrder& order, const NetAddress& address);

  EventLoop& loop_;
  HttpClient& client_;
  const EngineDialect& dialect_;
  const EndpointRegistry& registry_;
  CacheContents& contents_;
  std::shared_ptr<const ConfigInForce> config_;
  StoreCleaner cleaner_;
  // One call at a time to each store.
  std::map<CacheHolder, HttpFetch> calls_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_STORE_KEEPER_H_
