#include "carobshift/gateway/endpoints/endpoint_eligibility.h"

#include <algorithm>

namespace carobshift {

SendObstacle EndpointEligibility::ObstacleAt(const ExchangeSetup& setup,
                                             const EndpointRecord& endpoint,
                                             MonotonicTime now) const {
  if (endpoint.service != setup.service || endpoint.leaving ||
      stated_.IsLeaving(EndpointIncarnation::Of(endpoint)))
    return SendObstacle::kNotServing;
  if (setup.software && endpoint.software != *setup.software)
    return SendObstacle::kOtherSoftware;
  if (!InAllowedRegion(setup, endpoint.zone))
    return SendObstacle::kRegionNotAllowed;
  if (evacuations_.Contains(endpoint.zone))
    return SendObstacle::kZoneEvacuated;
  if (!stated_.MaySend(EndpointIncarnation::Of(endpoint), now))
    return SendObstacle::kPaused;
  if (!limits_.MaySend(EndpointIncarnation::Of(endpoint), now) ||
      !cold_starts_.MaySend(endpoint, now))
    return SendObstacle::kRateUsedUp;
  if (!rejections_.MaySend(endpoint, now))
    return SendObstacle::kShareUsedUp;
  return SendObstacle::kNone;
}

bool EndpointEligibility::MayStillSend(const ExchangeSetup& setup,
                                       const EndpointRecord& endpoint,
                                       MonotonicTime now) const {
  // A pause that has begun since is an obstacle, unlike the interval after one.
  if (stated_.PauseLeft(EndpointIncarnation::Of(endpoint), now) >
      Milliseconds(0))
    return false;
  const SendObstacle obstacle = ObstacleAt(setup, endpoint, now);
  return obstacle == SendObstacle::kNone || PassesWithLoad(obstacle);
}

Milliseconds EndpointEligibility::PauseAt(const EndpointRecord& endpoint,
                                          MonotonicTime now) const {
  return stated_.WaitFor(EndpointIncarnation::Of(endpoint), now);
}

Milliseconds EndpointEligibility::LoadWaitAt(const EndpointRecord& endpoint,
                                             MonotonicTime now) const {
  return std::max({limits_.WaitFor(EndpointIncarnation::Of(endpoint), now),
                   cold_starts_.WaitFor(endpoint, now),
                   rejections_.WaitFor(endpoint, now)});
}

bool EndpointEligibility::MaySaveIn(const ExchangeSetup& setup,
                                    const ZoneName& zone) const {
  return !evacuations_.Contains(zone) && InAllowedRegion(setup, zone);
}

bool EndpointEligibility::InAllowedRegion(const ExchangeSetup& setup,
                                          const ZoneName& zone) const {
  return regions_.Allows(setup.route->allowed_regions, zone) &&
         (setup.account == nullptr ||
          regions_.Allows(setup.account->allowed_regions, zone));
}

}  // namespace carobshift
