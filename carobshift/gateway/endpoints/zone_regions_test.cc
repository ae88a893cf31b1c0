#include "carobshift/gateway/endpoints/zone_regions.h"

#include <catch2/catch.hpp>

#include "carobshift/gateway/endpoints/zone_evacuations.h"

namespace carobshift {
namespace {

const ZoneName kZone("a");
const RegionName kWest("west");
const RegionName kNorth("north");

TEST_CASE("a zone is allowed if its region is listed, or if none is") {
  const ZoneRegions regions{{{kZone, kWest}}};
  CHECK(regions.Allows({}, kZone));
  CHECK(regions.Allows({kNorth, kWest}, kZone));
  CHECK_FALSE(regions.Allows({kNorth}, kZone));
}

// Guards against a request served in a zone that the settings don't name.
TEST_CASE("a zone of unknown region is allowed by no list") {
  const ZoneRegions regions;
  CHECK(regions.Allows({}, kZone));
  CHECK_FALSE(regions.Allows({kWest}, kZone));
}

// Guards against two lists without a common region that allow every region.
TEST_CASE("lists without a common region allow none") {
  const ZoneRegions regions{{{kZone, kWest}}};
  CHECK(CommonRegions({}, {}).empty());
  CHECK(CommonRegions({kWest}, {}) == std::vector{kWest});
  CHECK(CommonRegions({kWest, kNorth}, {kWest}) == std::vector{kWest});
  CHECK_FALSE(regions.Allows(CommonRegions({kWest}, {kNorth}), kZone));
}

TEST_CASE("an evacuation holds until it is taken back") {
  const MonotonicTime now{Seconds(100)};
  ZoneEvacuations evacuations;
  CHECK_FALSE(evacuations.Set(kZone, false, now));
  CHECK(evacuations.Set(kZone, true, now));
  CHECK_FALSE(evacuations.Set(kZone, true, now + Seconds(1)));
  CHECK(evacuations.all().at(kZone) == now);
  CHECK(evacuations.Missing({}) == std::vector{kZone});
  CHECK(evacuations.Missing({kZone}).empty());
  CHECK(evacuations.Set(kZone, false, now));
  CHECK_FALSE(evacuations.Contains(kZone));
}

}  // namespace
}  // namespace carobshift
