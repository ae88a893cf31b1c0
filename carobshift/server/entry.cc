#include "carobshift/server/entry.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "carobshift/base/digest.h"
#include "carobshift/peer/peer_client.h"
#include "carobshift/peer/peer_server.h"
#include "carobshift/server/commands/call_command.h"
#include "carobshift/server/commands/complete_command.h"
#include "carobshift/server/commands/completion_executor.h"
#include "carobshift/server/http/caller_http_server.h"
#include "carobshift/server/once/claims_tasks.h"
#include "carobshift/server/once/idempotency_table.h"
#include "carobshift/server/once/keyed_calls.h"
#include "carobshift/server/once/peer_directory.h"
#include "carobshift/server/once/peer_service.h"
#include "carobshift/server/once/plain_executor.h"
#include "carobshift/server/queries/addresses_query.h"
#include "carobshift/server/queries/outcome_query.h"
#include "carobshift/server/queries/status_queries.h"
#include "carobshift/server/tasks/cache_task.h"
#include "carobshift/server/tasks/config_follower.h"
#include "carobshift/server/tasks/fleet_task.h"
#include "carobshift/server/tasks/gossip_task.h"
#include "carobshift/server/tasks/instance_poller.h"
#include "carobshift/server/tasks/lease_task.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

// The time until gossip has told the other entries that this one is leaving.
// Until then they still name it in their address answers.
constexpr Milliseconds kLeaveGossipDelay{2000};

// The peer server listens on the host of the HTTP server, on a port chosen by
// the system. The health answer reports that port.
PeerServerOptions PeerOptions(const Settings& settings) {
  PeerServerOptions options;
  options.listen = NetAddress{settings.listen.host, 0};
  return options;
}

CallerHttpServerOptions FrontOptions(const Settings& settings,
                                     Metrics& metrics) {
  return {settings.entry,
          settings.listen,
          settings.http_threads,
          settings.max_connections,
          settings.max_header_fields,
          settings.read_timeout,
          settings.keep_alive_timeout,
          Bytes{settings.memory_mb} << 20,
          &metrics};
}

// At most a quarter of the worker threads may wait for one service. The others
// run requests, or refuse them without first waiting for a thread.
std::size_t MaxWaitingPerService(const Settings& settings) {
  return static_cast<std::size_t>(settings.http_threads) / 4 + 1;
}

LeaseOptions LeaseOptionsOf(const Settings& settings) {
  return {.duration = settings.lease_duration,
          .order_timeout = settings.order_timeout,
          .clock_drift = settings.clock_drift};
}

}  // namespace

// Members are declared in the order of their dependencies.
struct Entry::Parts {
  Parts(Settings given, std::string given_secret, PlatformClients platform)
      : settings(std::move(given)),
        secret(std::move(given_secret)),
        load(MaxWaitingPerService(settings)),
        cache(secret),
        context{settings,   secret,     incarnation, platform, config,
                endpoints,  load,       cache,       journal,  metrics,
                state_dump, membership, lease},
        front(FrontOptions(settings, metrics), routes) {}

  void AddRoutes() {
    routes.Add("POST", "/v1/completions", complete_text);
    routes.Add("POST", "/v1/chat/completions", complete_chat);
    routes.Add("POST", "/v1/services/{name}/call", call);
    routes.Add("GET", "/v1/addresses", addresses);
    routes.Add("GET", "/v1/outcomes/{key}", outcomes);
    routes.Add("GET", "/healthz", health);
    routes.Add("GET", "/readyz", ready);
    routes.Add("GET", "/metrics", metrics_query);
    routes.Add("GET", "/debug/state", state);
    routes.Add("GET", "/debug/requests/{id}", explain);
  }

  void AddStateSections() {
    state_dump.Register("membership", membership);
    state_dump.Register("lease", lease);
    state_dump.Register("fleet", fleet);
    state_dump.Register("config", config);
    state_dump.Register("endpoints", endpoints);
    state_dump.Register("load", load);
    state_dump.Register("cache", cache);
    state_dump.Register("requests", journal);
    state_dump.Register("once", idempotency_table);
  }

  // Call after the HTTP server and the peer server are listening, since members
  // are told these addresses.
  void StartMembership() {
    const auto version = WallNow().time_since_epoch().count();
    const NetAddress& address = settings.listen;
    const MemberInfo self{
        .id = settings.entry,
        .incarnation = incarnation,
        .version = MemberVersion(static_cast<std::uint64_t>(version)),
        .zone = settings.zone,
        .host = address.host,
        .gossip_port = address.port,
        .peer_port = static_cast<std::uint16_t>(peer_port.load()),
        .http_port = address.port};
    MembershipOptions options;
    options.period = settings.gossip_interval;
    membership.Start(options, self, secret, MonotonicNow());
  }

  void StartTasks() {
    runner.Start(list_poller);
    for (StatusPoller& poller : status_pollers)
      runner.Start(poller);
    runner.Start(gossip);
    runner.Start(lease_task);
    runner.Start(config_follower);
    runner.Start(claim_reader);
    runner.Start(claim_appender);
    runner.Start(claim_timer);
    runner.Start(fleet);
    runner.Start(cache_task);
    for (ExportTask& task : export_tasks)
      runner.Start(task);
  }

