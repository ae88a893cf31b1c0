// ZoneRegions maps availability zones to their regions and checks whether a
// zone lies in one of the regions that a route or a client account allows.
//
//   ZoneRegions regions(settings.regions);
//   if (regions.Allows(route.allowed_regions, record.zone)) ...
//
// Immutable, and therefore thread-safe.

#ifndef CAROBSHIFT_GATEWAY_ENDPOINTS_ZONE_REGIONS_H_
#define CAROBSHIFT_GATEWAY_ENDPOINTS_ZONE_REGIONS_H_

#include <map>
#include <optional>
#include <vector>

#include "carobshift/base/ids.h"

namespace carobshift {

class ZoneRegions {
 public:
  ZoneRegions() = default;
  explicit ZoneRegions(std::map<ZoneName, RegionName> regions);

  // Returns nullopt for a zone that the settings don't name.
  [[nodiscard]] std::optional<RegionName> RegionOf(const ZoneName& zone) const;
  // Returns whether `zone` lies in one of the regions in `allowed`. An empty
  // list allows every zone; a zone of unknown region is allowed by no other
  // list.
  [[nodiscard]] bool Allows(const std::vector<RegionName>& allowed,
                            const ZoneName& zone) const;

 private:
  std::map<ZoneName, RegionName> regions_;
};

// Returns the regions that both lists allow, sorted; empty if both allow every
// region. If the lists have no region in common, returns a list of one empty
// name, which allows none.
[[nodiscard]] std::vector<RegionName> CommonRegions(
    std::vector<RegionName> one,
    std::vector<RegionName> other);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINTS_ZONE_REGIONS_H_
