// ZoneEvacuations holds the availability zones that the operator has evacuated.
//
//   ZoneEvacuations evacuations;
//   evacuations.Set(zone, /*evacuated=*/true, now);
//   if (evacuations.Contains(record.zone))
//     continue;  // send nothing there
//
// Requests in progress at an endpoint of an evacuated zone finish there. The KV
// cache of its engines and stores may still be fetched by engines of other
// zones.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_ENDPOINTS_ZONE_EVACUATIONS_H_
#define CAROBSHIFT_GATEWAY_ENDPOINTS_ZONE_EVACUATIONS_H_

#include <map>
#include <set>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

class ZoneEvacuations {
 public:
  // Begins or ends the evacuation of a zone. Returns whether this changed
  // anything.
  bool Set(const ZoneName& zone, bool evacuated, MonotonicTime now);
  // Returns the evacuated zones that are not in `zones`.
  [[nodiscard]] std::vector<ZoneName> Missing(
      const std::set<ZoneName>& zones) const;

  [[nodiscard]] bool Contains(const ZoneName& zone) const {
    return begun_.contains(zone);
  }
  // The evacuated zones, and when this instance learned of each evacuation.
  [[nodiscard]] const std::map<ZoneName, MonotonicTime>& all() const {
    return begun_;
  }

 private:
  std::map<ZoneName, MonotonicTime> begun_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINTS_ZONE_EVACUATIONS_H_
