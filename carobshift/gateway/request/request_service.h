// Serves callers: reads their requests, finds the route and the account, and
// runs an exchange for each request on an endpoint of the route's service.
//
//   RequestService service(loop, client, dialect, registry, contents,
//                          deadlines, metrics, options);
//   service.SetConfig(config);
//   service.Accept(socket);
//   service.BeginStop(shutdown);

#ifndef CAROBSHIFT_GATEWAY_REQUEST_REQUEST_SERVICE_H_
#define CAROBSHIFT_GATEWAY_REQUEST_REQUEST_SERVICE_H_

#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "carobshift/gateway/admission/account_usage.h"
#include "carobshift/gateway/admission/waiting_room.h"
#include "carobshift/gateway/cache/cache_contents.h"
#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/endpoints/cold_start_limits.h"
#include "carobshift/gateway/endpoints/endpoint_eligibility.h"
#include "carobshift/gateway/endpoints/endpoint_health.h"
#include "carobshift/gateway/endpoints/endpoint_registry.h"
#include "carobshift/gateway/endpoints/endpoint_statements.h"
#include "carobshift/gateway/endpoints/rate_limits.h"
#include "carobshift/gateway/endpoints/rejection_limits.h"
#include "carobshift/gateway/endpoints/service_reachability.h"
#include "carobshift/gateway/endpoints/zone_evacuations.h"
#include "carobshift/gateway/endpoints/zone_regions.h"
#include "carobshift/gateway/load/load_query_service.h"
#include "carobshift/gateway/load/load_tracker.h"
#include "carobshift/gateway/placement/attempt_planner.h"
#include "carobshift/gateway/placement/overload_guard.h"
#include "carobshift/gateway/placement/prompt_sizes.h"
#include "carobshift/gateway/request/attempt_record.h"
#include "carobshift/gateway/request/caller_limits_in_force.h"
#include "carobshift/gateway/request/crash_record.h"
#include "carobshift/gateway/request/exchange_run.h"
#include "carobshift/gateway/request/held_crash_reports.h"
#include "carobshift/gateway/request/part_suspects.h"
#include "carobshift/gateway/request/request_report.h"
#include "carobshift/gateway/request/request_service_options.h"
#include "carobshift/gateway/request/retry_allowance.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/gateway/shutdown_schedule.h"
#include "carobshift/gateway/streams/stream_directory.h"
#include "carobshift/gateway/streams/stream_route_history.h"
#include "carobshift/net/http_server_connection.h"
#include "carobshift/telemetry/metrics.h"

namespace carobshift {

class HandoffRunner;

class RequestService : private HttpServerHandler, private AttemptRunner {
 public:
  RequestService(EventLoop& loop,
                 HttpClient& client,
                 const RequestDialect& dialect,
                 EndpointRegistry& registry,
                 CacheContents& contents,
                 const WeightDeadlines& deadlines,
                 const ZoneEvacuations& evacuations,
                 const ZoneRegions& regions,
                 Metrics& metrics,
                 const RequestServiceOptions& options);
  ~RequestService() override;

