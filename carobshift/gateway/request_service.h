// Serves callers: reads their requests, finds route and account, and runs an
// exchange for each on an endpoint of the route's service.
//
//   RequestService service(loop, client, dialect, tables, options);
//   service.SetConfig(config);
//   service.Accept(socket);
//   service.BeginStop();

#ifndef CAROBSHIFT_GATEWAY_REQUEST_SERVICE_H_
#define CAROBSHIFT_GATEWAY_REQUEST_SERVICE_H_

#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "carobshift/gateway/attempt_planner.h"
#include "carobshift/gateway/cache_contents.h"
#include "carobshift/gateway/crash_record.h"
#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/endpoint_health.h"
#include "carobshift/gateway/endpoint_registry.h"
#include "carobshift/gateway/exchange_run.h"
#include "carobshift/gateway/load_book.h"
#include "carobshift/gateway/load_scout.h"
#include "carobshift/gateway/overload_guard.h"
#include "carobshift/gateway/prompt_sizes.h"
#include "carobshift/gateway/rate_limits.h"
#include "carobshift/gateway/request_report.h"
#include "carobshift/gateway/retry_allowance.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/net/http_server_connection.h"
#include "carobshift/telemetry/metrics.h"

namespace carobshift {

struct RequestServiceOptions {
  RetryLimits retries;
  // Connecting to an endpoint takes a round trip of some milliseconds. One that
  // has not come about by then is lost or its endpoint is dark.
  Milliseconds connect_timeout{200};
  // How long a kept connection may have been idle for a request that may run
  // only once: if the connection has died unnoticed, its outcome is open.
  Milliseconds once_max_idle{1000};
  // Without a word for this long, an endpoint with streams under way is taken
  // for dark: engines send something every few dozen milliseconds.
  Milliseconds stream_silence{600};
};

class RequestService : private HttpServerHandler, private ServiceDesk {
 public:
  RequestService(EventLoop& loop,
                 HttpClient& client,
                 const RequestDialect& dialect,
                 EndpointRegistry& registry,
                 CacheContents& contents,
                 const WeightDeadlines& deadlines,
                 Metrics& metrics,
                 const RequestServiceOptions& options);
  ~RequestService() override;

  void Accept(const Poco::Net::StreamSocket& socket);
  void SetConfig(std::shared_ptr<const ConfigInForce> config);
  // After the registry has changed.
  void OnEndpointsChanged();
  void SetDraining(std::set<EndpointId> draining) {
    planner_.SetDraining(std::move(draining));
  }
  // Called with each run that broke, to be told to the other instances.
  using OnCrash =
      std::function<void(RequestFingerprint, const std::string& run)>;
  void SetOnCrash(OnCrash on_crash) { on_crash_ = std::move(on_crash); }
  // What they told.
  void NoteCrash(const DescribedCrash& crash) {
    crashes_.OnBroken(crash.fingerprint, crash.run, loop_.now());
  }
  // Whom to ask for loads before a prompt is placed; nobody if not called.
  void SetScout(LoadScout* scout) { scout_ = scout; }
  // Entries that live, this one included.
  void SetLiveEntries(int count);
  // To be called about every kTick.
  void OnTick();
  [[nodiscard]] LoadBook& loads() { return loads_; }
  [[nodiscard]] RateLimits& limits() { return limits_; }

  // Callers are told to connect elsewhere; requests under way go on.
  void BeginStop();
  // What the engine has told this instance, newer than its record.
  void NoteWeights(const EndpointId& endpoint,
                   const ModelName& model,
                   WeightNumber weights) {
    planner_.NoteWeights(endpoint, model, weights);
  }
  // What is known of the engine's weights, from its record or what it told.
  [[nodiscard]] std::optional<WeightNumber> WeightsOf(
      const EndpointRecord& endpoint,
      const ModelName& model) const {
    return planner_.WeightsOf(endpoint, model);
  }
  // Endpoints that name a limit of requests a second.
  [[nodiscard]] std::size_t limited_endpoints() const { return limits_.size(); }
  [[nodiscard]] std::size_t open_requests() const { return runs_.size(); }
  [[nodiscard]] std::size_t open_connections() const {
    return connections_.size();
  }
  [[nodiscard]] bool has_config() const { return config_ != nullptr; }

