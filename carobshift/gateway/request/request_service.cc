#include "carobshift/gateway/request/request_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "carobshift/base/digest.h"
#include "carobshift/gateway/connection_options.h"
#include "carobshift/gateway/handoff/handoff_codec.h"
#include "carobshift/gateway/handoff/handoff_runner.h"
#include "carobshift/gateway/request/request_resolver.h"
#include "carobshift/gateway/request/silence_policy.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

// Fraction of an endpoint's connection limit that the instances share, so that
// they stay below the limit together even if they count the live instances
// differently.
constexpr double kConnectionShare = 0.9;
constexpr int kNoConnectionLimit = 0;
// What serving a request takes beside its head and body, about.
constexpr std::size_t kExchangeBytes = std::size_t{8} << 10;

}  // namespace

RequestService::RequestService(EventLoop& loop,
                               HttpClient& client,
                               const RequestDialect& dialect,
                               EndpointRegistry& registry,
                               CacheContents& contents,
                               const WeightDeadlines& deadlines,
                               const ZoneEvacuations& evacuations,
                               const ZoneRegions& regions,
                               Metrics& metrics,
                               const RequestServiceOptions& options)
    : loop_(loop),
      client_(client),
      dialect_(dialect),
      registry_(registry),
      deadlines_(deadlines),
      metrics_(metrics),
      options_(options),
      cold_starts_(options.cold_start),
      stated_(options.instance),
      statements_(registry, limits_, rejections_, stated_, metrics),
      eligibility_(evacuations,
                   regions,
                   limits_,
                   cold_starts_,
                   rejections_,
                   stated_),
      planner_(registry,
               health_,
               eligibility_,
               loads_,
               sizes_,
               contents,
               deadlines),
      allowance_(options.retries),
      stream_routes_(options.retries.first_start) {
  planner_.SetConnectionCheck([this](const NetAddress& address) {
    return client_.HasFreeConnection(address);
  });
  planner_.SetWaitEstimate([this](const ServiceName& service, double ahead) {
    return overload_.ExpectedWait(service, ahead);
  });
}

RequestService::~RequestService() {
  runs_.clear();
}

void RequestService::Accept(const Poco::Net::StreamSocket& socket) {
  const auto connection = HttpServerConnection::Open(
      loop_, socket, CallerConnectionLimits(), kCallerTcp, *this);
  if (connection == nullptr)
    return;
  connections_[connection.get()] = connection;
  if (shutdown_)
    connection->CloseAfterReply();
}

HttpServerLimits RequestService::CallerConnectionLimits() const {
  HttpServerLimits limits;
  limits.head_bytes = applied_caller_limits_.head_bytes;
  limits.body_bytes = applied_caller_limits_.body_bytes;
  limits.head_timeout = applied_caller_limits_.head_timeout;
  limits.idle_timeout = applied_caller_limits_.idle_timeout;
  limits.quota = options_.quota;
  if (limits.quota != nullptr)
    limits.caller_budget = &limits.quota->budget();
  return limits;
}

void RequestService::ApplyCallerLimits() {
  const CallerLimits limits = caller_limits_.At(loop_.now());
  if (limits == applied_caller_limits_)
    return;
  applied_caller_limits_ = limits;
  if (options_.quota != nullptr) {
    const std::size_t room = options_.quota->budget().LargestRequest();
    if (limits.body_bytes > room) {
      LogEvent(LogLevel::kWarning, "body_limit_exceeds_room",
               {{"limit", limits.body_bytes}, {"room", room}});
    }
  }
  for (const auto& [key, connection] : connections_)
    connection->SetLimits(CallerConnectionLimits());
}

void RequestService::SetConfig(
    std::shared_ptr<const ServingConfigSnapshot> config) {
  config_ = std::move(config);
  caller_limits_.OnConfig(config_->config().limits, loop_.now());
  ApplyCallerLimits();
  planner_.SetConfig(config_->config());
  cold_starts_.SetConfig(config_->config());
  stream_routes_.OnConfig(config_->config(), loop_.now());
  std::unordered_set<std::string> routes;
  for (const Route& route : config_->config().routes)
    routes.insert(route.name);
  sizes_.RetainKinds(
      [&routes](const std::string& kind) { return routes.contains(kind); });
  SetConnectionLimits();
  RecheckWaiting();
}

void RequestService::SetLiveInstances(int count) {
  if (count == live_instances_)
    return;
  live_instances_ = count;
  SetConnectionLimits();
}