  void Accept(const Poco::Net::StreamSocket& socket);
  // Serves a request that the instance `from` has handed over. Its connection
  // reports its further events to connection_handler().
  void ServePeer(const std::shared_ptr<HttpServerConnection>& connection,
                 HttpServerRequest request,
                 const EntryId& from);
  [[nodiscard]] HttpServerHandler& connection_handler() { return *this; }
  [[nodiscard]] HttpServerLimits CallerConnectionLimits() const;
  // Sets the runner of callers' requests, which sends to endpoints through
  // attempt_runner(). Without it, nothing is handed over.
  void SetHandoffRunner(HandoffRunner* runner) { handoff_runner_ = runner; }
  [[nodiscard]] AttemptRunner& attempt_runner() { return *this; }
  // Returns whether an attempt of the request may begin now, which during a
  // planned stop depends on when it will have ended; otherwise notes when its
  // caller may return. A stream of which the caller has something is always
  // admitted.
  [[nodiscard]] bool AdmitAttempt(Exchange& exchange);
  // Spends one retry of the service's budget; returns false if it is exhausted.
  // Each retry is ended by one call of SettleRetry() or RefundRetry().
  [[nodiscard]] bool TrySpendRetry(const ServiceName& service);
  // The retry can't arrive at an endpoint after `last_arrival`.
  void SettleRetry(const ServiceName& service, MonotonicTime last_arrival);
  // The retry was never sent.
  void RefundRetry(const ServiceName& service);
  [[nodiscard]] const RetryAllowance& retry_allowance() const {
    return allowance_;
  }
  void SetConfig(std::shared_ptr<const ServingConfigSnapshot> config);
  // To be called after each change of the registry.
  void OnEndpointsChanged();
  void SetDraining(std::set<EndpointId> draining) {
    planner_.SetDraining(std::move(draining));
  }
  // Called with each broken run, to announce it to the other instances.
  using OnCrash =
      std::function<void(RequestFingerprint, const std::string& run)>;
  void SetOnCrash(OnCrash on_crash) { on_crash_ = std::move(on_crash); }
  // Called with each crash of an endpoint that this instance has seen, and when
  // there may be new verdicts of part_suspects().
  using OnPartCrash = std::function<void(const PartCrash&)>;
  void SetOnPartCrash(OnPartCrash on_part_crash) {
    on_part_crash_ = std::move(on_part_crash);
  }
  void SetOnPartVerdicts(std::function<void()> on_part_verdicts) {
    on_part_verdicts_ = std::move(on_part_verdicts);
  }
  [[nodiscard]] PartSuspects& part_suspects() { return part_suspects_; }
  [[nodiscard]] const PartSuspects& part_suspects() const {
    return part_suspects_;
  }
  // Sets how to tell a loss of this instance's paths from a failure of the
  // endpoints. Without it, each broken run is announced at once.
  using LossCheck = std::function<ServiceLoss(const ServiceName&)>;
  void SetLossCheck(LossCheck loss_of) { loss_of_ = std::move(loss_of); }
  // Records a broken run announced by another instance.
  void OnPeerCrashReport(const CrashReport& crash) {
    crashes_.OnBroken(crash.fingerprint, crash.run, loop_.now());
  }
  [[nodiscard]] EndpointStatements& statements() { return statements_; }
  [[nodiscard]] const StatedAvailability& stated_availability() const {
    return stated_;
  }
  // An endpoint's record states that the endpoint is cold.
  void OnColdEndpoint(const EndpointRecord& endpoint);
  // The evacuation of a zone has ended. Its endpoints may have become cold
  // without a statement that has arrived here.
  void OnEvacuationEnd(const ZoneName& zone);
  // Sets the source of load reports that are requested before a prompt is
  // placed. Without it, no reports are requested.
  void SetLoadQueryService(LoadQueryService* load_query_service) {
    load_query_service_ = load_query_service;
  }
  // Sets what is known of this instance's own paths; null if nothing is.
  void SetReachability(const ServiceReachability* reachability) {
    reachability_ = reachability;
  }
  // Returns a time up to which all records of endpoints have been read; nullopt
  // before the first.
  using RecordsAsOf = std::function<std::optional<MonotonicTime>()>;
  // Sets where streams' beginnings are recorded and looked up, and how old the
  // records of endpoints are. Without them, a stream that a caller takes up
  // again is refused.
  void SetStreamDirectory(StreamDirectory* directory,
                          RecordsAsOf records_as_of) {
    stream_directory_ = directory;
    records_as_of_ = std::move(records_as_of);
  }
  // Sets a function that returns a time up to which all configurations have
  // been read. Without it, the one in force counts as current.
  void SetConfigAsOf(RecordsAsOf config_as_of) {
    config_as_of_ = std::move(config_as_of);
  }
  // Returns whether streams wait for records or configurations of their time.
  [[nodiscard]] bool awaits_records() const { return !take_ups_.empty(); }
  // See StreamRouteHistory.
  [[nodiscard]] Milliseconds LongestStream(MonotonicTime now) const {
    return stream_routes_.LongestStream(now);
  }
  // Returns the only version that the service has had, if that is certain for
  // the time up to SoftwareHistory::kMaxRecordAge ago.
  [[nodiscard]] std::optional<SoftwareVersion> SoleVersion(
      const SoleVersionQuestion& question) const;
  // The paths of this instance to the service, which were lost since then, have
  // returned.
  void OnPathsReturned(const ServiceName& service, MonotonicTime lost_since);
  // Number of live instances, including this one.
  void SetLiveInstances(int count);
  // Number of instances that may be sending retries, including this one.
  void SetKnownInstances(int count) {
    allowance_.OnMembers(count, loop_.now());
  }
  // To be called about every 100 ms.
  void OnTick();
  [[nodiscard]] LoadTracker& loads() { return loads_; }
  [[nodiscard]] AccountUsage& account_usage() { return account_usage_; }
  // Number of requests that wait for room at an endpoint.
  [[nodiscard]] std::size_t waiting_requests() const { return waiting_.size(); }
  [[nodiscard]] RateLimits& limits() { return limits_; }
  [[nodiscard]] ColdStartLimits& cold_starts() { return cold_starts_; }
  [[nodiscard]] const ColdStartLimits& cold_starts() const {
    return cold_starts_;
  }
  [[nodiscard]] RejectionLimits& rejections() { return rejections_; }

