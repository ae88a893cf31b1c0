// The part of RequestService that prepares for the end of the process in a
// planned stop.

#include <algorithm>
#include <memory>
#include <vector>

#include "carobshift/gateway/request/request_service.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {

void RequestService::BeginStop(const ShutdownSchedule& shutdown) {
  shutdown_ = shutdown;
  // First, so that the refusals announce the close.
  CloseIdleConnections();
  RefuseLateStarts();
}

std::vector<std::shared_ptr<HttpServerConnection>> RequestService::Connections()
    const {
  std::vector<std::shared_ptr<HttpServerConnection>> all;
  for (const auto& [key, connection] : connections_)
    all.push_back(connection);
  return all;
}

void RequestService::CloseIdleConnections() {
  for (const auto& connection : Connections())
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

void RequestService::EndOpenRequests() {
  std::vector<std::shared_ptr<ExchangeRun>> open;
  for (const auto& [exchange, running] : runs_)
    open.push_back(running.run);
  LogEvent(LogLevel::kInfo, "stop_ends_requests", {{"requests", open.size()}});
  // The end of the grace period is a deadline for all of them.
  for (const auto& run : open) {
    LogStopCut(*run);
    run->exchange().OnDeadline(loop_.now());
  }
  for (const auto& connection : Connections())
    connection->RefuseUnfinished();
}

void RequestService::LogStopCut(ExchangeRun& run) const {
  Exchange& exchange = run.exchange();
  const Running& running = runs_.at(&exchange);
  const auto age_of = [this](MonotonicTime time) {
    return shutdown_->Age(time).count();
  };
  nlohmann::json fields = {{"request", exchange.request().id.value()},
                           {"route", exchange.setup().route->name},
                           {"arrived_ms", age_of(exchange.setup().arrived)},
                           {"attempts", running.attempts.size()},
                           {"replied", exchange.summary().status != 0},
                           {"suspended", exchange.suspended()},
                           {"waiting", running.wait_id.has_value()},
                           {"handed_over", exchange.request().handed_over},
                           {"unsent", running.connection->unsent_bytes()}};
  if (!running.attempts.empty()) {
    const AttemptRecord& last = running.attempts.back();
    fields["endpoint"] = last.endpoint.value();
    fields["began_ms"] = age_of(last.began);
    fields["last_received_ms"] =
        age_of(run.LastReceived(last.number, loop_.now()));
  }
  LogEvent(LogLevel::kWarning, "stop_cuts_request", std::move(fields));
}

std::size_t RequestService::unsent_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [key, connection] : connections_)
    bytes += connection->unsent_bytes();
  return bytes;
}

bool RequestService::busy() const {
  return !runs_.empty() ||
         std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& entry) { return entry.second->busy(); });
}

}  // namespace carobshift