 private:
  void OnRequest(const std::shared_ptr<HttpServerConnection>& connection,
                 HttpServerRequest request) override;
  void OnCallerGone(HttpServerConnection& connection) override;
  void OnPause(HttpServerConnection& connection, bool pause) override;
  void OnConnectionEnd(HttpServerConnection& connection) override;
  void OnMalformed(int status) override;

  NoAttempt StartAttempt(Exchange& exchange,
                         const AttemptWish& wish,
                         EndpointId* endpoint) override;
  void DropAttempt(Exchange& exchange) override;
  void PauseAttempt(Exchange& exchange, bool pause) override;
  void OnAttemptReply(Exchange& exchange, const ReplyFacts& facts) override;
  void OnAttemptEnd(Exchange& exchange) override;
  void OnAttemptFailure(Exchange& exchange,
                        const CallFailure& failure) override;
  Milliseconds ReturnAfter(Exchange& exchange) override;
  void OnExchangeEnd(Exchange& exchange) override;

  struct Running {
    std::shared_ptr<ExchangeRun> run;
    HttpServerConnection* connection = nullptr;
    EndpointId endpoint;
    EndpointBirth born{};
    RequestFootprint footprint;
    // Endpoints whose loads were told, to place it among.
    std::vector<EndpointId> shortlist;
    // Of the attempt; zero once the endpoint has read the prompt.
    double unread = 0;
    RequestTrace trace;
    MonotonicTime attempt_began{};
    bool attempt = false;
    // The endpoint said that it didn't run the attempt.
    bool not_run = false;
    // Set when it was refused under load.
    std::optional<Milliseconds> return_after;
  };

  // Answers without an endpoint.
  void Reject(HttpServerConnection& connection,
              const RequestId& id,
              int status,
              ResultCode code,
              RunState run_state);
  // Starts the exchange, for a prompt after the loads were asked for.
  void Begin(const std::shared_ptr<ExchangeRun>& run);
  void Report(const Exchange& exchange, const Running& running) const;
  [[nodiscard]] static RequestFingerprint FingerprintOfExchange(
      const Exchange& exchange);
  // Why there is no plan.
  [[nodiscard]] NoAttempt WhyNoPlan(const ExchangeSetup& setup) const;
  // What the attempt's answer says of its endpoint's limit.
  void NoteLimit(const Running& running, const ReplyFacts& facts);
  void EndAttempt(Exchange& exchange);
  void NoteRead(Running& running);
  // Whether a request that has not been sent yet is to be refused.
  [[nodiscard]] bool RefusedUnderLoad(Running& running,
                                      const ExchangeSetup& setup,
                                      const AttemptPlan& plan);
  void SetConnectionLimits();
  // Leaves endpoints that have fallen silent.
  void LeaveSilentEndpoints(MonotonicTime now);
  // Takes back what waits for weights on which nothing may begin any more.
  void WithdrawTooLate(MonotonicTime now);
  [[nodiscard]] bool TooLateToBegin(const Exchange& exchange,
                                    const Running& running,
                                    MonotonicTime now) const;

  EventLoop& loop_;
  HttpClient& client_;
  const RequestDialect& dialect_;
  EndpointRegistry& registry_;
  const WeightDeadlines& deadlines_;
  Metrics& metrics_;
  RequestServiceOptions options_;
  EndpointHealthBook health_;
  RateLimits limits_;
  LoadBook loads_;
  PromptSizes sizes_;
  OverloadGuard overload_;
  CrashRecord crashes_;
  OnCrash on_crash_;
  AttemptPlanner planner_;
  RetryAllowance allowance_;
  LoadScout* scout_ = nullptr;
  std::shared_ptr<const ConfigInForce> config_;
  std::unordered_map<HttpServerConnection*,
                     std::shared_ptr<HttpServerConnection>>
      connections_;
  std::unordered_map<HttpServerConnection*, Exchange*> by_connection_;
  std::unordered_map<Exchange*, Running> runs_;
  std::map<EndpointId, NetAddress> addresses_;
  int live_entries_ = 1;
  bool stopping_ = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_SERVICE_H_