  // Tells callers to connect elsewhere; requests in progress continue.
  void BeginStop(const ShutdownSchedule& shutdown);
  // Closes the connections without a request, unread, and the others after
  // their reply. To be called again when no more connections are accepted.
  void CloseIdleConnections();
  // Gives each request in progress, and each that has arrived in part, its
  // final answer, since this process can't wait for it any longer. Replies that
  // have begun break off.
  void EndOpenRequests();
  // Records the weights that the engine reported directly, which are newer than
  // those in its record.
  void OnWeightsReported(const EndpointId& endpoint,
                         const ModelName& model,
                         WeightNumber weights) {
    planner_.OnWeightsReported(endpoint, model, weights);
  }
  // Returns the engine's weights as last known from its record or its own
  // report.
  [[nodiscard]] std::optional<WeightNumber> WeightsOf(
      const EndpointRecord& endpoint,
      const ModelName& model) const {
    return planner_.WeightsOf(endpoint, model);
  }
  // Number of endpoints that have declared a request rate limit.
  [[nodiscard]] std::size_t limited_endpoints() const { return limits_.size(); }
  [[nodiscard]] std::size_t open_requests() const { return runs_.size(); }
  [[nodiscard]] std::size_t open_connections() const {
    return connections_.size();
  }
  // Bytes of replies that the callers have not taken yet.
  [[nodiscard]] std::size_t unsent_bytes() const;
  // Whether a request is being read or served, or a reply is not sent yet.
  [[nodiscard]] bool busy() const;
  [[nodiscard]] bool has_config() const { return config_ != nullptr; }

 private:
  void OnRequest(const std::shared_ptr<HttpServerConnection>& connection,
                 HttpServerRequest request) override;
  void OnCallerDisconnected(HttpServerConnection& connection) override;
  void OnBackpressure(HttpServerConnection& connection, bool pause) override;
  void OnConnectionEnd(HttpServerConnection& connection) override;
  void OnMalformed(int status) override;
  void OnNoRoom(HttpServerConnection& connection,
                const HttpHead& head) override;

