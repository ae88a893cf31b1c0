// State machine of one caller's request, from its arrival to its answer.
//
//   auto exchange = std::make_shared<Exchange>(setup, attempt_runner, reply);
//   exchange->Start(now);
//   exchange->OnReplyHead(head, facts, now);  // and the other events
//
// Inputs are the reply of the current attempt (in pieces), the failure of the
// attempt, the deadline, and the caller's disconnect. Outputs are calls to
// AttemptRunner, which runs the attempts, and to CallerReply, which sends the
// answer to the caller. The class uses no sockets and reads no clock.
//
// Invariants:
// - The caller receives one complete answer from one run, or a visible failure.
// - A request that may run only once is retried only if no endpoint can have
//   run it: no connection was established, or the endpoint said that it did not
//   run the request.
// - The gateway answers "not run" only if this is proven.
// - A stream resumes at another endpoint only after its last complete event,
//   and only if the route allows it.
//
// Complete answers of up to kMaxBufferedBytes are buffered until they are
// complete. An endpoint that fails midway then causes a regular failure answer
// and not a broken connection. Longer answers are forwarded as they arrive.

#ifndef CAROBSHIFT_GATEWAY_REQUEST_EXCHANGE_H_
#define CAROBSHIFT_GATEWAY_REQUEST_EXCHANGE_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/result_code.h"
#include "carobshift/gateway/request/caller_request.h"
#include "carobshift/gateway/request/event_splitter.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/net/http_client.h"
#include "carobshift/net/http_message.h"

namespace carobshift {

class Exchange;

// Sends the answer to the caller.
class CallerReply {
 public:
  virtual ~CallerReply() = default;
  virtual void SendWhole(HttpHead head, std::string_view body) = 0;
  virtual void BeginStream(HttpHead head) = 0;
  virtual void SendChunk(std::string_view bytes) = 0;
  virtual void EndStream() = 0;
  // Aborts an answer that can't be completed, in a way that the caller can
  // detect.
  virtual void Abort() = 0;
};

// Parameters of an attempt that the exchange passes to AttemptRunner.
struct AttemptParams {
  // Endpoints to avoid if another one is available.
  const std::set<EndpointId>* tried = nullptr;
  std::optional<EventNumber> last_event;
  Milliseconds time_left{0};
  // The request has reached an endpoint before, so that this attempt counts as
  // a retry.
  bool repeat = false;
};

// Why an attempt could not start.
enum class AttemptError {
  kNone,
  // No endpoint accepts requests.
  kNoEndpoint,
  // All endpoints are in evacuated availability zones, or in regions that are
  // not allowed for the request.
  kZoneEvacuated,
  kRegionNotAllowed,
  // The endpoints that accept requests have replaced weights, on which no new
  // request may start.
  kWeightsReplaced,
  // The retry budget is exhausted.
  kRetryBudgetSpent,
  // The caller's deadline leaves too little time.
  kNoTime,
  // The answer would start too late to be useful to the caller.
  kOverloaded,
  // CrashRecord refuses the request because its recent runs have crashed their
  // endpoints.
  kSuspected,
};

// Runs attempts, one at a time for each exchange.
class AttemptRunner {
 public:
  virtual ~AttemptRunner() = default;
  // Selects an endpoint and sends the request to it. Events of the reply are
  // delivered to the exchange later. Sets `endpoint` if the attempt started.
  virtual AttemptError StartAttempt(Exchange& exchange,
                                    const AttemptParams& wish,
                                    EndpointId* endpoint) = 0;
  // Ends the attempt by closing its connection to the endpoint.
  virtual void DropAttempt(Exchange& exchange) = 0;
  virtual void PauseAttempt(Exchange& exchange, bool pause) = 0;
  // Report the progress of the attempt, for the health and load records of its
  // endpoint. The attempt is over after OnAttemptEnd() and OnAttemptFailure().
  virtual void OnAttemptReply(Exchange& exchange,
                              const ReplyMetadata& facts) = 0;
  virtual void OnAttemptEnd(Exchange& exchange) = 0;
  virtual void OnAttemptFailure(Exchange& exchange,
                                const CallFailure& failure) = 0;
  // Returns how long the caller should wait before it retries.
  virtual Milliseconds RetryAfter(Exchange& exchange) = 0;
  // The exchange is over. This is its last call.
  virtual void OnExchangeEnd(Exchange& exchange) = 0;
};

struct ExchangeSetup {
  CallerRequest request;
  std::shared_ptr<const ServingConfigSnapshot> config;
  const Route* route = nullptr;
  const Account* account = nullptr;
  ServiceName service;
  MonotonicTime arrived{};
};

// Result of an exchange, for logs and metrics.
struct ExchangeSummary {
  int status = 0;
  ResultCode code = ResultCode::kOk;
  bool completed = false;
  int attempts = 0;
  int resumes = 0;
  std::optional<MonotonicTime> first_byte;
  EndpointId last_endpoint;
};

class Exchange {
 public:
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{64} << 10;
  // Maximum number of attempts of one request, including refused and
  // unconnected ones. Each attempt costs a round trip; refusals by four
  // endpoints indicate that the service is full.
  static constexpr int kMaxAttempts = 4;

