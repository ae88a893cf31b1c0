#include "carobshift/gateway/endpoints/zone_evacuations.h"

namespace carobshift {

bool ZoneEvacuations::Set(const ZoneName& zone,
                          bool evacuated,
                          MonotonicTime now) {
  if (!evacuated)
    return begun_.erase(zone) > 0;
  return begun_.emplace(zone, now).second;
}

std::vector<ZoneName> ZoneEvacuations::Missing(
    const std::set<ZoneName>& zones) const {
  std::vector<ZoneName> missing;
  for (const auto& [zone, begun] : begun_) {
    if (!zones.contains(zone))
      missing.push_back(zone);
  }
  return missing;
}

}  // namespace carobshift