void RequestService::OnEndpointsChanged() {
  std::map<EndpointId, NetAddress> now_known;
  for (const auto& [id, record] : registry_.all())
    now_known[id] = record.address;
  for (const auto& [id, address] : addresses_) {
    if (now_known.contains(id))
      continue;
    client_.RemoveAddress(address);
    health_.Remove(id);
    planner_.DropReportedWeights(id);
    limits_.Remove(id);
    cold_starts_.Remove(id);
    rejections_.Remove(id);
  }
  addresses_ = std::move(now_known);
  SetConnectionLimits();
}

void RequestService::SetConnectionLimits() {
  if (config_ == nullptr)
    return;
  for (const auto& [id, record] : registry_.all()) {
    const DeclaredService* const service =
        config_->config().FindService(record.service);
    if (service == nullptr || service->connection_limit <= 0) {
      client_.SetConnectionLimit(record.address, kNoConnectionLimit);
      continue;
    }
    const int share = static_cast<int>(service->connection_limit *
                                       kConnectionShare / live_instances_);
    client_.SetConnectionLimit(record.address, std::max(1, share));
  }
}

void RequestService::OnRequest(
    const std::shared_ptr<HttpServerConnection>& connection,
    HttpServerRequest received) {
  Serve(connection, std::move(received), /*from=*/nullptr);
}

void RequestService::ServePeer(
    const std::shared_ptr<HttpServerConnection>& connection,
    HttpServerRequest request,
    const EntryId& from) {
  Serve(connection, std::move(request), &from);
}

void RequestService::Serve(
    const std::shared_ptr<HttpServerConnection>& connection,
    HttpServerRequest received,
    const EntryId* from) {
  std::optional<StreamBeginning> handed_beginning;
  if (from != nullptr)
    handed_beginning = TakeStreamBeginning(received.head);
  Result<CallerRequest> decoded = dialect_.DecodeRequest(received.head);
  if (!decoded.ok()) {
    Reject(*connection, RequestId(), decoded.error().code, from);
    return;
  }
  CallerRequest& request = decoded.value();
  if (!ReserveServed(request, received)) {
    Reject(*connection, request.id, ResultCode::kOverloaded, from);
    return;
  }
  request.body =
      SharedBytes(std::move(received.body), std::move(received.reserved));
  request.handed_over = from != nullptr;
  if (request.handed_over) {
    LogEvent(LogLevel::kInfo, "handoff_accepted",
             {{"request", request.id.value()}, {"from", from->value()}});
  }
  if (request.bad_stream_beginning) {
    LogEvent(LogLevel::kWarning, "stream_beginning_unreadable",
             {{"request", request.id.value()}});
  }
  const Result<ResolvedRequest> resolved =
      ResolveRequest(config_.get(), request);
  if (!resolved.ok()) {
    Reject(*connection, request.id, resolved.error().code, from);
    return;
  }
  const Route* const route = resolved.value().route;
  const ServiceName service =
      handed_beginning ? handed_beginning->service
                       : ChooseService(*route, FastHash(request.id.value()));
  // A peer that doesn't reach the service itself would only delay the refusal.
  if (request.handed_over && handoff_runner_ != nullptr &&
      !handoff_runner_->ReachesEndpointsOf(service)) {
    Reject(*connection, request.id, ResultCode::kNoEndpoint, from);
    return;
  }
  if (!MayStart(*route, request)) {
    Reject(*connection, request.id, ResultCode::kEntryLeaving, from);
    return;
  }
  // The instance that handed the request over has counted it.
  if (!request.handed_over)
    allowance_.OnRequest(service, loop_.now());
  ExchangeSetup setup{.request = std::move(request),
                      .config = config_,
                      .route = route,
                      .account = resolved.value().account,
                      .service = service,
                      .arrived = loop_.now()};
  const bool may_hand_over =
      handoff_runner_ != nullptr && !setup.request.handed_over;
  AttemptRunner& attempt_runner =
      may_hand_over ? static_cast<AttemptRunner&>(*handoff_runner_) : *this;
  const auto run = std::make_shared<ExchangeRun>(
      loop_, dialect_, connection, std::move(setup), attempt_runner);
  Exchange* const exchange = &run->exchange();
  if (may_hand_over)
    handoff_runner_->Add(run);
  Running& running = runs_[exchange];
  running.run = run;
  running.connection = connection.get();
  running.handed_beginning = std::move(handed_beginning);
  running.footprint = planner_.FootprintOf(exchange->setup());
  if (exchange->request().prompt)
    running.parts = JudgedParts(service, *exchange->request().prompt);
  by_connection_[connection.get()] = exchange;
  if (exchange->request().prompt) {
    sizes_.OnPrompt(route->name,
                    static_cast<double>(running.footprint.TotalTokens()));
  }
  Begin(run);
}

