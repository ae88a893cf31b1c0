#include "carobshift/gateway/endpoints/reachability_monitor.h"

#include <cstdint>

#include "carobshift/telemetry/event_log.h"

namespace carobshift {

std::map<NetAddress, ServiceName> EndpointsToReach(
    const ServingConfig& config,
    const EndpointRegistry& registry,
    const ZoneEvacuations& evacuations) {
  std::map<NetAddress, ServiceName> endpoints;
  for (const auto& [id, record] : registry.all()) {
    const DeclaredService* const service = config.FindService(record.service);
    if (service == nullptr || service->store || record.leaving ||
        evacuations.Contains(record.zone))
      continue;
    endpoints[record.address] = record.service;
  }
  return endpoints;
}

ReachabilityMonitor::ReachabilityMonitor(EventLoop& loop,
                                         HttpClient& client,
                                         Metrics& metrics,
                                         Milliseconds connect_timeout)
    : loop_(loop),
      client_(client),
      metrics_(metrics),
      connect_timeout_(connect_timeout) {
  client_.SetObserver(this);
}

ReachabilityMonitor::~ReachabilityMonitor() {
  client_.SetObserver(nullptr);
  loop_.CancelTimer(advance_timer_);
  loop_.CancelTimer(action_timer_);
}

void ReachabilityMonitor::SetEndpoints(
    const std::map<NetAddress, ServiceName>& endpoints) {
  reachability_.SetEndpoints(endpoints, loop_.now());
  ScheduleActions();
}

void ReachabilityMonitor::OnConnectStarted(const NetAddress& address) {
  Pass(&ServiceReachability::OnConnectStarted, address);
}

void ReachabilityMonitor::OnConnected(const NetAddress& address) {
  Pass(&ServiceReachability::OnConnected, address);
}

void ReachabilityMonitor::OnConnectFailed(const NetAddress& address) {
  Pass(&ServiceReachability::OnConnectFailed, address);
}

void ReachabilityMonitor::OnConnectAbandoned(const NetAddress& address) {
  Pass(&ServiceReachability::OnConnectAbandoned, address);
}

void ReachabilityMonitor::OnRequestSent(const NetAddress& address) {
  Pass(&ServiceReachability::OnRequestSent, address);
}

void ReachabilityMonitor::OnRequestEnded(const NetAddress& address) {
  Pass(&ServiceReachability::OnRequestEnded, address);
}

void ReachabilityMonitor::OnBytesReceived(const NetAddress& address) {
  Pass(&ServiceReachability::OnBytesReceived, address);
}

void ReachabilityMonitor::OnConnectionBroken(const NetAddress& address) {
  Pass(&ServiceReachability::OnConnectionBroken, address);
}

void ReachabilityMonitor::Pass(Event event, const NetAddress& address) {
  (reachability_.*event)(address, loop_.now());
  ScheduleAdvance();
  ScheduleActions();
}

void ReachabilityMonitor::ScheduleAdvance() {
  if (advance_scheduled_ || !reachability_.NeedsAdvance(loop_.now()))
    return;
  advance_scheduled_ = true;
  advance_timer_ = loop_.AddTimer(
      loop_.now() + ServiceReachability::kAdvanceInterval, [this] {
        advance_scheduled_ = false;
        reachability_.Advance(loop_.now());
        ScheduleAdvance();
        ScheduleActions();
      });
}

void ReachabilityMonitor::ScheduleActions() {
  if (actions_scheduled_ || !reachability_.HasActions())
    return;
  actions_scheduled_ = true;
  action_timer_ = loop_.AddTimer(loop_.now(), [this] {
    actions_scheduled_ = false;
    Act();
  });
}

void ReachabilityMonitor::Act() {
  for (const NetAddress& address : reachability_.TakeProbes()) {
    metrics_.Add("carobshift_reachability_probes_total", {}, 1);
    if (!client_.OpenConnection(address, connect_timeout_))
      reachability_.OnProbeNotOpened(address, loop_.now());
  }
  for (const ReachabilityChange& change : reachability_.TakeChanges())
    Report(change);
}

void ReachabilityMonitor::Report(const ReachabilityChange& change) {
  constexpr std::int64_t kNeverReceived = -1;
  const bool reached = change.reach == ServiceReach::kReached;
  LogEvent(reached ? LogLevel::kInfo : LogLevel::kWarning,
           reached ? "service_reachable_again" : "service_unreachable",
           {{"service", change.service.value()},
            {"state", ServiceReachName(change.reach)},
            {"endpoints", change.endpoints},
            {"tried", change.tried},
            {"failed", change.failed},
            {"last_bytes_age_ms", change.last_bytes_age
                                      ? change.last_bytes_age->count()
                                      : kNeverReceived}});
  metrics_.Set("carobshift_unreached_services", {},
               static_cast<double>(reachability_.Unreached().size()));
  if (on_change_)
    on_change_(change);
}

}  // namespace carobshift