  Settings settings;
  const std::string secret;
  std::atomic<bool> leaving{false};
  std::atomic<int> peer_port{0};

  ConfigTable config;
  EndpointTable endpoints;
  LoadTable load;
  CacheTable cache;
  RequestJournal journal;
  Metrics metrics;
  StateDump state_dump;
  MembershipTable membership;
  const Incarnation incarnation{RandomUint64()};
  LeaseTable lease{LeaseOptionsOf(settings), settings.entry, incarnation,
                   MonotonicNow()};
  EntryContext context;

  GenerateDispatcher generate_dispatcher{context};
  PlainDispatcher plain_dispatcher{context};

  IdempotencyTable idempotency_table{
      {settings.entry, context.incarnation, settings.key_replay_window}};
  MembershipPeerDirectory peers{context};
  PeerClient peer_client{secret};
  KeyedCalls keyed{context, idempotency_table, peers, peer_client};
  PlainExecutor plain_executor{context, plain_dispatcher};
  ConfigFoldTable config_fold;
  PeerService peer_service{keyed, config_fold};

  CompletionExecutor text_executor{context, generate_dispatcher, TextFormat()};
  CompletionExecutor chat_executor{context, generate_dispatcher, ChatFormat()};

  CompleteCommand complete_text{context, generate_dispatcher, keyed,
                                CallRoute::kText, TextFormat()};
  CompleteCommand complete_chat{context, generate_dispatcher, keyed,
                                CallRoute::kChat, ChatFormat()};
  CallCommand call{context, plain_dispatcher, keyed};

  AddressesQuery addresses{context};
  OutcomeQuery outcomes{context, keyed};
  HealthQuery health{context, peer_port};
  ReadyQuery ready{context, leaving};
  MetricsQuery metrics_query{context};
  StateQuery state{context};
  ExplainQuery explain{context};

  ListPoller list_poller{context};
  StatusSchedule status_schedule;
  // An engine that does not answer blocks one poller until its timeout. Eight
  // pollers keep some free when a whole rack of engines fails.
  std::array<StatusPoller, 8> status_pollers = {
      StatusPoller(context, status_schedule),
      StatusPoller(context, status_schedule),
      StatusPoller(context, status_schedule),
      StatusPoller(context, status_schedule),
      StatusPoller(context, status_schedule),
      StatusPoller(context, status_schedule),
      StatusPoller(context, status_schedule),
      StatusPoller(context, status_schedule)};
  GossipTask gossip{context};
  LeaseTask lease_task{context};
  ConfigFollower config_follower{context, config_fold, peers, peer_client};
  ClaimReader claim_reader{context, idempotency_table};
  ClaimAppender claim_appender{context, idempotency_table};
  ClaimTimer claim_timer{idempotency_table};
  FleetTask fleet{context, leaving};
  CacheTask cache_task{context};
  // Two for each of the two stores of today's deployments, so that a slow store
  // leaves threads for the other.
  std::array<ExportTask, 4> export_tasks = {
      ExportTask(context), ExportTask(context), ExportTask(context),
      ExportTask(context)};

  PeerServer peer_server{PeerOptions(settings), secret, peer_service};
  RouteTable routes;
  CallerHttpServer front;
  TaskRunner runner;
};

Entry::Entry(Settings settings, std::string secret, PlatformClients platform)
    : parts_(std::make_unique<Parts>(std::move(settings),
                                     std::move(secret),
                                     platform)) {
  parts_->AddRoutes();
  parts_->AddStateSections();
  parts_->keyed.SetExecutor(CallRoute::kPlain, parts_->plain_executor);
  parts_->keyed.SetExecutor(CallRoute::kText, parts_->text_executor);
  parts_->keyed.SetExecutor(CallRoute::kChat, parts_->chat_executor);
}

Entry::~Entry() = default;

Result<NetAddress> Entry::Start() {
  const auto peer_address = parts_->peer_server.Start();
  if (!peer_address.ok())
    return peer_address;
  parts_->peer_port = peer_address.value().port;
  auto address = parts_->front.Start();
  if (!address.ok())
    return address;
  parts_->settings.listen = address.value();
  const Status bound = parts_->gossip.Bind(address.value());
  if (!bound.ok())
    return bound.error();
  parts_->StartMembership();
  parts_->StartTasks();
  LogEvent(LogLevel::kInfo, "entry_started",
           {{"address", address.value().ToString()},
            {"zone", parts_->settings.zone.value()}});
  return address;
}

void Entry::DrainAndStop() {
  parts_->leaving = true;
  parts_->membership.Leave();
  LogEvent(LogLevel::kInfo, "entry_leaving", nlohmann::json::object());
  // A caller may use an address answer until its time to live ends. Refusing it
  // earlier would interrupt callers during a planned stop.
  parts_->front.BeginDrain();
  std::this_thread::sleep_for(parts_->settings.address_ttl + kLeaveGossipDelay);
  parts_->front.Stop();
  parts_->peer_server.Stop();
  parts_->runner.StopAll();
  LogEvent(LogLevel::kInfo, "entry_stopped", nlohmann::json::object());
}

}  // namespace carobshift
