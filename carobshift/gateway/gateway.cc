#include "carobshift/gateway/gateway.h"

#include <algorithm>
#include <utility>

#include "carobshift/gateway/address_choice.h"
#include "carobshift/gateway/cache_watcher.h"
#include "carobshift/gateway/cluster.h"
#include "carobshift/gateway/gateway_state.h"
#include "carobshift/gateway/keyed_follower.h"
#include "carobshift/gateway/limit_sharing.h"
#include "carobshift/gateway/load_scout.h"
#include "carobshift/gateway/load_sharing.h"
#include "carobshift/gateway/peer_choice.h"
#include "carobshift/gateway/peer_sync.h"
#include "carobshift/gateway/query_service.h"
#include "carobshift/gateway/record_listener.h"
#include "carobshift/gateway/request_service.h"
#include "carobshift/gateway/store_keeper.h"
#include "carobshift/gateway/weight_steward.h"
#include "carobshift/net/tcp_listener.h"
#include "carobshift/telemetry/event_log.h"
#include "carobshift/telemetry/log_output.h"
#include "carobshift/telemetry/metrics.h"

namespace carobshift {
namespace {

constexpr Milliseconds kTick{100};
constexpr Milliseconds kIdleSweep{1000};
// Without a tick for this long the process was suspended or starved. Below it a
// naming looks younger than it is by less than the margin of its bound.
constexpr Milliseconds kHeldUp{500};
// Callers ask again after this. Shorter answers notice a dead instance sooner
// and cost a call each time.
constexpr Milliseconds kAddressLife{2000};
// After the announcement of a stop, new connections are taken for this long:
// until then most callers have asked again for addresses. Later ones are reset
// at once and go elsewhere, so that what is still taken can end in time.
constexpr Milliseconds kStopAccepting{2400};
// Of the grace time, left for the process to end in.
constexpr Milliseconds kStopMargin{700};
// Endpoints are read in batches of this: a change is in force well within the
// two seconds that it may take, and each call has a price.
constexpr Milliseconds kEndpointPace{500};

RequestServiceOptions ServiceOptions(const GatewaySettings& settings) {
  RequestServiceOptions options;
  options.retries = settings.retries;
  return options;
}

KeyedFollowerOptions EndpointFollowerOptions() {
  KeyedFollowerOptions options;
  options.pace = kEndpointPace;
  return options;
}

}  // namespace

struct Gateway::Parts {
  Parts(const GatewaySettings& given, const Dialects& spoken)
      : settings(given),
        dialects(spoken),
        listener{
            .on_config = [this](auto config) { OnConfig(std::move(config)); },
            .on_weights =
                [this](const NamedWeights& named, NamingTime time) {
                  if (time == NamingTime::kJustNow && !HeldUp())
                    steward.SetTarget(named.model, named.number);
                  else
                    steward.SetFoundTarget(named.model, named.number);
                },
            .on_endpoints = [this] { OnEndpoints(); }} {}

  Status Start();
  Status Listen();
  void OnTick();
  // Once for all records of a batch: an instance that starts reads a hundred of
  // them, and to go through the whole list after each would take it seconds.
  void OnEndpoints();
  void WatchCaches();
  void OnConfig(std::shared_ptr<const ConfigInForce> config);
  void BeginStop();
  [[nodiscard]] bool Stopped() const;
  QueryAnswer Answer(const HttpHead& question);
  QueryAnswer AnswerMetrics(const HttpHead& question);
  [[nodiscard]] std::string StateDumpText() const;

  GatewaySettings settings;
  Dialects dialects;
  EventLoop loop;
  Metrics metrics;
  GatewayStateListener listener;
  HttpClient endpoint_client{loop, {}};
  // Calls to the log and the stores, apart from requests, so that a flood of
  // one doesn't use up the other's connections.
  HttpClient control_client{loop, {}};
  EndpointRegistry registry;
  CacheContents contents;
  WeightDeadlines deadlines{settings.weights_bound};
  Cluster cluster{loop, settings};
  RequestService requests{
      loop,     endpoint_client, dialects.request, registry,
      contents, deadlines,       metrics,          ServiceOptions(settings)};
  PeerDatagrams datagrams{loop, settings, cluster};
  LoadScout load_scout{
      loop,
      {cluster.incarnation(), [this] { return cluster.Live(); }},
      datagrams,
      requests.loads()};
  LoadSharing load_sharing{loop, cluster, datagrams, requests.loads()};
  LimitSharing limit_sharing{loop, cluster, datagrams, requests.limits()};
  WeightSteward steward{loop,    control_client, settings, dialects,
                        cluster, registry,       deadlines};
  CacheWatcher caches{loop, control_client, dialects.engine, datagrams,
                      contents};
  StoreKeeper store_keeper{loop, control_client, dialects.engine, registry,
                           contents};
  OperatorRecords operator_records{dialects.log, listener};
  EndpointRecords endpoint_records{dialects.log, registry, listener};
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
  // Whether this process did not run for a while: what comes now may have been
  // written long ago.
  [[nodiscard]] bool HeldUp() const { return loop.now() - last_tick > kHeldUp; }

