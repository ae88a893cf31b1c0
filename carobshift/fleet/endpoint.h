// The observed state of one endpoint, as an instance sees it. The fleet planner
// and the selection of endpoints for new work read it.
//
//   if (endpoint.status && !endpoint.leaving) ...

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
  // True if the instance list, the endpoint's own answer or a peer's gossip
  // reports it as leaving.
  bool leaving = false;
  // When the drain before an order began. A draining endpoint gets no new work.
  std::optional<MonotonicTime> draining_since{};
  // The last status of an engine that answers; nullopt for plain services and
  // for engines that have not answered recently.
  std::optional<EngineStatus> status{};
  // When the status request was sent; the status is at least as recent as this.
  MonotonicTime status_asked{};
  // Consecutive failures of status requests or of work.
  int failures = 0;
  // When the engine stopped answering.
  std::optional<MonotonicTime> silent_since{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_FLEET_ENDPOINT_H_