bool RequestService::ReserveServed(const CallerRequest& request,
                                   HttpServerRequest& received) const {
  const std::size_t size =
      received.body.capacity() + request.capacity() + kExchangeBytes;
  if (options_.quota == nullptr)
    return true;
  return options_.quota->Grow(received.reserved, size, /*asking=*/nullptr,
                              loop_.now());
}

void RequestService::Place(const std::shared_ptr<ExchangeRun>& run) {
  const ExchangeSetup& setup = run->exchange().setup();
  if (load_query_service_ == nullptr || !load_query_service_->active() ||
      !setup.request.prompt || WouldHandOver(setup)) {
    run->Start();
    return;
  }
  const LoadShortlist shortlist = planner_.Shortlist(setup, loop_.now());
  QueryLoads(run, shortlist.first, [this, run, second = shortlist.second] {
    const Running& running = runs_.at(&run->exchange());
    const ExchangeSetup& setup = run->exchange().setup();
    if (second.empty() || !planner_.NeedsSecondQuery(setup, running.shortlist))
      run->Start();
    else
      QueryLoads(run, second, [run] { run->Start(); });
  });
}

bool RequestService::WouldHandOver(const ExchangeSetup& setup) const {
  return handoff_runner_ != nullptr && !setup.request.handed_over &&
         handoff_runner_->WouldHandOver(setup);
}

void RequestService::QueryLoads(const std::shared_ptr<ExchangeRun>& run,
                                const std::vector<EndpointId>& endpoints,
                                const std::function<void()>& done) {
  runs_.at(&run->exchange()).trace.loads_requested += endpoints.size();
  load_query_service_->Query(
      endpoints, [this, run, done](const auto& reported) {
        // The caller may have disconnected in the meantime.
        if (run->exchange().over())
          return;
        std::vector<EndpointId>& known = runs_.at(&run->exchange()).shortlist;
        known.insert(known.end(), reported.begin(), reported.end());
        done();
      });
}

void RequestService::OnCallerDisconnected(HttpServerConnection& connection) {
  const auto found = by_connection_.find(&connection);
  if (found == by_connection_.end())
    return;
  const auto run = runs_.at(found->second).run;
  run->OnCallerGone();
}

void RequestService::OnBackpressure(HttpServerConnection& connection,
                                    bool pause) {
  const auto found = by_connection_.find(&connection);
  if (found != by_connection_.end())
    runs_.at(found->second).run->OnCallerSlow(pause);
}

void RequestService::OnConnectionEnd(HttpServerConnection& connection) {
  const std::string_view end = ConnectionEndName(connection.end());
  metrics_.Add("carobshift_caller_connections_ended_total", {{"end", end}}, 1);
  if (connection.ended_within_request()) {
    LogEvent(LogLevel::kInfo, "caller_connection_cut",
             {{"end", end},
              {"serving", connection.serving()},
              {"unread", connection.left_unread()}});
  }
  connections_.erase(&connection);
}

void RequestService::OnColdEndpoint(const EndpointRecord& endpoint) {
  if (!cold_starts_.OnStatement(endpoint, endpoint.cold_remaining, loop_.now()))
    return;
  LogEvent(LogLevel::kInfo, "endpoint_cold",
           {{"endpoint", endpoint.id.value()},
            {"remaining_ms", endpoint.cold_remaining.count()}});
}

void RequestService::OnPathsReturned(const ServiceName& service,
                                     MonotonicTime lost_since) {
  for (const auto& [id, record] : registry_.all()) {
    if (record.service == service)
      health_.ForgetConnectionFailures(id, lost_since);
  }
}

void RequestService::OnEvacuationEnd(const ZoneName& zone) {
  int cold = 0;
  for (const auto& [id, record] : registry_.all()) {
    if (record.zone != zone)
      continue;
    cold += cold_starts_.OnStatement(
                record, cold_starts_.ColdTimeOf(record.service), loop_.now())
                ? 1
                : 0;
  }
  LogEvent(LogLevel::kInfo, "zone_cold",
           {{"availability_zone", zone.value()}, {"endpoints", cold}});
}

