// What the operator has declared, as the gateway serves by it: routes, the
// services behind them, client accounts and the callers' limits.
//
//   ServingConfig config = ...;
//   PrefixTable routes(config.routes);
//   const Route* route = routes.Find("api.example", "/review/7");

#ifndef CAROBSHIFT_GATEWAY_SERVING_CONFIG_H_
#define CAROBSHIFT_GATEWAY_SERVING_CONFIG_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/units.h"

namespace carobshift {

// The operator's own number of a declaration; only rises.
using DeclarationNumber =
    StrongType<struct DeclarationNumberTag, std::uint64_t>;

struct WeightedService {
  ServiceName service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  // More than one where traffic is split.
  std::vector<WeightedService> services;
  // The answer is a stream of events.
  bool streaming = false;
  // The request may run more than once: a repeat changes nothing.
  bool idempotent = false;
  // A broken stream may go on at another endpoint, after its last event.
  bool resumable = false;
  // Callers need no key.
  bool anonymous = false;
  // Requests name the parts of their prompt.
  bool prompts = false;
  Milliseconds timeout{0};
  // Within which the answer, or its first event, earns its full worth.
  Milliseconds latency_target{0};
  // Longest pause between two events of an answer that is on time.
  Milliseconds gap_target{0};
  // 0 is the most urgent.
  int priority = 0;
  // Endpoints to which one request may be sent.
  int max_attempts = 1;

  // Whether the request may be sent again after it may have run.
  [[nodiscard]] bool MayRunAgain() const { return idempotent || resumable; }
};

// A service of model engines.
struct EngineTraits {
  int slots = 0;
  Tokens memory_tokens = 0;
  // Each part of a prompt may name its own store.
  bool store_per_part = false;
  // Event readers that one engine serves at once.
  int event_readers = 0;
  std::vector<ModelName> models;
};

// A store of KV cache. It appears in no route.
struct StoreTraits {
  NetAddress address;
  ZoneName zone;
  Tokens capacity = 0;
  // Never drops anything by itself.
  bool managed = false;
  int event_readers = 0;
};

struct DeclaredService {
  ServiceName name;
  std::string health_path;
  // Open connections an endpoint accepts, from all callers together.
  int connection_limit = 0;
  std::optional<EngineTraits> engine;
  std::optional<StoreTraits> store;
};

struct Account {
  AccountId name;
  std::vector<std::string> keys;
  std::optional<int> priority;
  // Shares no cached part with any other account.
  bool isolated = false;
};

// What callers may send, and how long they may take.
struct CallerLimits {
  std::size_t head_bytes = 16384;
  std::size_t body_bytes = std::size_t{4} << 20;
  Milliseconds head_timeout{3000};
  Milliseconds idle_timeout{15000};
};

struct ServingConfig {
  DeclarationNumber number{};
  std::vector<Route> routes;
  std::map<ServiceName, DeclaredService> services;
  std::vector<Account> accounts;
  CallerLimits limits;

  [[nodiscard]] const DeclaredService* FindService(
      const ServiceName& name) const;
};

// Finds the route of a request. Holds pointers into the routes given.
class PrefixTable {
 public:
  explicit PrefixTable(const std::vector<Route>& routes);

  // The longest prefix of the host's routes that begins `path`; null if none.
  // `host` without a port, in any case.
  [[nodiscard]] const Route* Find(std::string_view host,
                                  std::string_view path) const;

 private:
  // By host, then by prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, const Route*>>
      routes_;
};

// A configuration with its look-up tables; immutable, shared by the requests
// that began under it.
class ConfigInForce {
 public:
  explicit ConfigInForce(ServingConfig config);
  ConfigInForce(const ConfigInForce&) = delete;
  ConfigInForce& operator=(const ConfigInForce&) = delete;

  [[nodiscard]] const ServingConfig& config() const { return config_; }
  [[nodiscard]] const PrefixTable& routes() const { return routes_; }
  // Null for a key that no account holds.
  [[nodiscard]] const Account* AccountOfKey(const std::string& key) const;

 private:
  ServingConfig config_;
  PrefixTable routes_;
  std::unordered_map<std::string, const Account*> accounts_;
};

// The service that `token` (a hash of the request) falls to.
[[nodiscard]] const ServiceName& ChooseService(const Route& route,
                                               std::uint64_t token);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_SERVING_CONFIG_H_
