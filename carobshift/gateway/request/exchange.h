// State machine of one caller's request, from its arrival to its answer.
//
//   auto exchange = std::make_shared<Exchange>(setup, attempt_runner, reply);
//   exchange->Start(now);
//   exchange->OnReplyHead(attempt, head, facts, now);  // and the other events
//
// Inputs are the replies of the attempts (in pieces), the failures of the
// attempts, the deadline, and the caller's disconnect. Outputs are calls to
// AttemptRunner, which runs the attempts, and to CallerReply, which sends the
// answer to the caller. The class uses no sockets and reads no clock.
//
// There is one current attempt. While its connection is alive it is given up
// only for a replacement that has begun to answer, since it may still go on: an
// endpoint that is silent for a second may be sound, and no other attempt may
// be able to start. So a second attempt, the replacement, starts beside it; the
// first of the two that answers is kept, and the other one is dropped in the
// same call. An attempt that has waited on weights on which nothing may begin
// any more is the exception: it is dropped in any case (OnTooLateToBegin).
//
// A stream that has begun and may be resumed is suspended while no attempt can
// start for a reason that passes: no endpoint can be connected to, no retry is
// left, all are full. OnTick() tries again. A stream that the caller takes up
// again, and has nothing of yet, is suspended for at most kMaxResumeWait, since
// callers give up after a longer silence.
//
// Invariants:
// - The caller receives one complete answer from one run, or a visible failure.
// - A request that may run only once is retried only if no endpoint can have
//   run it: no connection was established, or the endpoint said that it did not
//   run the request.
// - The gateway answers "not run" only if this is proven.
// - A stream resumes at another endpoint only after its last complete event,
//   and only if the route allows it.
// - A request that may run only once never has a replacement.
// - A stream goes on only at the software version that began it: what two
//   versions write doesn't fit together, and endpoints don't check it. It is
//   bound when its first event is sent to the caller; until then it may start
//   anywhere.
// - At most two attempts exist, and one from the first byte of an answer on.
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

#include "carobshift/base/byte_budget.h"
#include "carobshift/base/result_code.h"
#include "carobshift/gateway/request/caller_request.h"
#include "carobshift/gateway/request/event_splitter.h"
#include "carobshift/gateway/request/replacement_backoff.h"
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
  AttemptNumber number{};
  // The attempt is to replace one that may still go on. It is worth starting
  // only at an endpoint that is neither tried nor avoided.
  bool replacement = false;
};

// Where an attempt has started.
struct AttemptStart {
  // Empty for a handoff; the reply then states the software.
  EndpointId endpoint;
  SoftwareVersion software;
};

// Why an attempt could not start.
enum class AttemptError {
  kNone,
  // The request waits for room at an endpoint. Exchange::Start() is called
  // again when it is to be tried.
  kWaiting,
  // No endpoint accepts requests.
  kNoEndpoint,
  // No endpoint of the software version that began the stream is left.
  kSoftwareGone,
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
  // The attempt would not end within the grace period of a planned stop.
  kShuttingDown,
  // The answer would start too late to be useful to the caller.
  kOverloaded,
  // CrashRecord refuses the request because its recent runs have crashed their
  // endpoints.
  kSuspected,
};

// Runs attempts, up to two at a time for each exchange.
class AttemptRunner {
 public:
  virtual ~AttemptRunner() = default;
  // Selects an endpoint and sends the request to it. Events of the reply are
  // delivered to the exchange later. Sets `start` if the attempt started.
  virtual AttemptError StartAttempt(Exchange& exchange,
                                    const AttemptParams& wish,
                                    AttemptStart* start) = 0;
  // Ends the attempt by closing its connection to the endpoint. Returns whether
  // the endpoint may have received bytes of the request.
  virtual bool DropAttempt(Exchange& exchange, AttemptNumber attempt) = 0;
  virtual void PauseAttempt(Exchange& exchange,
                            AttemptNumber attempt,
                            bool pause) = 0;
  // Report the progress of the attempt, for the health and load records of its
  // endpoint. The attempt is over after OnAttemptEnd() and OnAttemptFailure().
  virtual void OnAttemptReply(Exchange& exchange,
                              AttemptNumber attempt,
                              const ReplyMetadata& facts) = 0;
  // The first event of the attempt's stream, or its whole successful answer if
  // that isn't a stream, has arrived.
  virtual void OnAttemptBegins(Exchange& exchange, AttemptNumber attempt) = 0;
  // The endpoint sends again after OnEndpointSilent().
  virtual void OnAttemptResumed(Exchange& exchange, AttemptNumber attempt) = 0;
  virtual void OnAttemptEnd(Exchange& exchange, AttemptNumber attempt) = 0;
  virtual void OnAttemptFailure(Exchange& exchange,
                                AttemptNumber attempt,
                                const CallFailure& failure) = 0;
  // The first event of a stream, whose software is known now, is about to be
  // sent to the caller.
  virtual void OnStreamBegins(Exchange& exchange) = 0;
  // Returns how long the caller should wait before it retries.
  virtual Milliseconds RetryAfter(Exchange& exchange) = 0;
  // Returns the budget of the bytes that exchanges hold, or null for no bound.
  [[nodiscard]] virtual ByteBudget* held_bytes() { return nullptr; }
  // The exchange is over. This is its last call.
  virtual void OnExchangeEnd(Exchange& exchange) = 0;
};

