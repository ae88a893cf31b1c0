// Encodes what an instance knows as JSON, for operators who look into it.
//
//   const std::string text = EncodeStateDump(view, loop.now());

#ifndef CAROBSHIFT_GATEWAY_STATE_DUMP_H_
#define CAROBSHIFT_GATEWAY_STATE_DUMP_H_

#include <cstddef>
#include <string>
#include <vector>

#include "carobshift/gateway/endpoints/cold_start_limits.h"
#include "carobshift/gateway/endpoints/endpoint_registry.h"
#include "carobshift/gateway/endpoints/service_reachability.h"
#include "carobshift/gateway/endpoints/stated_availability.h"
#include "carobshift/gateway/endpoints/zone_evacuations.h"
#include "carobshift/gateway/request/part_suspects.h"
#include "carobshift/gateway/request/retry_allowance.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/membership/member.h"

namespace carobshift {

// Refers to the tables of one instance, which must outlive it.
struct StateDumpView {
  // Null before the first configuration.
  const ServingConfig* config = nullptr;
  const EndpointRegistry& registry;
  const ZoneEvacuations& evacuations;
  const ColdStartLimits& cold_starts;
  const ServiceReachability& reachability;
  const std::vector<MemberInfo>& members;
  const RetryAllowance& retries;
  const StatedAvailability& stated;
  const PartSuspects& part_suspects;
  std::size_t open_requests = 0;
  // Requests that wait for room at an endpoint; included in open_requests.
  std::size_t waiting_requests = 0;
  bool lease_holder = false;
  bool stopping = false;
};

[[nodiscard]] std::string EncodeStateDump(const StateDumpView& view,
                                          MonotonicTime now);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_STATE_DUMP_H_
