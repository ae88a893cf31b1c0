// Options of RequestService.

#ifndef CAROBSHIFT_GATEWAY_REQUEST_REQUEST_SERVICE_OPTIONS_H_
#define CAROBSHIFT_GATEWAY_REQUEST_REQUEST_SERVICE_OPTIONS_H_

#include <cstdint>

#include "carobshift/base/units.h"
#include "carobshift/gateway/endpoints/cold_start_limits.h"
#include "carobshift/gateway/request/retry_allowance.h"
#include "carobshift/net/connection_quota.h"

namespace carobshift {

struct RequestServiceOptions {
  RetryLimits retries;
  ColdStartOptions cold_start;
  // A hash that differs between instances.
  std::uint64_t instance = 0;
  // Connecting to an endpoint takes a round trip of a few milliseconds. If it
  // takes longer than this, the connection attempt was lost or the endpoint is
  // unreachable.
  Milliseconds connect_timeout{200};
  // Maximum idle time of a reused connection for a request that may run only
  // once: if the connection has failed unnoticed, the outcome of the request is
  // unknown.
  Milliseconds run_once_max_idle{1000};
  // Of all listeners; see HttpServerLimits::quota. Null for no bound.
  ConnectionQuota* quota = nullptr;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_REQUEST_SERVICE_OPTIONS_H_
