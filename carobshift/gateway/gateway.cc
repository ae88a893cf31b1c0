#include "carobshift/gateway/gateway.h"

#include <algorithm>
#include <set>
#include <utility>

#include "carobshift/base/digest.h"
#include "carobshift/gateway/admission/account_usage_sharing.h"
#include "carobshift/gateway/cache/cache_watcher.h"
#include "carobshift/gateway/cache/store_reclaimer.h"
#include "carobshift/gateway/connection_options.h"
#include "carobshift/gateway/endpoints/cold_start_sharing.h"
#include "carobshift/gateway/endpoints/limit_sharing.h"
#include "carobshift/gateway/endpoints/reachability_monitor.h"
#include "carobshift/gateway/endpoints/rejection_sharing.h"
#include "carobshift/gateway/gateway_state.h"
#include "carobshift/gateway/handoff/handoff_listener.h"
#include "carobshift/gateway/handoff/handoff_runner.h"
#include "carobshift/gateway/instances/address_choice.h"
#include "carobshift/gateway/instances/cluster.h"
#include "carobshift/gateway/instances/member_discovery.h"
#include "carobshift/gateway/instances/peer_choice.h"
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
#include "carobshift/gateway/signal_time.h"
#include "carobshift/gateway/state_dump.h"
#include "carobshift/gateway/streams/shared_stream_directory.h"
#include "carobshift/gateway/streams/sole_version_learner.h"
#include "carobshift/gateway/weights/weight_rollout_controller.h"
#include "carobshift/net/tcp_listener.h"
#include "carobshift/telemetry/event_log.h"
#include "carobshift/telemetry/log_output.h"
#include "carobshift/telemetry/metrics.h"

namespace carobshift {
namespace {

constexpr Milliseconds kTick{100};
constexpr Milliseconds kIdleSweepInterval{1000};
// If no tick ran for this long, the process was suspended or starved. With a
// shorter pause, the error in the age of newly named weights is within the
// safety margin of weights_replacement_bound.
constexpr Milliseconds kPauseThreshold{500};
// Callers repeat their address query after this time. A shorter TTL replaces a
// dead instance sooner but costs more queries.
constexpr Milliseconds kAddressTtl{2000};
// Endpoint records are read in batches at this interval. Each read has a cost,
// and a change may take up to two seconds to take effect.
constexpr Milliseconds kEndpointReadInterval{500};
// In this time after a deployment's first start no endpoint has come and gone.
constexpr Milliseconds kFirstStartTime{3000};

RequestServiceOptions ServiceOptions(const GatewaySettings& settings) {
  RequestServiceOptions options;
  options.retries = settings.retries;
  options.retries.first_start = settings.first_start;
  options.cold_start = settings.cold_start;
  options.instance = FastHash(settings.entry.value());
  return options;
}

KeyedFollowerOptions EndpointFollowerOptions() {
  KeyedFollowerOptions options;
  options.min_read_interval = kEndpointReadInterval;
  return options;
}

}  // namespace

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

