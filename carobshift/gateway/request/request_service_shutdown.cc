// The part of RequestService that prepares for the end of the process in a
// planned stop.

#include <algorithm>
#include <memory>
#include <vector>

#include "carobshift/gateway/request/request_service.h"

namespace carobshift {

void RequestService::BeginStop(const ShutdownSchedule& shutdown) {
  shutdown_ = shutdown;
  CloseIdleConnections();
}

void RequestService::CloseIdleConnections() {
  std::vector<std::shared_ptr<HttpServerConnection>> all;
  for (const auto& [key, connection] : connections_)
    all.push_back(connection);
  for (const auto& connection : all)
    connection->CloseWhenIdle();
}

bool RequestService::MayStart(const Route& route,
                              const CallerRequest& request) const {
  const Milliseconds time =
      std::min(route.timeout, request.time_left.value_or(route.timeout));
  return !shutdown_ || shutdown_->MayStart(loop_.now() + time);
}

}  // namespace carobshift
