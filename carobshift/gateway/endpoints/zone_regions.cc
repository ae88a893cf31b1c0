#include "carobshift/gateway/endpoints/zone_regions.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace carobshift {

ZoneRegions::ZoneRegions(std::map<ZoneName, RegionName> regions)
    : regions_(std::move(regions)) {}

std::optional<RegionName> ZoneRegions::RegionOf(const ZoneName& zone) const {
  const auto found = regions_.find(zone);
  if (found == regions_.end())
    return std::nullopt;
  return found->second;
}

bool ZoneRegions::Allows(const std::vector<RegionName>& allowed,
                         const ZoneName& zone) const {
  if (allowed.empty())
    return true;
  const std::optional<RegionName> region = RegionOf(zone);
  return region &&
         std::find(allowed.begin(), allowed.end(), *region) != allowed.end();
}

std::vector<RegionName> CommonRegions(std::vector<RegionName> one,
                                      std::vector<RegionName> other) {
  std::sort(one.begin(), one.end());
  std::sort(other.begin(), other.end());
  if (one.empty())
    return other;
  if (other.empty())
    return one;
  std::vector<RegionName> common;
  std::set_intersection(one.begin(), one.end(), other.begin(), other.end(),
                        std::back_inserter(common));
  if (common.empty())
    common.emplace_back();
  return common;
}

}  // namespace carobshift