  GatewaySettings settings;
  Dialects dialects;
  EventLoop loop;
  Metrics metrics;
  GatewayStateListener listener;
  // Of replies to calls of this instance's own and of what attempts hold of
  // answers.
  ByteBudget reply_budget{kMaxHeldReplyBytes};
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
  RequestService requests{loop,
                          endpoint_client,
                          dialects.request,
                          registry,
                          contents,
                          deadlines,
                          evacuations,
                          regions,
                          metrics,
                          ServiceOptions(settings)};
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
  PeerSync peer_sync{loop,    control_client,    settings,
                     cluster, operator_follower, endpoint_follower};
  RecordListener record_listener{
      loop,
      control_client,
      {cluster.membership().self(), [this] { return cluster.Live(); },
       SharedSecret(settings)},
      operator_follower,
      endpoint_follower};
  QueryService queries{
      loop, [this](const HttpHead& question) { return Answer(question); }};
  QueryService directory{
      loop, [this](const HttpHead& question) { return Answer(question); }};
  QueryService metrics_page{loop, [this](const HttpHead& question) {
                              return AnswerMetrics(question);
                            }};
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

HandoffEnvironment Gateway::Impl::HandoffEnvironmentOf() {
  return {
      .self = settings.entry,
      .zone = settings.zone,
      .port = settings.handoff_port,
      .secret = SharedSecret(settings),
      .members = [this] { return cluster.Serving(); },
      .spend_retry =
          [this](const ServiceName& service) {
            return requests.TrySpendRetry(service);
          },
      .settle_retry =
          [this](const ServiceName& service, MonotonicTime last_arrival) {
            requests.SettleRetry(service, last_arrival);
          },
      .refund_retry =
          [this](const ServiceName& service) { requests.RefundRetry(service); },
      .may_begin =
          [this](Exchange& exchange) {
            return requests.MayBeginAttempt(exchange);
          },
      .on_relayed_reply =
          [this](const ReplyMetadata& reply) {
            requests.statements().OnRelayedReply(reply, loop.now());
          }};
}

Status Gateway::Impl::Listen() {
  auto opened = TcpListener::Open(
      loop, settings.callers, [this](const Poco::Net::StreamSocket& socket) {
        requests.Accept(socket);
      });
  if (!opened.ok())
    return opened.error();
  caller_listener = opened.value();
  if (Status status =
          handoff_listener.Listen({settings.host, settings.handoff_port});
      !status.ok())
    return status;
  if (Status status = queries.Listen(settings.readiness); !status.ok())
    return status;
  if (Status status = directory.Listen(settings.directory); !status.ok())
    return status;
  if (settings.metrics_port != 0)
    return metrics_page.Listen({settings.host, settings.metrics_port});
  return {};
}

Status Gateway::Impl::Start() {
  if (Status status = Listen(); !status.ok())
    return status;
  if (Status status = cluster.Start(); !status.ok())
    return status;
  if (Status status = datagrams.Start(); !status.ok())
    return status;
  peer_sync.SetFallbackHandler([this](const HttpHead& question) {
    return record_listener.Answer(question);
  });
  if (Status status = peer_sync.Start(); !status.ok())
    return status;
  requests.SetOnCrash(
      [this](RequestFingerprint fingerprint, const std::string& run) {
        cluster.AnnounceCrash(EncodeCrashReport(fingerprint, run));
      });
  requests.SetOnPartCrash(
      [this](const PartCrash& crash) { suspect_sharing.OnCrash(crash); });
  requests.SetOnPartVerdicts([this] { suspect_sharing.Publish(); });
  requests.SetReachability(&reachability.reachability());
  requests.SetLossCheck(
      [this](const ServiceName& service) { return LossOf(service); });
  requests.statements().SetOnColdTime(
      [this](const EndpointRecord& endpoint, Milliseconds remaining) {
        cold_start_sharing.OnStatement(endpoint, remaining);
      });
  requests.statements().SetOnRejectionNews(
      [this] { rejection_sharing.Publish(); });
  rollout_controller.SetOnLoaded(
      [this](const auto& endpoint, const auto& model, WeightNumber weights) {
        requests.OnWeightsReported(endpoint, model, weights);
      });
  reachability.SetOnChange([this](const ReachabilityChange& change) {
    reachability_sharing.OnChange();
    handoff_runner.OnTick();
    if (change.reach == ServiceReach::kReached)
      requests.OnPathsReturned(change.service, change.lost_since);
  });
  requests.SetHandoffRunner(&handoff_runner);
  rollout_controller.SetReachesEngines(
      [this](const EntryId& id) { return ReachesEngines(id); });
  requests.SetLoadQueryService(&load_query_service);
  stream_directory.SetSoleVersionSource(
      [this](const SoleVersionQuestion& question) {
        return requests.SoleVersion(question);
      });
  requests.SetStreamDirectory(
      &stream_directory, [this] { return endpoint_follower.records_as_of(); });
  requests.SetConfigAsOf([this] { return operator_follower.records_as_of(); });
  operator_follower.Start();
  endpoint_follower.Start();
  loop.AddTimer(loop.now() + kTick, [this] { OnTick(); });
  LogEvent(LogLevel::kInfo, "gateway_started",
           {{"callers", settings.callers.ToString()},
            {"zone", settings.zone.value()},
            {"incarnation", cluster.incarnation().value()}});
  return {};
}

void Gateway::Impl::OnConfig(
    std::shared_ptr<const ServingConfigSnapshot> config) {
  requests.SetConfig(config);
  rollout_controller.SetConfig(config);
  store_reclaimer.SetConfig(config);
  WatchCaches();
  UpdateEndpointsToReach();
  // Members without a configuration report 0.
  cluster.SetConfigNumber(config->config().number.value() + 1);
}

void Gateway::Impl::OnTick() {
  if (WasPaused())
    operator_records.OnProcessPause(loop.now());
  last_tick = loop.now();
  loop.AddTimer(loop.now() + kTick, [this] { OnTick(); });
  FlushLogOutput();
  cluster.OnTick();
  OnMembers();
  requests.SetLiveInstances(
      std::max<int>(1, static_cast<int>(cluster.Live().size())));
  requests.SetKnownInstances(cluster.KnownInstances());
  requests.SetDraining(
      rollout_controller.OutdatedEndpoints(cluster.Draining()));
  for (const std::string& crash : cluster.Crashes()) {
    if (const auto report = DecodeCrashReport(crash))
      requests.OnPeerCrashReport(*report);
  }
  requests.OnTick();
  if (requests.awaits_records())
    operator_follower.ReadNow();
  load_query_service.OnTick();
  stream_directory.OnTick();
  if (requests.has_config() && EndpointRecordsAreCurrent())
    sole_versions.OnTick(operator_records.config()->config(),
                         requests.LongestStream(loop.now()), loop.now());
  load_sharing.OnTick();
  account_usage_sharing.OnTick();
  limit_sharing.OnTick();
  reachability_sharing.OnTick();
  handoff_runner.OnTick();
  handoff_listener.OnTick();
  cold_start_sharing.OnTick();
  rejection_sharing.OnTick();
  suspect_sharing.OnTick();
  caches.OnTick();
  record_listener.OnTick();
  peer_sync.OnTick();
  endpoint_records.Expire(loop.now());
  rollout_controller.OnTick();
  if (loop.now() < next_sweep)
    return;
  next_sweep = loop.now() + kIdleSweepInterval;
  endpoint_client.CloseIdle(loop.now());
  control_client.CloseIdle(loop.now());
  handoff_client.CloseIdle(loop.now());
  WatchCaches();
  store_reclaimer.OnTick(
      /*frees_parts=*/cluster.Rank() == 0 && !shutdown,
      endpoint_follower.last_answer(),
      [this](const auto& endpoint, const auto& model) {
        return requests.WeightsOf(endpoint, model);
      },
      loop.now());
}

void Gateway::Impl::OnEndpoints() {
  if (std::exchange(endpoints_changed, true))
    return;
  loop.AddTimer(loop.now(), [this] {
    endpoints_changed = false;
    requests.OnEndpointsChanged();
    WatchCaches();
    UpdateEndpointsToReach();
  });
}

void Gateway::Impl::UpdateEndpointsToReach() {
  const auto& config = operator_records.config();
  if (config == nullptr)
    return;
  reachability.SetEndpoints(
      EndpointsToReach(config->config(), registry, evacuations));
}

bool Gateway::Impl::ReachesEngines(const EntryId& id) const {
  const auto& config = operator_records.config();
  if (config == nullptr)
    return true;
  const auto& services = config->config().services;
  return std::all_of(services.begin(), services.end(), [&](const auto& entry) {
    if (!entry.second.engine)
      return true;
    return id == settings.entry
               ? reachability_sharing.SelfReaches(entry.first, loop.now())
               : reachability_sharing.PeerReaches(id, entry.first, loop.now());
  });
}

ServiceLoss Gateway::Impl::LossOf(const ServiceName& service) const {
  if (reachability_sharing.SelfReaches(service, loop.now()))
    return ServiceLoss::kNone;
  return reachability_sharing.AnotherReaches(service, loop.now())
             ? ServiceLoss::kOwnPaths
             : ServiceLoss::kEverywhere;
}

bool Gateway::Impl::EndpointRecordsAreCurrent() const {
  const auto as_of = endpoint_follower.records_as_of();
  return as_of && loop.now() - *as_of <= SoftwareHistory::kMaxRecordAge;
}

void Gateway::Impl::OnMembers() {
  discovery.OnMembers(cluster.Live().size(), loop.now());
  if (members_settled || !discovery.IsSettled(loop.now()))
    return;
  members_settled = true;
  WatchCaches();
}

void Gateway::Impl::OnEvacuation(const ZoneName& zone, bool evacuated) {
  UpdateEndpointsToReach();
  if (!evacuated) {
    requests.OnEvacuationEnd(zone);
    return;
  }
  const bool known = std::any_of(
      registry.all().begin(), registry.all().end(),
      [&zone](const auto& entry) { return entry.second.zone == zone; });
  if (!known) {
    LogEvent(LogLevel::kWarning, "evacuated_zone_without_endpoints",
             {{"availability_zone", zone.value()},
              {"registry", registry.revision()}});
  }
}

void Gateway::Impl::WatchCaches() {
  const auto& config = operator_records.config();
  if (config == nullptr || !members_settled)
    return;
  std::vector<EntryId> live;
  for (const MemberInfo& member : cluster.Live())
    live.push_back(member.id);
  caches.SetHolders(HoldersOf(config->config(), registry), live,
                    settings.entry);
}

QueryAnswer Gateway::Impl::Answer(const HttpHead& question) {
  if (dialects.directory.IsReadinessQuestion(question)) {
    const bool ready = requests.has_config() && !shutdown;
    return {ready ? 200 : 503, {}, {}};
  }
  const auto wanted = dialects.directory.DecodeAddressQuestion(question);
  if (!wanted)
    return {404, {}, {}};
  const auto& config = operator_records.config();
  std::vector<RegionName> allowed;
  std::set<ServiceName> services;
  if (config != nullptr) {
    allowed = RegionsOfHost(config->config(), wanted->host);
    services = ServicesOfHost(config->config(), wanted->host);
  }
  const auto may_be_told = [this, &services](const MemberInfo& member) {
    return std::all_of(services.begin(), services.end(),
                       [&](const ServiceName& service) {
                         return reachability_sharing.announced().MayBeTold(
                             member.id, service, loop.now());
                       });
  };
  const auto addresses = ChooseAddresses(cluster.Serving(), *wanted, allowed,
                                         regions, may_be_told);
  if (addresses.empty())
    return {503, {}, {}};
  return {200, "application/json",
          dialects.directory.EncodeAddresses(
              addresses, std::min(kAddressTtl, settings.max_address_ttl))};
}

QueryAnswer Gateway::Impl::AnswerMetrics(const HttpHead& question) {
  if (question.target == "/debug/state")
    return {200, "application/json", StateDumpText()};
  metrics.Set("carobshift_open_requests", {},
              static_cast<double>(requests.open_requests()));
  metrics.Set("carobshift_waiting_requests", {},
              static_cast<double>(requests.waiting_requests()));
  metrics.Set("carobshift_handoffs_in_progress", {},
              static_cast<double>(handoff_runner.outstanding()));
  metrics.Set("carobshift_log_lines_dropped", {},
              static_cast<double>(DroppedLogLines()));
  metrics.Set("carobshift_reply_bytes_held", {},
              static_cast<double>(reply_budget.held()));
  metrics.Set("carobshift_replies_over_budget", {},
              static_cast<double>(reply_budget.refusals()));
  metrics.Set("carobshift_limited_endpoints", {},
              static_cast<double>(requests.limited_endpoints()));
  metrics.Set("carobshift_services_with_rejection_limit", {},
              static_cast<double>(requests.rejections().size()));
  metrics.Set(
      "carobshift_cold_endpoints", {},
      static_cast<double>(requests.cold_starts().ColdUntil(loop.now()).size()));
  metrics.Set("carobshift_evacuated_zones", {},
              static_cast<double>(evacuations.all().size()));
  metrics.Set("carobshift_endpoints_with_overdue_weights", {},
              static_cast<double>(rollout_controller.overdue()));
  metrics.Set("carobshift_log_bytes_read", {{"stream", "operator"}},
              static_cast<double>(operator_follower.bytes_read()));
  metrics.Set("carobshift_log_bytes_read", {{"stream", "endpoints"}},
              static_cast<double>(endpoint_follower.bytes_read()));
  metrics.Set("carobshift_endpoint_records_out_of_date", {},
              static_cast<double>(endpoint_records.out_of_date_records()));
  metrics.Set("carobshift_peer_bytes_told", {},
              static_cast<double>(peer_sync.bytes_sent()));
  metrics.Set("carobshift_stream_records", {},
              static_cast<double>(stream_directory.table().size()));
  metrics.Set("carobshift_stream_records_dropped", {},
              static_cast<double>(stream_directory.table().dropped()));
  metrics.Set("carobshift_live_entries", {},
              static_cast<double>(cluster.Live().size()));
  metrics.Set(
      "carobshift_endpoint_connections_opened", {},
      static_cast<double>(endpoint_client.counters().connections_opened));
  return {200, "text/plain; version=0.0.4", metrics.PrometheusText()};
}

std::string Gateway::Impl::StateDumpText() const {
  const auto& config = operator_records.config();
  return EncodeStateDump(
      {.config = config == nullptr ? nullptr : &config->config(),
       .registry = registry,
       .evacuations = evacuations,
       .cold_starts = requests.cold_starts(),
       .reachability = reachability.reachability(),
       .members = cluster.Live(),
       .retries = requests.retry_allowance(),
       .stated = requests.stated_availability(),
       .part_suspects = requests.part_suspects(),
       .open_requests = requests.open_requests(),
       .waiting_requests = requests.waiting_requests(),
       .lease_holder = rollout_controller.IsHolder(),
       .stopping = shutdown.has_value()},
      loop.now());
}

// The instance becomes unready and leaves the address answers at once. It
// continues to serve callers with a cached answer until the answers expire, and
// each reply tells them to connect elsewhere.
void Gateway::Impl::BeginStop(MonotonicTime sent) {
  const MonotonicTime now = MonotonicNow();
  shutdown = ShutdownSchedule(sent, settings.stop_grace, now);
  LogEvent(LogLevel::kInfo, "stop_began",
           {{"open_requests", requests.open_requests()},
            {"seen_ms", shutdown->Age(now).count()}});
  rollout_controller.Stop();
  cluster.Leave();
  stream_directory.HandOver();
  requests.BeginStop(*shutdown);
  handoff_listener.BeginStop();
  loop.AddTimer(shutdown->listeners_close(), [this] {
    caller_listener->Close();
    handoff_listener.Close();
    // A caller that has not sent its request by now sends it elsewhere.
    requests.CloseIdleConnections();
    handoff_listener.CloseIdleConnections();
  });
  loop.AddTimer(shutdown->requests_end(), [this] { EndOpenRequests(); });
}

void Gateway::Impl::EndOpenRequests() {
  requests.EndOpenRequests();
  requests_ended = true;
}

bool Gateway::Impl::Stopped() const {
  if (!shutdown)
    return false;
  const MonotonicTime now = loop.now();
  const auto is_busy = [this] {
    return requests.busy() || handoff_listener.busy() ||
           loop.HasEndingSockets();
  };
  if (requests_ended)
    return now >= shutdown->exit() || !is_busy();
  return now >= shutdown->listeners_close() && !is_busy() &&
         !MustDelayShutdown(cluster.membership().Members(), settings.entry,
                            peer_sync.IsLogUnresponsive());
}

Gateway::Gateway(const GatewaySettings& settings, const Dialects& dialects)
    : impl_(std::make_unique<Impl>(settings, dialects)) {}

Gateway::~Gateway() = default;

Status Gateway::Start() {
  return impl_->Start();
}

void Gateway::Run(const GatewaySignals& signals) {
  SignalTime stop_sent(signals.handled_since);
  impl_->loop.Run([this, &signals, &stop_sent] {
    const MonotonicTime now = MonotonicNow();
    const auto sent = stop_sent.Check(signals.stop_requested(), now);
    if (!impl_->shutdown && sent)
      impl_->BeginStop(*sent);
    if (signals.take_reload()) {
      const Result<GatewaySettings> settings = signals.read_settings();
      LogEvent(LogLevel::kInfo, "settings_reloaded",
               {{"ok", settings.ok()},
                {"reason", settings.ok() ? "" : settings.error().message}});
      if (settings.ok())
        impl_->cluster.SetSeedHosts(settings.value().seed_hosts);
    }
    return impl_->Stopped();
  });
  LogEvent(LogLevel::kInfo, "gateway_stopped",
           {{"open_requests", impl_->requests.open_requests()},
            {"open_connections", impl_->requests.open_connections()},
            {"unsent_bytes", impl_->requests.unsent_bytes()},
            {"stop_ms", impl_->shutdown->Age(MonotonicNow()).count()}});
}

}  // namespace carobshift
