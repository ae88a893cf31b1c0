// The part of RequestService that prepares for the end of the process in a
// planned stop.

#include <algorithm>
#include <memory>
#include <vector>

#include "carobshift/gateway/request/request_service.h"

namespace carobshift {

void RequestService::BeginStop(const ShutdownSchedule& shutdown) {
  shutdown_ = shutdown;
  // First, so that the refusals announce the close.
  CloseIdleConnections();
  RefuseLateStarts();
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

bool RequestService::AdmitAttempt(Exchange& exchange) {
  const bool replied = exchange.summary().status != 0;
  if (!shutdown_ || replied || shutdown_->MayStart(exchange.deadline()))
    return true;
  runs_.at(&exchange).retry_after = ShutdownSchedule::kRetryAfter;
  return false;
}

void RequestService::RefuseLateStarts() {
  std::vector<std::shared_ptr<ExchangeRun>> late;
  for (const auto& [exchange, running] : runs_) {
    if (exchange->summary().attempts == 0 && !AdmitAttempt(*exchange))
      late.push_back(running.run);
  }
  for (const auto& run : late) {
    if (run->exchange().over())
      continue;
    if (runs_.at(&run->exchange()).wait_id)
      CountWait(run->exchange().setup(), "stopping");
    run->exchange().RefuseToStart(ResultCode::kEntryLeaving, loop_.now());
  }
}

}  // namespace carobshift