struct ExchangeSetup {
  CallerRequest request;
  std::shared_ptr<const ServingConfigSnapshot> config;
  const Route* route = nullptr;
  const Account* account = nullptr;
  ServiceName service;
  // The software version that began the stream, once it is known. Empty if it
  // can't be known; no endpoint has it then.
  std::optional<SoftwareVersion> software{};
  MonotonicTime arrived{};
};

// Result of an exchange, for logs and metrics.
struct ExchangeSummary {
  int status = 0;
  ResultCode code = ResultCode::kOk;
  bool completed = false;
  int attempts = 0;
  int resumes = 0;
  // Attempts that were started to replace another one, with or without success.
  int replacements = 0;
  // How often the stream waited without an attempt.
  int suspensions = 0;
  std::optional<MonotonicTime> first_byte;
  EndpointId last_endpoint;
};

class Exchange {
 public:
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{64} << 10;
  // Maximum number of attempts of one request, including refused and
  // unconnected ones. Each attempt costs a round trip; refusals by four
  // endpoints indicate that the service is full. Replacements that never ran
  // count only for further replacements, as the current attempt may still fail.
  static constexpr int kMaxAttempts = 4;
  // By the platform's data sheets callers leave a stream that is silent for two
  // seconds.
  static constexpr Milliseconds kMaxResumeWait{2000};

  Exchange(ExchangeSetup setup,
           AttemptRunner& attempt_runner,
           CallerReply& reply);
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Start(MonotonicTime now);
  // Binds a stream that the caller takes up again to the service and the
  // software version that began it. To be called before Start().
  void BindTo(const ServiceName& service, const SoftwareVersion& software);
  // Refuses the request instead of starting it.
  void RefuseToStart(ResultCode code, MonotonicTime now);

  // Handles the head of an attempt's reply. Returns kSkip if the reply answers
  // another request.
  ReplyDisposition OnReplyHead(AttemptNumber attempt,
                               const HttpHead& head,
                               const ReplyMetadata& facts,
                               MonotonicTime now);
  void OnReplyBody(AttemptNumber attempt,
                   std::string_view bytes,
                   MonotonicTime now);
  void OnReplyEnd(AttemptNumber attempt, MonotonicTime now);
  void OnAttemptFailed(AttemptNumber attempt,
                       const CallFailure& failure,
                       MonotonicTime now);

  // Tries to go on with a suspended stream. To be called about every 100 ms.
  void OnTick(MonotonicTime now);
  // To be called at deadline(), unless the exchange is over by then.
  void OnDeadline(MonotonicTime now);
  void OnCallerGone(MonotonicTime now);
  void OnCallerSlow(bool slow);

  // The endpoint of the current attempt has stopped sending. Starts a
  // replacement if that is allowed and possible, and continues to wait. To be
  // called again while the silence lasts.
  void OnEndpointSilent(MonotonicTime now);
  // The endpoint of the attempt will soon no longer be allowed to start new
  // requests. If the attempt has no reply yet, starts a replacement if that is
  // allowed and possible. To be called again until the bound.
  void OnStartBoundNear(AttemptNumber attempt, MonotonicTime now);
  // The endpoint of the attempt may no longer start new requests. Withdraws an
  // attempt that has no reply yet. The replacement goes on in its place, or
  // another attempt starts if the request may run again.
  void OnTooLateToBegin(AttemptNumber attempt, MonotonicTime now);

  [[nodiscard]] const CallerRequest& request() const { return setup_.request; }
  [[nodiscard]] const ExchangeSetup& setup() const { return setup_; }
  [[nodiscard]] const ExchangeSummary& summary() const { return summary_; }
  // The time by which the caller must have its answer.
  [[nodiscard]] MonotonicTime deadline() const { return deadline_; }
  [[nodiscard]] bool over() const { return state_ == State::kOver; }
  [[nodiscard]] bool suspended() const { return state_ == State::kSuspended; }
  [[nodiscard]] bool streaming() const { return state_ == State::kStreaming; }
  // True if the current attempt is in progress and its reply has not started.
  [[nodiscard]] bool waiting() const {
    return current_.has_value() && state_ == State::kSent;
  }
  // True if the attempt is in progress and its reply has not started.
  [[nodiscard]] bool IsWaiting(AttemptNumber attempt) const {
    return IsReplacement(attempt) ? !replacement_->answered
                                  : current_ == attempt && waiting();
  }

