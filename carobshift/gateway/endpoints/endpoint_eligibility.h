// EndpointEligibility decides whether a request may be sent to an endpoint at
// all, by the endpoint's state as its record and its replies tell, the software
// version that began the request's stream, the operator's evacuations, the
// regions that the route and the client account allow, and the load that the
// endpoint bears. Placement (attempt_planner.h) chooses among the eligible
// endpoints.
//
//   EndpointEligibility eligibility(evacuations, regions, limits, cold_starts,
//                                  rejections, stated);
//   if (eligibility.ObstacleAt(setup, record, now) == SendObstacle::kNone)
//     candidates.push_back(record);
//
// Holds no state of its own. Reads the tables passed to the constructor, which
// must outlive it. Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_ENDPOINTS_ENDPOINT_ELIGIBILITY_H_
#define CAROBSHIFT_GATEWAY_ENDPOINTS_ENDPOINT_ELIGIBILITY_H_

#include "carobshift/gateway/endpoints/cold_start_limits.h"
#include "carobshift/gateway/endpoints/endpoint_record.h"
#include "carobshift/gateway/endpoints/rate_limits.h"
#include "carobshift/gateway/endpoints/rejection_limits.h"
#include "carobshift/gateway/endpoints/stated_availability.h"
#include "carobshift/gateway/endpoints/zone_evacuations.h"
#include "carobshift/gateway/endpoints/zone_regions.h"
#include "carobshift/gateway/request/exchange.h"

namespace carobshift {

// Why a request may not be sent to an endpoint, ordered from the lasting
// reasons to those that pass by themselves.
enum class SendObstacle {
  kNone,
  // The endpoint belongs to another service or is leaving, by its record or its
  // own replies.
  kNotServing,
  // The stream began at another software version than the endpoint's.
  kOtherSoftware,
  kRegionNotAllowed,
  kZoneEvacuated,
  // The endpoint has asked for no requests for a time, or it had, and another
  // one is to show first that the time is over.
  kPaused,
  // The endpoint's rate limit, or what it bears while it is cold, is used up.
  kRateUsedUp,
  // The endpoint's service states a rejection limit, and this instance has used
  // up its share of the slots or has none.
  kShareUsedUp,
};

// Returns whether the endpoint takes the request as soon as its load permits.
[[nodiscard]] inline bool PassesWithLoad(SendObstacle obstacle) {
  return obstacle == SendObstacle::kPaused ||
         obstacle == SendObstacle::kRateUsedUp ||
         obstacle == SendObstacle::kShareUsedUp;
}

class EndpointEligibility {
 public:
  EndpointEligibility(const ZoneEvacuations& evacuations,
                      const ZoneRegions& regions,
                      const RateLimits& limits,
                      const ColdStartLimits& cold_starts,
                      const RejectionLimits& rejections,
                      const StatedAvailability& stated)
      : evacuations_(evacuations),
        regions_(regions),
        limits_(limits),
        cold_starts_(cold_starts),
        rejections_(rejections),
        stated_(stated) {}

  // Returns the most lasting obstacle.
  [[nodiscard]] SendObstacle ObstacleAt(const ExchangeSetup& setup,
                                        const EndpointRecord& endpoint,
                                        MonotonicTime now) const;
  // Returns whether a planned attempt may still be sent, right before its first
  // byte. Its own part of the endpoint's load is counted already, so that load
  // is no obstacle.
  [[nodiscard]] bool MayStillSend(const ExchangeSetup& setup,
                                  const EndpointRecord& endpoint,
                                  MonotonicTime now) const;
  // Returns the time until the pause that the endpoint has asked for permits a
  // request; zero if there is none.
  [[nodiscard]] Milliseconds PauseAt(const EndpointRecord& endpoint,
                                     MonotonicTime now) const;
  // Returns the time until the endpoint's load permits the request; zero if it
  // does now. A pause is no part of it.
  [[nodiscard]] Milliseconds LoadWaitAt(const EndpointRecord& endpoint,
                                        MonotonicTime now) const;
  // Returns whether the request's KV cache may be saved in a store in `zone`.
  [[nodiscard]] bool MaySaveIn(const ExchangeSetup& setup,
                               const ZoneName& zone) const;

 private:
  [[nodiscard]] bool InAllowedRegion(const ExchangeSetup& setup,
                                     const ZoneName& zone) const;

  const ZoneEvacuations& evacuations_;
  const ZoneRegions& regions_;
  const RateLimits& limits_;
  const ColdStartLimits& cold_starts_;
  const RejectionLimits& rejections_;
  const StatedAvailability& stated_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINTS_ENDPOINT_ELIGIBILITY_H_
