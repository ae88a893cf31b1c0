// The parts of a Gateway, and how they are connected. For gateway.cc and
// gateway_pages.cc.

#ifndef CAROBSHIFT_GATEWAY_GATEWAY_IMPL_H_
#define CAROBSHIFT_GATEWAY_GATEWAY_IMPL_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "carobshift/gateway/admission/account_usage_sharing.h"
#include "carobshift/gateway/cache/cache_watcher.h"
#include "carobshift/gateway/cache/store_reclaimer.h"
#include "carobshift/gateway/connection_options.h"
#include "carobshift/gateway/connection_quota_report.h"
#include "carobshift/gateway/endpoints/cold_start_sharing.h"
#include "carobshift/gateway/endpoints/limit_sharing.h"
#include "carobshift/gateway/endpoints/reachability_monitor.h"
#include "carobshift/gateway/endpoints/rejection_sharing.h"
#include "carobshift/gateway/gateway.h"
#include "carobshift/gateway/gateway_state.h"
#include "carobshift/gateway/handoff/handoff_listener.h"
#include "carobshift/gateway/handoff/handoff_runner.h"
#include "carobshift/gateway/instances/cluster.h"
#include "carobshift/gateway/instances/member_discovery.h"
#include "carobshift/gateway/instances/reachability_sharing.h"
#include "carobshift/gateway/instances/suspect_sharing.h"
#include "carobshift/gateway/load/load_query_service.h"
#include "carobshift/gateway/load/load_sharing.h"
#include "carobshift/gateway/query_service.h"
#include "carobshift/gateway/records/keyed_follower.h"
#include "carobshift/gateway/records/peer_sync.h"
#include "carobshift/gateway/records/record_listener.h"
#include "carobshift/gateway/request/request_service.h"
#include "carobshift/gateway/shutdown_schedule.h"
#include "carobshift/gateway/streams/shared_stream_directory.h"
#include "carobshift/gateway/streams/sole_version_learner.h"
#include "carobshift/gateway/weights/weight_rollout_controller.h"
#include "carobshift/net/tcp_listener.h"
#include "carobshift/telemetry/metrics.h"

namespace carobshift {

struct Gateway::Impl {
  Impl(const GatewaySettings& initial_settings, const Dialects& wire_formats)
      : settings(initial_settings),
        dialects(wire_formats),
        listener{
            .on_config = [this](auto config) { OnConfig(std::move(config)); },
            .on_weights =
                [this](const NamedWeights& named, NamingAge time) {
                  if (time == NamingAge::kJustNow && !WasPaused())
                    rollout_controller.SetTarget(named.model, named.number);
                  else
                    rollout_controller.SetInitialTarget(named.model,
                                                        named.number);
                },
            .on_endpoints = [this] { OnEndpoints(); },
            .on_evacuation =
                [this](const ZoneName& zone, bool evacuated) {
                  OnEvacuation(zone, evacuated);
                },
            .on_cold_endpoint =
                [this](const EndpointRecord& endpoint) {
                  requests.OnColdEndpoint(endpoint);
                }} {}

  // If no tick ran for this long, the process was suspended or starved. With a
  // shorter pause, the error in the age of newly named weights is within the
  // safety margin of weights_replacement_bound.
  static constexpr Milliseconds kPauseThreshold{500};
  // In this time after a deployment's first start no endpoint has come and
  // gone.
  static constexpr Milliseconds kFirstStartTime{3000};

  Status Start();
  Status Listen();
  void OnTick();
  // Schedules one update for all records of a batch. An instance that starts
  // reads about a hundred records, and an update after each of them would take
  // seconds.
  void OnEndpoints();
  void OnEvacuation(const ZoneName& zone, bool evacuated);
  // To be called after each change of the configuration, the registry or the
  // evacuated zones.
  void UpdateEndpointsToReach();
  // Returns whether an instance, which may be this one, reaches the engines of
  // all services.
  [[nodiscard]] bool ReachesEngines(const EntryId& id) const;
  [[nodiscard]] ServiceLoss LossOf(const ServiceName& service) const;
  // Returns whether the log has lately told which endpoints there are.
  [[nodiscard]] bool EndpointRecordsAreCurrent() const;
  void OnMembers();
  // Does nothing before the other instances are known.
  void WatchCaches();
  void OnConfig(std::shared_ptr<const ServingConfigSnapshot> config);
  // The stop was requested at `sent` at the earliest.
  void BeginStop(MonotonicTime sent);
  void EndOpenRequests();
  [[nodiscard]] bool Stopped() const;
  QueryAnswer Answer(const HttpHead& question);
  QueryAnswer AnswerMetrics(const HttpHead& question);
  [[nodiscard]] std::string StateDumpText() const;
  [[nodiscard]] HandoffEnvironment HandoffEnvironmentOf();
  [[nodiscard]] RequestServiceOptions ServiceOptions();
  [[nodiscard]] static KeyedFollowerOptions EndpointFollowerOptions();

