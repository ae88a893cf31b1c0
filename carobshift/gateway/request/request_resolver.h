// Finds the route and the client account of a caller's request, or the reason
// to reject it.
//
//   const Result<ResolvedRequest> resolved = ResolveRequest(config, request);
//   if (!resolved.ok())
//     Reject(resolved.error().code);
//
// Pure, and therefore thread-safe.

#ifndef CAROBSHIFT_GATEWAY_REQUEST_REQUEST_RESOLVER_H_
#define CAROBSHIFT_GATEWAY_REQUEST_REQUEST_RESOLVER_H_

#include "carobshift/base/result.h"
#include "carobshift/gateway/request/caller_request.h"
#include "carobshift/gateway/serving_config.h"

namespace carobshift {

// Points into the configuration.
struct ResolvedRequest {
  const Route* route = nullptr;
  // Null for a caller without an account.
  const Account* account = nullptr;
};

// `config` is null before the first configuration. Returns kNoConfig,
// kUnknownRoute, or kUnauthenticated if the route requires an account and the
// request's key belongs to none.
[[nodiscard]] Result<ResolvedRequest> ResolveRequest(
    const ServingConfigSnapshot* config,
    const CallerRequest& request);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_REQUEST_RESOLVER_H_
