#include "carobshift/gateway/cache/cache_scope.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>
#include <utility>

#include "carobshift/base/digest.h"
#include "carobshift/gateway/endpoints/zone_regions.h"

namespace carobshift {
namespace {

std::string Hex(std::uint64_t value) {
  std::array<char, 20> text;
  const int size = std::snprintf(text.data(), text.size(), "%016llx",
                                 static_cast<unsigned long long>(value));
  return {text.data(), static_cast<std::size_t>(size)};
}

// Appends a name such that no other sequence of names gives the same text.
void AppendName(std::string_view kind,
                std::string_view name,
                std::string& text) {
  text += '\n';
  text += kind;
  text += ' ' + std::to_string(name.size()) + ' ';
  text += name;
}

}  // namespace

IsolatedAccounts::IsolatedAccounts(const ServingConfig& config) {
  for (const Account& account : config.accounts) {
    if (account.isolated)
      accounts_.insert(account.name);
  }
  if (accounts_.empty())
    return;
  std::string text;
  for (const AccountId& account : accounts_)
    AppendName("account", account.value(), text);
  digest_ = AccountSetDigest(FastHash(text));
}

CacheAudience AudienceOf(const Route& route,
                         const Account* account,
                         const IsolatedAccounts& isolated) {
  CacheAudience audience;
  if (account != nullptr &&
      (account->isolated || isolated.Contains(account->name)))
    audience.isolated = account->name;
  else
    audience.excluded = isolated.digest();
  audience.regions = CommonRegions(
      route.allowed_regions, account != nullptr ? account->allowed_regions
                                                : std::vector<RegionName>());
  return audience;
}

std::vector<CacheAudience> AudiencesOf(const ServingConfig& config) {
  // Routes differ in little else that matters here; a configuration may have
  // thousands.
  std::set<std::vector<RegionName>> region_lists = {{}};
  for (const Route& route : config.routes)
    region_lists.insert(route.allowed_regions);
  const IsolatedAccounts isolated(config);
  std::vector<CacheAudience> audiences;
  const auto add = [&audiences](CacheAudience audience) {
    if (std::find(audiences.begin(), audiences.end(), audience) ==
        audiences.end())
      audiences.push_back(std::move(audience));
  };
  for (const std::vector<RegionName>& regions : region_lists) {
    Route route;
    route.allowed_regions = regions;
    add(AudienceOf(route, nullptr, isolated));
    for (const Account& account : config.accounts)
      add(AudienceOf(route, &account, isolated));
  }
  return audiences;
}

std::string CacheScope(const ModelName& model,
                       WeightNumber weights,
                       const CacheAudience& audience) {
  std::string text = model.value() + '\n' + std::to_string(weights.value());
  if (audience.isolated)
    AppendName("account", audience.isolated->value(), text);
  if (audience.excluded != AccountSetDigest())
    text += "\nexcluded " + Hex(audience.excluded.value());
  for (const RegionName& region : audience.regions)
    AppendName("region", region.value(), text);
  return Hex(FastHash(text));
}

}  // namespace carobshift