  Exchange(ExchangeSetup setup,
           AttemptRunner& attempt_runner,
           CallerReply& reply);
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Start(MonotonicTime now);

  // Handles the head of the attempt's reply. Returns kSkip if the reply answers
  // another request.
  ReplyDisposition OnReplyHead(const HttpHead& head,
                               const ReplyMetadata& facts,
                               MonotonicTime now);
  void OnReplyBody(std::string_view bytes, MonotonicTime now);
  void OnReplyEnd(MonotonicTime now);
  void OnAttemptFailed(const CallFailure& failure, MonotonicTime now);

  // To be called at deadline(), unless the exchange is over by then.
  void OnDeadline(MonotonicTime now);
  void OnCallerGone(MonotonicTime now);
  void OnCallerSlow(bool slow);

  // The endpoint of the attempt has stopped sending. Retries at another
  // endpoint if that is allowed and otherwise continues to wait.
  void OnEndpointSilent(MonotonicTime now);
  // The endpoint of the attempt may no longer start new requests. Withdraws an
  // attempt that has no reply yet, and retries at another endpoint if the
  // request may run again.
  void OnTooLateToBegin(MonotonicTime now);

  [[nodiscard]] const CallerRequest& request() const { return setup_.request; }
  [[nodiscard]] const ExchangeSetup& setup() const { return setup_; }
  [[nodiscard]] const ExchangeSummary& summary() const { return summary_; }
  // The time by which the caller must have its answer.
  [[nodiscard]] MonotonicTime deadline() const { return deadline_; }
  [[nodiscard]] bool over() const { return state_ == State::kOver; }
  [[nodiscard]] bool streaming() const { return state_ == State::kStreaming; }
  // True if an attempt is in progress and its reply has not started.
  [[nodiscard]] bool waiting() const {
    return attempt_active_ && state_ == State::kSent;
  }

 private:
  enum class State { kIdle, kSent, kBuffering, kStreaming, kOver };

  // Sends the request to an endpoint, or returns why that failed.
  [[nodiscard]] AttemptError BeginAttempt(MonotonicTime now);
  [[nodiscard]] bool MayRetry(bool may_have_run) const;
  // Starts another attempt; if it can't start, fails the request. Returns false
  // if a retry is not allowed.
  [[nodiscard]] bool Retry(bool may_have_run, MonotonicTime now);
  void TakeStreamHead(const HttpHead& head);
  void ForwardEvents(std::string_view bytes, MonotonicTime now);
  void DeliverBuffered();
  // Ends the exchange without an answer from an endpoint.
  void Fail(ResultCode code, MonotonicTime now);
  void Refuse(ResultCode code, Milliseconds retry_after);
  void SendFailure(int status,
                   ResultCode code,
                   std::string_view run_state,
                   std::optional<Milliseconds> retry_after);
  void Finish();
  [[nodiscard]] HttpHead CallerHead(const HttpHead& head) const;

  ExchangeSetup setup_;
  AttemptRunner& attempt_runner_;
  CallerReply& reply_;
  State state_ = State::kIdle;
  MonotonicTime deadline_{};
  std::set<EndpointId> tried_;
  int attempts_ = 0;
  // Number of attempts that an endpoint may have run.
  int runs_ = 0;
  // An endpoint may have run at least one of the attempts.
  bool may_have_run_ = false;
  // At least one endpoint has received the request, whether or not it ran it.
  bool reached_endpoint_ = false;
  bool attempt_active_ = false;
  EventSplitter splitter_;
  std::optional<EventNumber> last_delivered_;
  // The head of the answer has been sent to the caller.
  bool head_sent_ = false;
  HttpHead buffered_head_;
  std::string buffered_body_;
  bool refused_by_endpoint_ = false;
  ExchangeSummary summary_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_EXCHANGE_H_