  bool endpoints_changed = false;
  MonotonicTime last_tick = loop.now();
  MonotonicTime next_sweep{};
  std::optional<MonotonicTime> stop_began;
};

Status Gateway::Parts::Listen() {
  auto opened = TcpListener::Open(
      loop, settings.callers, [this](const Poco::Net::StreamSocket& socket) {
        requests.Accept(socket);
      });
  if (!opened.ok())
    return opened.error();
  caller_listener = opened.value();
  if (Status status = queries.Listen(settings.readiness); !status.ok())
    return status;
  if (Status status = directory.Listen(settings.directory); !status.ok())
    return status;
  if (settings.metrics_port != 0)
    return metrics_page.Listen({settings.host, settings.metrics_port});
  return {};
}

Status Gateway::Parts::Start() {
  if (Status status = Listen(); !status.ok())
    return status;
  if (Status status = cluster.Start(); !status.ok())
    return status;
  if (Status status = datagrams.Start(); !status.ok())
    return status;
  peer_sync.SetOtherAnswer([this](const HttpHead& question) {
    return record_listener.Answer(question);
  });
  if (Status status = peer_sync.Start(); !status.ok())
    return status;
  requests.SetOnCrash(
      [this](RequestFingerprint fingerprint, const std::string& run) {
        cluster.AnnounceCrash(DescribeCrash(fingerprint, run));
      });
  steward.SetOnLoaded(
      [this](const auto& endpoint, const auto& model, WeightNumber weights) {
        requests.NoteWeights(endpoint, model, weights);
      });
  requests.SetScout(&load_scout);
  operator_follower.Start();
  endpoint_follower.Start();
  loop.AddTimer(loop.now() + kTick, [this] { OnTick(); });
  LogEvent(LogLevel::kInfo, "gateway_started",
           {{"callers", settings.callers.ToString()},
            {"zone", settings.zone.value()},
            {"incarnation", cluster.incarnation().value()}});
  return {};
}

void Gateway::Parts::OnConfig(std::shared_ptr<const ConfigInForce> config) {
  requests.SetConfig(config);
  steward.SetConfig(config);
  store_keeper.SetConfig(config);
  WatchCaches();
  // Numbers of members without a configuration are 0.
  cluster.SetConfigNumber(config->config().number.value() + 1);
}

void Gateway::Parts::OnTick() {
  if (HeldUp())
    operator_records.OnGap(loop.now());
  last_tick = loop.now();
  loop.AddTimer(loop.now() + kTick, [this] { OnTick(); });
  FlushLogOutput();
  cluster.OnTick();
  requests.SetLiveEntries(
      std::max<int>(1, static_cast<int>(cluster.Live().size())));
  requests.SetDraining(steward.Behind(cluster.Draining()));
  for (const std::string& crash : cluster.Crashes()) {
    if (const auto described = ReadCrash(crash))
      requests.NoteCrash(*described);
  }
  requests.OnTick();
  load_scout.OnTick();
  load_sharing.OnTick();
  limit_sharing.OnTick();
  caches.OnTick();
  record_listener.OnTick();
  peer_sync.OnTick();
  endpoint_records.Expire(loop.now());
  steward.OnTick();
  if (loop.now() < next_sweep)
    return;
  next_sweep = loop.now() + kIdleSweep;
  endpoint_client.CloseIdle(loop.now());
  control_client.CloseIdle(loop.now());
  WatchCaches();
  store_keeper.OnTick(
      /*acts=*/cluster.Rank() == 0 && !stop_began,
      endpoint_follower.last_answer(),
      [this](const auto& endpoint, const auto& model) {
        return requests.WeightsOf(endpoint, model);
      },
      loop.now());
}

void Gateway::Parts::OnEndpoints() {
  if (std::exchange(endpoints_changed, true))
    return;
  loop.AddTimer(loop.now(), [this] {
    endpoints_changed = false;
    requests.OnEndpointsChanged();
    WatchCaches();
  });
}

void Gateway::Parts::WatchCaches() {
  const auto& config = operator_records.config();
  if (config == nullptr)
    return;
  std::vector<EntryId> live;
  for (const MemberInfo& member : cluster.Live())
    live.push_back(member.id);
  caches.SetHolders(HoldersOf(config->config(), registry), live,
                    settings.entry);
}

QueryAnswer Gateway::Parts::Answer(const HttpHead& question) {
  if (dialects.directory.IsReadinessQuestion(question)) {
    const bool ready = requests.has_config() && !stop_began;
    return {ready ? 200 : 503, {}, {}};
  }
  const auto wanted = dialects.directory.DecodeAddressQuestion(question);
  if (!wanted)
    return {404, {}, {}};
  const auto addresses = ChooseAddresses(cluster.Serving(), wanted->zone);
  if (addresses.empty())
    return {503, {}, {}};
  return {
      200, "application/json",
      dialects.directory.EncodeAddresses(
          addresses, std::min(kAddressLife, settings.longest_address_life))};
}

QueryAnswer Gateway::Parts::AnswerMetrics(const HttpHead& question) {
  if (question.target == "/debug/state")
    return {200, "application/json", StateDumpText()};
  metrics.Set("carobshift_open_requests", {},
              static_cast<double>(requests.open_requests()));
  metrics.Set("carobshift_log_lines_dropped", {},
              static_cast<double>(DroppedLogLines()));
  metrics.Set("carobshift_limited_endpoints", {},
              static_cast<double>(requests.limited_endpoints()));
  metrics.Set("carobshift_endpoints_with_overdue_weights", {},
              static_cast<double>(steward.overdue()));
  metrics.Set("carobshift_log_bytes_read", {{"stream", "operator"}},
              static_cast<double>(operator_follower.bytes_read()));
  metrics.Set("carobshift_log_bytes_read", {{"stream", "endpoints"}},
              static_cast<double>(endpoint_follower.bytes_read()));
  metrics.Set("carobshift_peer_bytes_told", {},
              static_cast<double>(peer_sync.bytes_told()));
  metrics.Set("carobshift_live_entries", {},
              static_cast<double>(cluster.Live().size()));
  metrics.Set(
      "carobshift_endpoint_connections_opened", {},
      static_cast<double>(endpoint_client.counters().connections_opened));
  return {200, "text/plain; version=0.0.4", metrics.PrometheusText()};
}

std::string Gateway::Parts::StateDumpText() const {
  nlohmann::json endpoints = nlohmann::json::array();
  for (const auto& [id, record] : registry.all()) {
    nlohmann::json weights = nlohmann::json::object();
    for (const auto& [model, number] : record.weights)
      weights[model.value()] = number.value();
    endpoints.push_back({{"id", id.value()},
                         {"service", record.service.value()},
                         {"address", record.address.ToString()},
                         {"leaving", record.leaving},
                         {"weights", weights}});
  }
  nlohmann::json members = nlohmann::json::array();
  for (const MemberInfo& member : cluster.Live())
    members.push_back(member.id.value());
  const auto& config = operator_records.config();
  return nlohmann::json{
      {"config", config == nullptr ? 0 : config->config().number.value()},
      {"registry", registry.revision()},
      {"endpoints", endpoints},
      {"members", members},
      {"open_requests", requests.open_requests()},
      {"lease_holder", steward.IsHolder()},
      {"stopping", stop_began.has_value()}}
      .dump();
}

// Unready and out of the address answers at once. Callers that keep an older
// answer go on being served until the answers have expired, each reply telling
// them to connect elsewhere.
void Gateway::Parts::BeginStop() {
  LogEvent(LogLevel::kInfo, "stop_began",
           {{"open_requests", requests.open_requests()}});
  stop_began = loop.now();
  steward.Stop();
  cluster.Leave();
  requests.BeginStop();
  loop.AddTimer(loop.now() + kStopAccepting,
                [this] { caller_listener->Close(); });
}

bool Gateway::Parts::Stopped() const {
  if (!stop_began)
    return false;
  const auto passed = loop.now() - *stop_began;
  const Milliseconds last = settings.stop_grace - kStopMargin;
  if (passed >= last)
    return true;
  return passed >= kStopAccepting && requests.open_requests() == 0 &&
         !MustHandOn(cluster.membership().Members(), settings.entry,
                     peer_sync.LogSilent());
}

Gateway::Gateway(const GatewaySettings& settings, const Dialects& dialects)
    : parts_(std::make_unique<Parts>(settings, dialects)) {}

Gateway::~Gateway() = default;

Status Gateway::Start() {
  return parts_->Start();
}

void Gateway::Run(const GatewaySignals& signals) {
  parts_->loop.Run([this, &signals] {
    if (!parts_->stop_began && signals.stop_requested())
      parts_->BeginStop();
    if (signals.take_reload()) {
      const Result<GatewaySettings> settings = signals.read_settings();
      LogEvent(LogLevel::kInfo, "settings_reloaded",
               {{"ok", settings.ok()},
                {"reason", settings.ok() ? "" : settings.error().message}});
      if (settings.ok())
        parts_->cluster.SetSeedHosts(settings.value().seed_hosts);
    }
    return parts_->Stopped();
  });
  LogEvent(LogLevel::kInfo, "gateway_stopped",
           {{"open_requests", parts_->requests.open_requests()}});
}

}  // namespace carobshift
