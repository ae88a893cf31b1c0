// One caller's request from its arrival to its answer, as a state machine.
//
//   auto exchange = std::make_shared<Exchange>(setup, desk, reply);
//   exchange->Start(now);
//   exchange->OnReplyHead(head, facts, now);  // and what else happens to it
//
// In: the attempt's reply, piece by piece, its failure, the end of the time,
// the caller's leaving. Out: calls of ServiceDesk (where attempts run) and of
// CallerReply (what the caller gets). It knows no sockets and reads no clock.
//
// What must hold:
// - The caller gets one whole answer of one run, or a visible failure.
// - A request that may not run twice is sent again only if no endpoint can have
//   run it: no connection came about, or the endpoint said so.
// - A refusal that says "not run" is given only if that is proven.
// - A stream goes on at another endpoint only after its last whole event, and
//   only if it may be resumed.
//
// Figures: a whole answer up to kMaxHeldBytes is held until it is complete, so
// that an endpoint's failure in the middle is a clean failure and not a broken
// connection; longer ones are handed on as they come.

#ifndef CAROBSHIFT_GATEWAY_EXCHANGE_H_
#define CAROBSHIFT_GATEWAY_EXCHANGE_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/result_code.h"
#include "carobshift/gateway/caller_request.h"
#include "carobshift/gateway/event_splitter.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/net/http_client.h"
#include "carobshift/net/http_message.h"

namespace carobshift {

class Exchange;

// Where the caller's answer goes.
class CallerReply {
 public:
  virtual ~CallerReply() = default;
  virtual void SendWhole(HttpHead head, std::string_view body) = 0;
  virtual void BeginStream(HttpHead head) = 0;
  virtual void SendPiece(std::string_view bytes) = 0;
  virtual void EndStream() = 0;
  // The answer can't be completed; the caller must be able to see it.
  virtual void BreakOff() = 0;
};

// What an exchange asks for when it sends its request to an endpoint.
struct AttemptWish {
  // Not these, if another one can be had.
  const std::set<EndpointId>* tried = nullptr;
  std::optional<EventNumber> last_event;
  Milliseconds time_left{0};
  // The request has reached an endpoint before, so this counts as a repeat.
  bool repeat = false;
};

// Why an attempt could not begin.
enum class NoAttempt {
  kNone,
  // No endpoint takes work now.
  kNoEndpoint,
  // Those that take work have weights on which nothing may begin any more.
  kWeightsReplaced,
  // The repeats allowed are used up.
  kNoAllowance,
  // The caller's time is over.
  kNoTime,
  // The answer would begin too late to be of use.
  kOverloaded,
  // Every endpoint that ran it so far broke off.
  kSuspected,
};

// Where attempts run. One at a time for each exchange.
class ServiceDesk {
 public:
  virtual ~ServiceDesk() = default;
  // Chooses an endpoint and sends the request there. The reply's events go to
  // the exchange later. `endpoint` is set if an attempt has begun.
  virtual NoAttempt StartAttempt(Exchange& exchange,
                                 const AttemptWish& wish,
                                 EndpointId* endpoint) = 0;
  // Ends the attempt; its endpoint sees the connection close.
  virtual void DropAttempt(Exchange& exchange) = 0;
  virtual void PauseAttempt(Exchange& exchange, bool pause) = 0;
  // What the attempt met with, for the books about its endpoint. The attempt is
  // over after the last two.
  virtual void OnAttemptReply(Exchange& exchange, const ReplyFacts& facts) = 0;
  virtual void OnAttemptEnd(Exchange& exchange) = 0;
  virtual void OnAttemptFailure(Exchange& exchange,
                                const CallFailure& failure) = 0;
  // How long a caller should wait before it comes back to the service.
  virtual Milliseconds ReturnAfter(Exchange& exchange) = 0;
  // The exchange is over; the last call.
  virtual void OnExchangeEnd(Exchange& exchange) = 0;
};

struct ExchangeSetup {
  CallerRequest request;
  std::shared_ptr<const ConfigInForce> config;
  const Route* route = nullptr;
  const Account* account = nullptr;
  ServiceName service;
  MonotonicTime arrived{};
};

// How an exchange ended, for logs and metrics.
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
  static constexpr std::size_t kMaxHeldBytes = std::size_t{64} << 10;
  // Attempts of one request, refused and unconnected ones included. Each costs
  // a round trip; a fourth endpoint that refuses tells that the service is
  // full.
  static constexpr int kMaxSends = 4;