  AttemptError StartAttempt(Exchange& exchange,
                            const AttemptParams& wish,
                            AttemptStart* start) override;
  bool DropAttempt(Exchange& exchange, AttemptNumber attempt) override;
  void PauseAttempt(Exchange& exchange,
                    AttemptNumber attempt,
                    bool pause) override;
  void OnAttemptReply(Exchange& exchange,
                      AttemptNumber attempt,
                      const ReplyMetadata& facts) override;
  void OnAttemptBegins(Exchange& exchange, AttemptNumber attempt) override;
  void OnAttemptResumed(Exchange& exchange, AttemptNumber attempt) override;
  void OnAttemptEnd(Exchange& exchange, AttemptNumber attempt) override;
  void OnAttemptFailure(Exchange& exchange,
                        AttemptNumber attempt,
                        const CallFailure& failure) override;
  void OnStreamBegins(Exchange& exchange) override;
  Milliseconds RetryAfter(Exchange& exchange) override;
  ByteBudget* held_bytes() override { return client_.reply_budget(); }
  void OnExchangeEnd(Exchange& exchange) override;

  struct Running {
    [[nodiscard]] AttemptRecord& Attempt(AttemptNumber number);

    std::shared_ptr<ExchangeRun> run;
    HttpServerConnection* connection = nullptr;
    RequestFootprint footprint;
    std::vector<PartDigest> parts;
    // Endpoints whose load was reported, among which the request is placed.
    std::vector<EndpointId> shortlist;
    RequestTrace trace;
    // The beginning of the stream, as the instance states that handed the
    // request over.
    std::optional<StreamBeginning> handed_beginning;
    // From where the beginning of the stream is known that the caller takes up.
    StreamSource stream_source = StreamSource::kUnknown;
    // All attempts; see Exchange::kMaxAttempts.
    std::vector<AttemptRecord> attempts;
    // Set when the request was refused under load.
    std::optional<Milliseconds> retry_after;
    // Set while the request waits for room at an endpoint.
    std::optional<RequestId> wait_id;
    // Latest start for an answer within the latency target, while it waits.
    MonotonicTime wait_target{};
  };
  enum class Admission { kStart, kWait, kRefuse };