 private:
  enum class State { kIdle, kSent, kBuffering, kStreaming, kSuspended, kOver };

  struct StartedAttempt {
    AttemptNumber number{};
    AttemptStart start;
  };
  // A second attempt. It becomes the current one when its answer begins, or
  // when the current one fails.
  struct Replacement {
    StartedAttempt attempt;
    // Why the current attempt needs one.
    CallFault reason = CallFault::kSilent;
    // Its reply has begun, and is a refusal or a failure.
    bool answered = false;
  };

  [[nodiscard]] bool IsReplacement(AttemptNumber attempt) const {
    return replacement_ && replacement_->attempt.number == attempt;
  }
  // Sends the request to an endpoint, or returns why that failed. Sets
  // `started` if it succeeds.
  [[nodiscard]] AttemptError StartAttempt(bool replacement,
                                          MonotonicTime now,
                                          StartedAttempt* started);
  void SetCurrent(const StartedAttempt& attempt);
  // The same for the current attempt.
  [[nodiscard]] AttemptError BeginAttempt(MonotonicTime now);
  [[nodiscard]] bool MayRetry(bool may_have_run) const;
  // Returns whether a stream may wait, without an attempt, for one to start.
  [[nodiscard]] bool MaySuspend(MonotonicTime now) const;
  void Suspend(MonotonicTime now);
  // No attempt could start.
  void SuspendOrFail(AttemptError failure, MonotonicTime now);
  // Continues with the replacement or starts another attempt; if none can
  // start, suspends or fails the request. Returns false if a retry is not
  // allowed.
  [[nodiscard]] bool Retry(bool may_have_run, MonotonicTime now);
  [[nodiscard]] bool MayReplace() const;
  void SeekReplacement(CallFault reason, MonotonicTime now);
  // Returns whether a reply with this status is an answer for the caller, and
  // not a reason for another attempt.
  [[nodiscard]] bool IsAnswer(int status) const;
  // Makes the replacement the current attempt, which has ended. Returns false
  // if there is none that can still answer.
  [[nodiscard]] bool TakeReplacement();
  // Gives up the current attempt for the replacement, whose answer begins.
  void PromoteReplacement();
  // Drops the replacement, as the current attempt answers.
  void CancelReplacement();
  void OnReplacementOver(MonotonicTime now);
  // Handles the failure of the current attempt, which has ended.
  void ContinueAfterFailure(const CallFailure& failure, MonotonicTime now);
  // Discards what the caller can't use of an attempt that has ended.
  void DiscardPartialAnswer();
  void DropAll();
  void TakeStreamHead(const HttpHead& head);
  // Returns false if an event is too long, or there is no room for it.
  [[nodiscard]] bool ForwardEvents(std::string_view bytes, MonotonicTime now);
  // Gives up the attempt, whose endpoint may send without end.
  void OnReplyTooLong(AttemptNumber attempt, MonotonicTime now);
  // Sends the head of a stream to the caller and binds the stream.
  void BeginStream();
  void DeliverBuffered();
  // Ends the exchange without an answer from an endpoint.
  void Fail(ResultCode code, MonotonicTime now);
  void Refuse(ResultCode code, Milliseconds retry_after);
  void SendFailure(int status,
                   ResultCode code,
                   RunState run_state,
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
  // Number of replacements that were refused or not sent.
  int unrun_replacements_ = 0;
  // Number of attempts that an endpoint may have run.
  int runs_ = 0;
  // An endpoint may have run at least one of the attempts.
  bool may_have_run_ = false;
  // At least one endpoint has received the request, whether or not it ran it.
  bool reached_endpoint_ = false;
  std::optional<AttemptNumber> current_;
  // The software of the current attempt's endpoint.
  SoftwareVersion current_software_;
  // The reply of the current attempt has begun and is an answer.
  bool current_answers_ = false;
  // OnAttemptBegins() was called for the current attempt.
  bool current_begun_ = false;
  // OnEndpointSilent() was called, and nothing has been received since.
  bool current_silent_ = false;
  std::optional<Replacement> replacement_;
  ReplacementBackoff backoff_;
  // For the attempts of a suspended stream.
  ReplacementBackoff resume_backoff_;
  bool caller_slow_ = false;
  EventSplitter splitter_;
  std::optional<EventNumber> last_delivered_;
  // The head of the answer has been sent to the caller.
  bool head_sent_ = false;
  HttpHead buffered_head_;
  BudgetedBuffer buffered_body_;
  bool refused_by_endpoint_ = false;
  ExchangeSummary summary_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_EXCHANGE_H_
