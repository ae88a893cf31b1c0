// What an entry believes of one endpoint, as the planner and the choice of
// endpoints for new work see it.
//
//   if (endpoint.Answers() && !endpoint.leaving) ...

#ifndef CAROBSHIFT_FLEET_ENDPOINT_H_
#define CAROBSHIFT_FLEET_ENDPOINT_H_

#include <optional>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/units.h"
#include "carobshift/config/declaration.h"
#include "carobshift/external/engine.h"
#include "carobshift/external/instance_list.h"

namespace carobshift {

struct ObservedEndpoint {
  EndpointId id{};
  InstanceKind kind = InstanceKind::kEngine;
  PoolName pool{};
  ZoneName zone{};
  NetAddress address{};
  // By the list, its own answer or a peer's gossip.
  bool leaving = false;
  // Kept free of new work for an order, since this time.
  std::optional<MonotonicTime> draining_since{};
  // The last status of an engine that answers; nothing for plain services and
  // for engines that have not answered lately.
  std::optional<EngineStatus> status{};
  // When the status was asked for: what it says was true then or later.
  MonotonicTime status_asked{};
  // Failures in a row, of status requests or of work.
  int failures = 0;
  // Since when an engine has not answered.
  std::optional<MonotonicTime> silent_since{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_FLEET_ENDPOINT_H_
