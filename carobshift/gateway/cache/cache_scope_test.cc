#include "carobshift/gateway/cache/cache_scope.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const ModelName kModel("m1");
const WeightNumber kWeights(1);
const RegionName kWest("west");
const RegionName kNorth("north");

Route RouteIn(std::vector<RegionName> regions) {
  Route route;
  route.allowed_regions = std::move(regions);
  return route;
}

// Guards against a prompt's parts that are fetched into another region by a
// request that isn't bound to regions.
TEST_CASE("requests of different allowed regions share no cached parts") {
  Account account;
  const auto scope = [](const Route& route, const Account* of) {
    return CacheScope(kModel, kWeights, AudienceOf(route, of));
  };
  const std::string west = scope(RouteIn({kWest}), nullptr);
  CHECK(west != scope(RouteIn({}), nullptr));
  CHECK(west != scope(RouteIn({kNorth}), nullptr));
  CHECK(west == scope(RouteIn({kWest}), &account));
  account.allowed_regions = {kWest};
  CHECK(west == scope(RouteIn({}), &account));
  CHECK(west == scope(RouteIn({kNorth, kWest}), &account));
  CHECK(scope(RouteIn({kNorth, kWest}), nullptr) ==
        scope(RouteIn({kWest, kNorth}), nullptr));
}

// Guards against parts of a bound or isolated audience that are never freed.
TEST_CASE("all audiences of a configuration are listed") {
  ServingConfig config;
  config.routes = {RouteIn({}), RouteIn({kWest}), RouteIn({kWest})};
  Account isolated;
  isolated.name = AccountId("walled");
  isolated.isolated = true;
  Account bound;
  bound.allowed_regions = {kNorth};
  config.accounts = {isolated, bound};
  const auto audiences = AudiencesOf(config);
  for (const Route& route : config.routes) {
    for (const Account& account : config.accounts) {
      const CacheAudience audience = AudienceOf(route, &account);
      CHECK((audience == CacheAudience() ||
             std::count(audiences.begin(), audiences.end(), audience) == 1));
    }
  }
  CHECK(audiences.size() == 5);
}

}  // namespace
}  // namespace carobshift
