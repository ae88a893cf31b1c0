// Computes the key under which endpoints find cached prompt parts. Requests
// share parts only if they have the same key.
//
//   const CacheAudience audience = AudienceOf(*setup.route, setup.account);
//   fields.cache_scope = CacheScope(model, weights, audience);
//
// Pure functions, and therefore thread-safe.

#ifndef CAROBSHIFT_GATEWAY_CACHE_CACHE_SCOPE_H_
#define CAROBSHIFT_GATEWAY_CACHE_CACHE_SCOPE_H_

#include <optional>
#include <string>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/gateway/serving_config.h"

namespace carobshift {

// The requests that may share cached parts of the same weights.
struct CacheAudience {
  // Set for an account that shares no cache with others.
  std::optional<AccountId> isolated;
  // Sorted; empty if every region is allowed. Requests of different allowed
  // regions share nothing: one of them could otherwise fetch the other's parts
  // into a region where they may not be.
  std::vector<RegionName> regions;

  friend bool operator==(const CacheAudience&, const CacheAudience&) = default;
};

// `account` is null for requests without one.
[[nodiscard]] CacheAudience AudienceOf(const Route& route,
                                       const Account* account);

// Returns the audiences of all requests that the configuration allows, without
// the one of requests that are bound to no account or region.
[[nodiscard]] std::vector<CacheAudience> AudiencesOf(
    const ServingConfig& config);

[[nodiscard]] std::string CacheScope(const ModelName& model,
                                     WeightNumber weights,
                                     const CacheAudience& audience);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_CACHE_CACHE_SCOPE_H_