  GatewaySettings settings;
  Dialects dialects;
  // Before the loop, whose timers may hold what counts in them to the end.
  // Of replies to calls of this instance's own and of what attempts hold of
  // answers.
  ByteBudget reply_budget{MaxHeldReplyBytes(settings.memory_limit)};
  // Of what callers, and other instances, make this one hold on all listeners.
  ByteBudget caller_budget{MaxCallerBytes(settings.memory_limit)};
  ConnectionQuota caller_quota{CallerQuota(settings.file_descriptors),
                               caller_budget};
  ConnectionQuotaReport quota_report;
  EventLoop loop;
  Metrics metrics;
  GatewayStateListener listener;
  HttpClient endpoint_client{
      loop,
      {.tcp = kEndpointTcp, .reply_budget = &reply_budget}};
  // Separate from the requests' client, so that a flood of requests doesn't use
  // up the connections to the log and the stores, or the other way round.
  HttpClient control_client{
      loop,
      {.tcp = kControlTcp, .reply_budget = &reply_budget}};
  // Separate from the endpoints' client, whose connections show which services
  // this instance reaches.
  HttpClient handoff_client{loop, {.tcp = kEndpointTcp}};
  ReachabilityMonitor reachability{loop, endpoint_client, metrics,
                                   RequestServiceOptions{}.connect_timeout};
  EndpointRegistry registry;
  CacheContents contents;
  WeightDeadlines deadlines{settings.weights_replacement_bound};
  ZoneEvacuations evacuations;
  ZoneRegions regions{settings.regions};
  Cluster cluster{loop, settings};
  RequestService requests{loop,     endpoint_client, dialects.request, registry,
                          contents, deadlines,       evacuations,      regions,
                          metrics,  ServiceOptions()};
  PeerDatagrams datagrams{loop, settings, cluster};
  ReachabilitySharing reachability_sharing{loop, cluster, datagrams,
                                           reachability.reachability()};
  HandoffRunner handoff_runner{loop,
                               handoff_client,
                               dialects.request,
                               requests.attempt_runner(),
                               reachability_sharing,
                               regions,
                               metrics,
                               HandoffEnvironmentOf()};
  HandoffListener handoff_listener{
      loop,
      requests,
      metrics,
      {settings.entry, cluster.incarnation(), SharedSecret(settings)}};
  LoadQueryService load_query_service{
      loop,
      {cluster.incarnation(), [this] { return cluster.Live(); }},
      datagrams,
      requests.loads()};
  SharedStreamDirectory stream_directory{
      loop,
      {cluster.incarnation(), [this] { return cluster.Live(); },
       [this] { return cluster.Stopping(); }},
      datagrams,
      metrics};
  SoleVersionLearner sole_versions{registry, stream_directory};
  LoadSharing load_sharing{loop, cluster, datagrams, requests.loads()};
  AccountUsageSharing account_usage_sharing{loop, cluster, datagrams,
                                            requests.account_usage()};
  LimitSharing limit_sharing{loop, cluster, datagrams, requests.limits()};
  ColdStartSharing cold_start_sharing{loop, cluster, datagrams, registry,
                                      requests.cold_starts()};
  RejectionSharing rejection_sharing{loop, cluster, datagrams,
                                     requests.rejections()};
  SuspectSharing suspect_sharing{loop, cluster, datagrams,
                                 requests.part_suspects()};
  WeightRolloutController rollout_controller{
      loop, control_client, settings, dialects, cluster, registry, deadlines};
  CacheWatcher caches{loop, control_client, dialects.engine, datagrams,
                      contents};
  StoreReclaimer store_reclaimer{loop, control_client, dialects.engine,
                                 registry, contents};
  OperatorRecords operator_records{dialects.log, evacuations, listener};
  EndpointRecords endpoint_records{
      dialects.log, registry, listener,
      settings.first_start ? loop.now() + kFirstStartTime : MonotonicTime{}};
  KeyedFollower operator_follower{loop,
                                  control_client,
                                  settings.log,
                                  dialects.log,
                                  dialects.log.OperatorStream(),
                                  {},
                                  operator_records};
  KeyedFollower endpoint_follower{loop,
                                  control_client,
                                  settings.log,
                                  dialects.log,
                                  dialects.log.EndpointStream(),
                                  EndpointFollowerOptions(),
                                  endpoint_records};
  PeerSync peer_sync{loop,         control_client,    settings,
                     cluster,      operator_follower, endpoint_follower,
                     &caller_quota};
  RecordListener record_listener{
      loop,
      control_client,
      {cluster.membership().self(), [this] { return cluster.Live(); },
       SharedSecret(settings)},
      operator_follower,
      endpoint_follower};
  QueryService queries{
      loop, [this](const HttpHead& question) { return Answer(question); },
      &caller_quota};
  QueryService directory{
      loop, [this](const HttpHead& question) { return Answer(question); },
      &caller_quota};
  QueryService metrics_page{
      loop,
      [this](const HttpHead& question) { return AnswerMetrics(question); },
      &caller_quota};
  std::shared_ptr<TcpListener> caller_listener;
  // True if this process did not run for a while, so that records arriving now
  // may be old.
  [[nodiscard]] bool WasPaused() const {
    return loop.now() - last_tick > kPauseThreshold;
  }

  MemberDiscovery discovery;
  bool members_settled = false;
  bool endpoints_changed = false;
  MonotonicTime last_tick = loop.now();
  MonotonicTime next_sweep{};
  std::optional<ShutdownSchedule> shutdown;
  // The requests that were open at the end of their time have their answers.
  bool requests_ended = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_GATEWAY_IMPL_H_
