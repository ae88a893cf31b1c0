#include "carobshift/gateway/request/request_resolver.h"

namespace carobshift {

Result<ResolvedRequest> ResolveRequest(const ServingConfigSnapshot* config,
                                       const CallerRequest& request) {
  if (config == nullptr)
    return Error{ResultCode::kNoConfig, "no configuration is in force"};
  ResolvedRequest resolved;
  resolved.route = config->routes().Find(request.host, request.target);
  if (resolved.route == nullptr)
    return Error{ResultCode::kUnknownRoute, request.host + request.target};
  if (!request.key.empty())
    resolved.account = config->AccountOfKey(request.key);
  const bool needs_account =
      config->config().requires_account && !resolved.route->anonymous;
  if (needs_account && resolved.account == nullptr)
    return Error{ResultCode::kUnauthenticated, "the key belongs to no account"};
  return resolved;
}

}  // namespace carobshift