  // `from` is the instance that handed the request over, or null.
  void Serve(const std::shared_ptr<HttpServerConnection>& connection,
             HttpServerRequest received,
             const EntryId* from);
  // Reserves what serving the request takes. Returns whether it has room.
  [[nodiscard]] bool ReserveServed(const CallerRequest& request,
                                   HttpServerRequest& received) const;
  // Answers a request without an exchange. It has not run.
  void Reject(HttpServerConnection& connection,
              const RequestId& id,
              ResultCode code,
              const EntryId* from);
  // Returns whether a request that arrives now may start, which during a
  // planned stop depends on when it will have ended.
  [[nodiscard]] bool MayStart(const Route& route,
                              const CallerRequest& request) const;
  // Callers' connections, some of which may end while they are gone through.
  [[nodiscard]] std::vector<std::shared_ptr<HttpServerConnection>> Connections()
      const;
  // Refuses the requests that have no attempt yet and may not start any more.
  void RefuseLateStarts();
  [[nodiscard]] bool WouldHandOver(const ExchangeSetup& setup) const;
  // Binds a stream that the caller takes up again, or refuses it, and starts
  // the exchange.
  void Begin(const std::shared_ptr<ExchangeRun>& run);
  // What other instances say, asked at `asked`, of a stream that is taken up.
  void OnStreamLookup(const std::shared_ptr<ExchangeRun>& run,
                      const StreamLookup& lookup,
                      const SoleVersionQuestion& question,
                      MonotonicTime asked);
  // Continues a stream that nobody knows if its service has had one version
  // only. Waits until the records tell that of the time at which the caller
  // took it up.
  void ContinueAtSoleVersion(const std::shared_ptr<ExchangeRun>& run);
  // Whether all records of endpoints and all configurations are known that the
  // log held at `time`.
  [[nodiscard]] bool HasReadUpTo(MonotonicTime time) const;
  void ContinueStream(const std::shared_ptr<ExchangeRun>& run,
                      const StreamLookup& lookup);
  [[nodiscard]] SoleVersionQuestion SoleVersionQuestionOf(
      const ExchangeSetup& setup) const;
  // Starts the exchange; for a prompt, after load reports have been requested.
  void Place(const std::shared_ptr<ExchangeRun>& run);
  // Queries the load of `endpoints` and adds those that were answered to the
  // shortlist. Doesn't call `done` if the caller has disconnected by then.
  void QueryLoads(const std::shared_ptr<ExchangeRun>& run,
                  const std::vector<EndpointId>& endpoints,
                  const std::function<void()>& done);
  void Report(const Exchange& exchange, const Running& running) const;
  // Logs what the request waits for that the end of the grace period ends.
  void LogStopCut(ExchangeRun& run) const;
  [[nodiscard]] static RequestFingerprint FingerprintOfExchange(
      const Exchange& exchange);
  // Returns why the planner found no endpoint.
  [[nodiscard]] AttemptError ClassifyPlanFailure(
      const ExchangeSetup& setup) const;
  // Records the start of the planned attempt.
  void RecordStart(Running& running,
                   const AttemptParams& wish,
                   const AttemptPlan& plan);
  // Logs and counts an attempt that continues a stream.
  void ReportContinuation(const Running& running,
                          const AttemptParams& wish,
                          const EndpointRecord& endpoint);
  // Returns whether a planned attempt may be sent now that its connection is
  // established.
  [[nodiscard]] bool MayStillSend(const ExchangeSetup& setup,
                                  const EndpointIncarnation& endpoint) const;
  // Returns whether the plan's endpoint is worth a replacement.
  [[nodiscard]] bool ServesAsReplacement(const AttemptParams& wish,
                                         const AttemptPlan& plan) const;
  // Whether the endpoint may go on with an attempt that ends here.
  enum class AttemptRest { kNone, kMayContinue };
  void EndAttempt(Exchange& exchange, AttemptNumber attempt, AttemptRest rest);
  void CountRetry(const ServiceName& service, std::string_view outcome);
  // Ends the retry that the attempt was counted as, if it was and is not ended
  // yet. `sent` is false if the attempt was never sent.
  void EndRetry(const ServiceName& service,
                AttemptRecord& attempt,
                bool sent,
                MonotonicTime last_arrival);
  void NoteRead(AttemptRecord& attempt);
  // Records how long the attempt waited for its first token, unless the time
  // contains a loss of this instance's paths, which says nothing about load.
  void NoteFirstToken(const ServiceName& service, const AttemptRecord& attempt);
  void ReportCrash(Exchange& exchange, AttemptNumber attempt);
  void AnnounceCrash(const HeldCrashReport& report);
  // Counts and announces the crashes of which these runs are the evidence.
  void CountPartCrashes(const std::vector<HeldCrashReport>& reports);
  void PublishPartVerdicts();
  // Refuses a request with a part that crashes endpoints. Sets when its caller
  // may return.
  [[nodiscard]] bool RefusesParts(Exchange& exchange);
  // Takes back attempts that wait at endpoints and hold a refused part.
  void WithdrawRefusedParts(MonotonicTime now);
  void SettleCrashReports();
  // Returns whether a request that has not been sent yet would miss its latency
  // target under the load of the planned endpoint.
  [[nodiscard]] OverloadDecision JudgeLoad(const ExchangeSetup& setup,
                                           const AttemptPlan& plan) const;
  static void LogRefusal(const ExchangeSetup& setup,
                         const AttemptPlan& plan,
                         const OverloadDecision& verdict,
                         Milliseconds retry_after);
  // Decides whether a planned attempt starts now, waits for room or is refused.
  // Called again for a request that waits, each time that it is tried.
  [[nodiscard]] Admission Admit(Exchange& exchange,
                                Running& running,
                                const AttemptPlan& plan);
  // The same for a request that is already waiting.
  [[nodiscard]] Admission AdmitWaiting(Exchange& exchange,
                                       Running& running,
                                       const AttemptPlan& plan);
  // Returns whether the planned endpoint has room for a waiting request.
  [[nodiscard]] bool HasRoomForWaiting(const ExchangeSetup& setup,
                                       const Running& running,
                                       const AttemptPlan& plan) const;
  // Returns whether a request may wait for room: only callers of streams with a
  // latency target declare how long they wait.
  [[nodiscard]] static bool MayWait(const ExchangeSetup& setup);
  [[nodiscard]] WaitingRoom& RoomOf(const ServiceName& service);
  [[nodiscard]] WaitingRequest WaitingRequestOf(const Exchange& exchange,
                                                const AttemptPlan& plan);
  void ScheduleWaitingTry(MonotonicTime at);
  // Tries the requests that are next in each waiting room.
  void TryWaiting();
  void RefuseExpired(WaitingRoom& room);
  void EndWait(const Exchange& exchange, Running& running);
  // Refuses waiting requests whose route or key the configuration lacks.
  void RecheckWaiting();
  void CountWait(const ExchangeSetup& setup, std::string_view outcome);
  void SetConnectionLimits();
  // Applies the limits of callers that are in force now to open connections.
  void ApplyCallerLimits();
  // Avoids endpoints that have stopped sending, and notifies their exchanges.
  void HandleSilentEndpoints(MonotonicTime now);
  // Withdraws attempts that are still waiting at engines with weights on which
  // no request may start any more, after looking for replacements shortly
  // before that bound.
  void WithdrawLateAttempts(MonotonicTime now);
  void ResumeSuspendedStreams(MonotonicTime now);
  struct WaitingAttempt {
    std::shared_ptr<ExchangeRun> run;
    AttemptNumber number{};
    ModelName model;
    WeightNumber weights{};
  };
  [[nodiscard]] std::vector<WaitingAttempt> WaitingAttempts() const;

