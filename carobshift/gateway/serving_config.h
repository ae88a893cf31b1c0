// The operator's declaration as the gateway serves it: routes, the services
// behind them, client accounts and limits for callers.
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

// The operator's number of a declaration; only increases.
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
  // More than one if traffic is split.
  std::vector<WeightedService> services;
  // True if the answer is a stream of events.
  bool streaming = false;
  // True if the request may run more than once: a repetition changes nothing.
  bool idempotent = false;
  // True if a broken stream may continue at another endpoint, after its last
  // event.
  bool resumable = false;
  // True if callers need no key.
  bool anonymous = false;
  // True if requests name the parts of their prompt.
  bool prompts = false;
  Milliseconds timeout{0};
  // Time within which the answer, or its first event, earns its full value.
  Milliseconds latency_target{0};
  // Maximum gap between two events of an answer that is on time.
  Milliseconds gap_target{0};
  // 0 is the most urgent.
  int priority = 0;
  // Maximum number of endpoints to which one request may be sent.
  int max_attempts = 1;
  // Regions in which requests may be served and their KV cache kept; empty if
  // all are allowed.
  std::vector<RegionName> allowed_regions;

  // Returns whether the request may be sent again after it may have run.
  [[nodiscard]] bool MayRunAgain() const { return idempotent || resumable; }
};

// A service of model engines.
struct EngineTraits {
  int slots = 0;
  Tokens memory_tokens = 0;
  // True if each part of a prompt may name its own store.
  bool store_per_part = false;
  // Number of event readers that one engine serves concurrently.
  int event_readers = 0;
  std::vector<ModelName> models;
};

// A store of KV cache. It appears in no route.
struct StoreTraits {
  NetAddress address;
  ZoneName zone;
  Tokens capacity = 0;
  // True if the store never evicts by itself.
  bool managed = false;
  int event_readers = 0;
};

// How a service's endpoints bear requests just after their start.
struct ColdStartTraits {
  // How long an endpoint is cold after its start; zero if it never is.
  Milliseconds duration{0};
  // Requests that a cold endpoint bears in a second, from all instances
  // together.
  double requests_per_second = 0;
};

struct DeclaredService {
  ServiceName name;
  std::string health_path;
  // Open connections an endpoint accepts, from all callers together.
  int connection_limit = 0;
  ColdStartTraits cold_start;
  std::optional<EngineTraits> engine;
  std::optional<StoreTraits> store;
};

struct Account {
  AccountId name;
  std::vector<std::string> keys;
  std::optional<int> priority;
  // True if the account shares no cached prompt parts with other accounts.
  bool isolated = false;
  // As for a route. If both list regions, only those in both lists are allowed.
  std::vector<RegionName> allowed_regions;
};

// Limits on what callers may send and how long they may take.
struct CallerLimits {
  std::size_t head_bytes = 16384;
  std::size_t body_bytes = std::size_t{4} << 20;
  Milliseconds head_timeout{3000};
  Milliseconds idle_timeout{15000};

  bool operator==(const CallerLimits&) const = default;
};

struct ServingConfig {
  DeclarationNumber number{};
  std::vector<Route> routes;
  std::map<ServiceName, DeclaredService> services;
  // True if the declaration has a list of accounts, also an empty or unreadable
  // one. Callers then need the key of an account. Whether there are any
  // accounts doesn't show this: the last one may have been removed.
  bool requires_account = false;
  std::vector<Account> accounts;
  CallerLimits limits;

  [[nodiscard]] const DeclaredService* FindService(
      const ServiceName& name) const;
};

// Finds the route of a request. Holds pointers into the given routes, which
// must outlive it.
class PrefixTable {
 public:
  explicit PrefixTable(const std::vector<Route>& routes);

  // Returns the route of `host` with the longest prefix of `path`; null if
  // none. `host` may carry a port and is compared case-insensitively.
  [[nodiscard]] const Route* Find(std::string_view host,
                                  std::string_view path) const;

 private:
  // By host, then by prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, const Route*>>
      routes_;
};

// A configuration with its lookup tables. Immutable, and shared by the requests
// that began under it.
class ServingConfigSnapshot {
 public:
  explicit ServingConfigSnapshot(ServingConfig config);
  ServingConfigSnapshot(const ServingConfigSnapshot&) = delete;
  ServingConfigSnapshot& operator=(const ServingConfigSnapshot&) = delete;

  [[nodiscard]] const ServingConfig& config() const { return config_; }
  [[nodiscard]] const PrefixTable& routes() const { return routes_; }
  // Returns null for a key that belongs to no account, or to several: none of
  // them can be told to be the caller's.
  [[nodiscard]] const Account* AccountOfKey(const std::string& key) const;

 private:
  ServingConfig config_;
  PrefixTable routes_;
  std::unordered_map<std::string, const Account*> accounts_;
};

// Selects the service by weight; `token` is a hash of the request.
[[nodiscard]] const ServiceName& ChooseService(const Route& route,
                                               std::uint64_t token);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_SERVING_CONFIG_H_
