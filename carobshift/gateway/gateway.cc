#include "carobshift/gateway/gateway.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "carobshift/base/digest.h"
#include "carobshift/gateway/gateway_impl.h"
#include "carobshift/gateway/instances/peer_choice.h"
#include "carobshift/gateway/signal_time.h"
#include "carobshift/telemetry/event_log.h"
#include "carobshift/telemetry/log_output.h"

namespace carobshift {
namespace {

constexpr Milliseconds kTick{100};
constexpr Milliseconds kIdleSweepInterval{1000};
// Endpoint records are read in batches at this interval. Each read has a cost,
// and a change may take up to two seconds to take effect.
constexpr Milliseconds kEndpointReadInterval{500};

}  // namespace

RequestServiceOptions Gateway::Impl::ServiceOptions() {
  RequestServiceOptions options;
  options.retries = settings.retries;
  options.retries.first_start = settings.first_start;
  options.cold_start = settings.cold_start;
  options.instance = FastHash(settings.entry.value());
  options.quota = &caller_quota;
  return options;
}

KeyedFollowerOptions Gateway::Impl::EndpointFollowerOptions() {
  KeyedFollowerOptions options;
  options.min_read_interval = kEndpointReadInterval;
  return options;
}

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
      .admit_attempt =
          [this](Exchange& exchange) {
            return requests.AdmitAttempt(exchange);
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
  quota_report.OnTick(caller_quota, metrics, loop.now());
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
  // Before the requests that it has delivered are refused.
  handoff_listener.BeginStop();
  requests.BeginStop(*shutdown);
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
  handoff_listener.RefuseUnfinished();
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
