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

}  // namespace

CacheAudience AudienceOf(const Route& route, const Account* account) {
  if (account == nullptr)
    return {std::nullopt, CommonRegions(route.allowed_regions, {})};
  CacheAudience audience;
  if (account->isolated)
    audience.isolated = account->name;
  audience.regions =
      CommonRegions(route.allowed_regions, account->allowed_regions);
  return audience;
}

std::vector<CacheAudience> AudiencesOf(const ServingConfig& config) {
  // Routes differ in little else that matters here; a configuration may have
  // thousands.
  std::set<std::vector<RegionName>> region_lists = {{}};
  for (const Route& route : config.routes)
    region_lists.insert(route.allowed_regions);
  std::vector<CacheAudience> audiences;
  const auto add = [&audiences](CacheAudience audience) {
    if (audience != CacheAudience() &&
        std::find(audiences.begin(), audiences.end(), audience) ==
            audiences.end())
      audiences.push_back(std::move(audience));
  };
  for (const std::vector<RegionName>& regions : region_lists) {
    Route route;
    route.allowed_regions = regions;
    add(AudienceOf(route, nullptr));
    for (const Account& account : config.accounts)
      add(AudienceOf(route, &account));
  }
  return audiences;
}

std::string CacheScope(const ModelName& model,
                       WeightNumber weights,
                       const CacheAudience& audience) {
  std::string text = model.value() + '\n' + std::to_string(weights.value());
  if (audience.isolated)
    text += '\n' + audience.isolated->value();
  for (const RegionName& region : audience.regions)
    text += "\nregion " + region.value();
  return Hex(FastHash(text));
}

}  // namespace carobshift