void RequestService::OnExchangeEnd(Exchange& exchange) {
  const auto found = runs_.find(&exchange);
  EndWait(exchange, found->second);
  Report(exchange, found->second);
  const auto run = found->second.run;
  by_connection_.erase(found->second.connection);
  runs_.erase(found);
  // The calling member function of the exchange has not returned yet, so the
  // exchange must outlive this call.
  loop_.AddTimer(loop_.now(), [run] {});
}

void RequestService::Report(const Exchange& exchange,
                            const Running& running) const {
  RequestTrace trace = running.trace;
  trace.loads_reported = running.shortlist.size();
  trace.longest_pause = running.run->longest_pause();
  trace.registry_revision = registry_.revision();
  if (shutdown_)
    trace.arrived_after_stop = shutdown_->Age(exchange.setup().arrived);
  trace.tokens = running.footprint.TotalTokens();
  trace.size = sizes_.BandOf(exchange.setup().route->name,
                             static_cast<double>(trace.tokens));
  ReportEnd(exchange, trace, loop_.now(), metrics_);
}

void RequestService::OnTick() {
  const MonotonicTime now = loop_.now();
  ApplyCallerLimits();
  loads_.Expire(now);
  crashes_.Expire(now);
  stated_.Expire(registry_.all(), now);
  part_suspects_.OnTick(now);
  PublishPartVerdicts();
  if (SilencePolicy::CanJudge(now - last_tick_))
    HandleSilentEndpoints(now);
  last_tick_ = now;
  WithdrawLateAttempts(now);
  WithdrawRefusedParts(now);
  ResumeSuspendedStreams(now);
  for (const auto& run : std::exchange(take_ups_, {})) {
    if (!run->exchange().over())
      ContinueAtSoleVersion(run);
  }
}

void RequestService::WithdrawRefusedParts(MonotonicTime now) {
  if (part_suspects_.refuses_none())
    return;
  std::vector<std::pair<std::shared_ptr<ExchangeRun>, AttemptNumber>> refused;
  for (const auto& [exchange, running] : runs_) {
    if (part_suspects_.Decide(running.parts, now) == PartDecision::kRun)
      continue;
    for (const AttemptRecord& attempt : running.attempts) {
      if (attempt.in_progress && !attempt.is_probe &&
          exchange->IsWaiting(attempt.number))
        refused.emplace_back(running.run, attempt.number);
    }
  }
  for (const auto& [run, attempt] : refused)
    run->exchange().OnTooLateToBegin(attempt, now);
}

std::vector<RequestService::WaitingAttempt> RequestService::WaitingAttempts()
    const {
  std::vector<WaitingAttempt> waiting;
  for (const auto& [exchange, running] : runs_) {
    const auto& prompt = exchange->request().prompt;
    if (!prompt)
      continue;
    for (const AttemptRecord& attempt : running.attempts) {
      // Unknown weights may be the oldest ones.
      if (attempt.in_progress && exchange->IsWaiting(attempt.number))
        waiting.push_back({running.run, attempt.number, prompt->model,
                           attempt.trace.weights.value_or(WeightNumber{})});
    }
  }
  return waiting;
}

void RequestService::WithdrawLateAttempts(MonotonicTime now) {
  for (const WaitingAttempt& attempt : WaitingAttempts()) {
    Exchange& exchange = attempt.run->exchange();
    if (deadlines_.TooLateToBegin(attempt.model, attempt.weights, now))
      exchange.OnTooLateToBegin(attempt.number, now);
    else if (deadlines_.IsOverdue(attempt.model, attempt.weights, now))
      exchange.OnStartBoundNear(attempt.number, now);
  }
}

void RequestService::HandleSilentEndpoints(MonotonicTime now) {
  SilencePolicy policy;
  for (const auto& [exchange, running] : runs_) {
    for (const AttemptRecord& attempt : running.attempts) {
      if (attempt.in_progress && attempt.replied)
        policy.OnAnswerUnderWay(attempt.endpoint,
                                running.run->LastReceived(attempt.number, now));
    }
  }
  std::vector<std::shared_ptr<ExchangeRun>> silent;
  for (const auto& [exchange, running] : runs_) {
    if (!exchange->streaming())
      continue;
    for (const AttemptRecord& attempt : running.attempts) {
      if (!attempt.in_progress || !attempt.replied ||
          !policy.IsSilent(attempt.endpoint, now))
        continue;
      health_.OnSilent(attempt.endpoint);
      silent.push_back(running.run);
    }
  }
  for (const auto& run : silent)
    run->exchange().OnEndpointSilent(now);
}

}  // namespace carobshift
