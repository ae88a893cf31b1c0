// Connects ServiceReachability to the connections of this instance: passes the
// client's events on, opens the probes, and logs and counts the changes.
//
//   ReachabilityMonitor monitor(loop, client, metrics, connect_timeout);
//   monitor.SetEndpoints(EndpointsToReach(config, registry, evacuations));
//   monitor.SetOnChange([](const ReachabilityChange& change) { ... });
//   if (monitor.reachability().ReachOf(service) != ServiceReach::kReached) ...
//
// Probes are opened and changes are reported in a later iteration of the event
// loop, because the events arrive while the client is working. ReachOf() has
// the new state at once.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_ENDPOINTS_REACHABILITY_MONITOR_H_
#define CAROBSHIFT_GATEWAY_ENDPOINTS_REACHABILITY_MONITOR_H_

#include <functional>
#include <map>
#include <utility>

#include "carobshift/gateway/endpoints/endpoint_registry.h"
#include "carobshift/gateway/endpoints/service_reachability.h"
#include "carobshift/gateway/endpoints/zone_evacuations.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/net/event_loop.h"
#include "carobshift/net/http_client.h"
#include "carobshift/telemetry/metrics.h"

namespace carobshift {

// Returns the endpoints to which requests may be sent, by address. Leaves out
// stores, endpoints that are stopping and those in evacuated zones.
[[nodiscard]] std::map<NetAddress, ServiceName> EndpointsToReach(
    const ServingConfig& config,
    const EndpointRegistry& registry,
    const ZoneEvacuations& evacuations);

class ReachabilityMonitor : private HttpClientObserver {
 public:
  using OnChange = std::function<void(const ReachabilityChange&)>;

  // Observes `client` until destroyed.
  ReachabilityMonitor(EventLoop& loop,
                      HttpClient& client,
                      Metrics& metrics,
                      Milliseconds connect_timeout);
  ~ReachabilityMonitor() override;
  ReachabilityMonitor(const ReachabilityMonitor&) = delete;
  ReachabilityMonitor& operator=(const ReachabilityMonitor&) = delete;

  void SetEndpoints(const std::map<NetAddress, ServiceName>& endpoints);
  void SetOnChange(OnChange on_change) { on_change_ = std::move(on_change); }

  [[nodiscard]] const ServiceReachability& reachability() const {
    return reachability_;
  }

 private:
  using Event = void (ServiceReachability::*)(const NetAddress&, MonotonicTime);

  void OnConnectStarted(const NetAddress& address) override;
  void OnConnected(const NetAddress& address) override;
  void OnConnectFailed(const NetAddress& address) override;
  void OnConnectAbandoned(const NetAddress& address) override;
  void OnRequestSent(const NetAddress& address) override;
  void OnRequestEnded(const NetAddress& address) override;
  void OnBytesReceived(const NetAddress& address) override;
  void OnConnectionBroken(const NetAddress& address) override;

  void Pass(Event event, const NetAddress& address);
  // Makes sure that Advance() runs while there is something to decide.
  void ScheduleAdvance();
  void ScheduleActions();
  void Act();
  void Report(const ReachabilityChange& change);

  EventLoop& loop_;
  HttpClient& client_;
  Metrics& metrics_;
  Milliseconds connect_timeout_;
  ServiceReachability reachability_;
  OnChange on_change_;
  TimerId advance_timer_;
  TimerId action_timer_;
  bool advance_scheduled_ = false;
  bool actions_scheduled_ = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINTS_REACHABILITY_MONITOR_H_