  EventLoop& loop_;
  HttpClient& client_;
  const RequestDialect& dialect_;
  EndpointRegistry& registry_;
  const WeightDeadlines& deadlines_;
  Metrics& metrics_;
  RequestServiceOptions options_;
  EndpointHealthTable health_;
  RateLimits limits_;
  ColdStartLimits cold_starts_;
  RejectionLimits rejections_;
  StatedAvailability stated_;
  EndpointStatements statements_;
  EndpointEligibility eligibility_;
  LoadTracker loads_;
  PromptSizes sizes_;
  OverloadGuard overload_;
  AccountUsage account_usage_;
  std::map<ServiceName, std::unique_ptr<WaitingRoom>> rooms_;
  // By the id in the waiting room.
  std::map<RequestId, Exchange*> waiting_;
  std::uint64_t last_wait_ = 0;
  std::optional<MonotonicTime> next_waiting_try_;
  CrashRecord crashes_;
  HeldCrashReports held_crashes_;
  PartSuspects part_suspects_;
  OnPartCrash on_part_crash_;
  std::function<void()> on_part_verdicts_;
  OnCrash on_crash_;
  LossCheck loss_of_;
  const ServiceReachability* reachability_ = nullptr;
  AttemptPlanner planner_;
  RetryAllowance allowance_;
  LoadQueryService* load_query_service_ = nullptr;
  StreamDirectory* stream_directory_ = nullptr;
  RecordsAsOf records_as_of_;
  RecordsAsOf config_as_of_;
  // Streams that are taken up and wait in ContinueAtSoleVersion().
  std::vector<std::shared_ptr<ExchangeRun>> take_ups_;
  HandoffRunner* handoff_runner_ = nullptr;
  std::shared_ptr<const ServingConfigSnapshot> config_;
  StreamRouteHistory stream_routes_;
  CallerLimitsInForce caller_limits_;
  // As last applied to open connections.
  CallerLimits applied_caller_limits_;
  std::unordered_map<HttpServerConnection*,
                     std::shared_ptr<HttpServerConnection>>
      connections_;
  std::unordered_map<HttpServerConnection*, Exchange*> by_connection_;
  std::unordered_map<Exchange*, Running> runs_;
  std::map<EndpointId, NetAddress> addresses_;
  int live_instances_ = 1;
  MonotonicTime last_tick_{};
  std::optional<ShutdownSchedule> shutdown_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_REQUEST_SERVICE_H_
