// Computes the key under which endpoints find cached prompt parts. Requests
// share parts only if they have the same key.
//
//   const IsolatedAccounts isolated(config);
//   const CacheAudience audience =
//       AudienceOf(*setup.route, setup.account, isolated);
//   fields.cache_scope = CacheScope(model, weights, audience);
//
// An account can become isolated when parts that it has made are cached
// already. Parts can't be told by their maker, so the key of all accounts that
// share depends on which accounts don't: under one key, parts are made and used
// only by accounts outside the same set. The set is part of the configuration,
// so every instance has the same key without having seen what was in force
// before.
//
// Immutable types and pure functions, and therefore thread-safe.

#ifndef CAROBSHIFT_GATEWAY_CACHE_CACHE_SCOPE_H_
#define CAROBSHIFT_GATEWAY_CACHE_CACHE_SCOPE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/strong_type.h"
#include "carobshift/gateway/serving_config.h"

namespace carobshift {

// Digest of a set of accounts; 0 for the empty set.
using AccountSetDigest = StrongType<struct AccountSetDigestTag, std::uint64_t>;

// The accounts of a configuration that share no cached parts with others.
class IsolatedAccounts {
 public:
  IsolatedAccounts() = default;
  explicit IsolatedAccounts(const ServingConfig& config);

  [[nodiscard]] bool Contains(const AccountId& account) const {
    return accounts_.contains(account);
  }
  [[nodiscard]] AccountSetDigest digest() const { return digest_; }

 private:
  std::set<AccountId> accounts_;
  AccountSetDigest digest_{};
};

// The requests that may share cached parts of the same weights.
struct CacheAudience {
  // Set for an account that shares no cache with others.
  std::optional<AccountId> isolated;
  // Sorted; empty if every region is allowed. Requests of different allowed
  // regions share nothing: one of them could otherwise fetch the other's parts
  // into a region where they may not be.
  std::vector<RegionName> regions;
  // For accounts that share their cache: the isolated ones.
  AccountSetDigest excluded{};

  friend bool operator==(const CacheAudience&, const CacheAudience&) = default;
};

// `account` is null for requests without one. It may be from a configuration
// before the one of `isolated`, as the request has waited meanwhile; it is
// isolated if either says so.
[[nodiscard]] CacheAudience AudienceOf(const Route& route,
                                       const Account* account,
                                       const IsolatedAccounts& isolated);

// Returns the audiences of all requests that the configuration allows.
[[nodiscard]] std::vector<CacheAudience> AudiencesOf(
    const ServingConfig& config);

[[nodiscard]] std::string CacheScope(const ModelName& model,
                                     WeightNumber weights,
                                     const CacheAudience& audience);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_CACHE_CACHE_SCOPE_H_