  Exchange(ExchangeSetup setup, ServiceDesk& desk, CallerReply& reply);
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Start(MonotonicTime now);

  // The attempt's reply. kSkip if it answers another request.
  ReplyVerdict OnReplyHead(const HttpHead& head,
                           const ReplyFacts& facts,
                           MonotonicTime now);
  void OnReplyBody(std::string_view bytes, MonotonicTime now);
  void OnReplyEnd(MonotonicTime now);
  void OnAttemptFailed(const CallFailure& failure, MonotonicTime now);

  // At deadline(), if it isn't over by then.
  void OnDeadline(MonotonicTime now);
  void OnCallerGone(MonotonicTime now);
  void OnCallerSlow(bool slow);

  // The endpoint of the attempt has fallen silent. Goes on elsewhere if that is
  // allowed; otherwise waits on.
  void OnEndpointSilent(MonotonicTime now);
  // Nothing may begin at the endpoint of the attempt any more. An attempt
  // without a reply is taken back; what may run again goes on elsewhere.
  void OnTooLateToBegin(MonotonicTime now);

  [[nodiscard]] const CallerRequest& request() const { return setup_.request; }
  [[nodiscard]] const ExchangeSetup& setup() const { return setup_; }
  [[nodiscard]] const ExchangeSummary& summary() const { return summary_; }
  // When the caller must have its answer.
  [[nodiscard]] MonotonicTime deadline() const { return deadline_; }
  [[nodiscard]] bool over() const { return state_ == State::kOver; }
  [[nodiscard]] bool streaming() const { return state_ == State::kStreaming; }
  // An attempt is under way and its reply has not begun.
  [[nodiscard]] bool waiting() const {
    return attempt_active_ && state_ == State::kSent;
  }

 private:
  enum class State { kIdle, kSent, kHolding, kStreaming, kOver };

  // Sends the request to an endpoint, or says why it can't.
  [[nodiscard]] NoAttempt Attempt(MonotonicTime now);
  [[nodiscard]] bool MaySendAgain(bool may_have_run) const;
  // Tries again, and fails if that can't be; false if it isn't allowed.
  [[nodiscard]] bool TryAgain(bool may_have_run, MonotonicTime now);
  void TakeStreamHead(const HttpHead& head);
  void ForwardEvents(std::string_view bytes, MonotonicTime now);
  void DeliverHeld();
  // Ends without an answer from an endpoint.
  void Fail(ResultCode code, MonotonicTime now);
  void Refuse(ResultCode code, Milliseconds return_after);
  void SendFailure(int status,
                   ResultCode code,
                   std::string_view run_state,
                   std::optional<Milliseconds> return_after);
  void Finish();
  [[nodiscard]] HttpHead CallerHead(const HttpHead& head) const;

  ExchangeSetup setup_;
  ServiceDesk& desk_;
  CallerReply& reply_;
  State state_ = State::kIdle;
  MonotonicTime deadline_{};
  std::set<EndpointId> tried_;
  int sends_ = 0;
  // Attempts that an endpoint may have run.
  int runs_ = 0;
  // Some attempt that was sent has not been proven not to have run.
  bool may_have_run_ = false;
  // Some endpoint has received it, whether it ran it or not.
  bool arrived_ = false;
  bool attempt_active_ = false;
  EventSplitter splitter_;
  std::optional<EventNumber> delivered_;
  // The stream's head has gone to the caller.
  bool head_sent_ = false;
  HttpHead held_head_;
  std::string held_body_;
  bool refused_by_endpoint_ = false;
  ExchangeSummary summary_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_EXCHANGE_H_
