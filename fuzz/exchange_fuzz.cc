// Fuzzes one request against endpoints that refuse it, run it and lose the
// answer, break the connection at any point, stall, send the answer to another
// request first, or fail after running the request, while the caller is slow,
// disconnects or its deadline passes. Endpoints are reported as silent and as
// close to, or past, the bound for starting requests at any time, so that
// replacements start; both attempts then answer at any time and in any order.
// Endpoints run one of two software versions, which must not mix in a stream.
// The oracle knows which endpoints ran the request and the correct answer.

#include <rapidcheck/catch.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carobshift/gateway/request/exchange.h"
#include "fuzz/simulation.h"

namespace carobshift {
namespace {

constexpr int kOk = 200;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
const RequestId kRequest("r1");

// The outcome of one attempt. From kLosesAnswer on, the endpoint has run the
// request.
enum class AttemptOutcome {
  kNotConnected,
  kAddressFull,
  kRefused,
  kMisdirected,
  kLosesAnswer,
  kWhole,
  kBreaksOff,
  kEndsWithinEvent,
  kFails,
  kSilent,
};
constexpr std::uint64_t kAttemptOutcomes = 10;

bool RunsRequest(AttemptOutcome outcome) {
  return outcome >= AttemptOutcome::kLosesAnswer;
}

std::string Event(std::uint64_t number) {
  return "id: " + std::to_string(number) + "\ndata: token" +
         std::to_string(number) + "\n\n";
}

std::string Events(std::uint64_t first, std::uint64_t last) {
  std::string text;
  for (std::uint64_t number = first; number <= last; ++number)
    text += Event(number);
  return text;
}

class World : public AttemptRunner, public CallerReply {
 public:
  explicit World(std::uint64_t seed) : random_(seed) {
    route_.streaming = random_.Chance(0.6);
    route_.resumable = route_.streaming && random_.Chance(0.5);
    route_.idempotent = !route_.streaming && random_.Chance(0.5);
    route_.max_attempts = 1 + static_cast<int>(random_.Below(3));
    route_.timeout = Seconds(5);
    events_ = random_.Below(6);
    body_.assign(random_.Chance(0.2) ? Exchange::kMaxBufferedBytes + 100
                                     : random_.Below(40),
                 'b');
    ExchangeSetup setup;
    setup.request.id = kRequest;
    setup.route = &route_;
    setup.arrived = now_;
    exchange_.emplace(std::move(setup), *this, *this);
  }

  std::vector<std::string> Run() {
    exchange_->Start(now_);
    constexpr int kSteps = 400;
    for (int step = 0; step < kSteps && !exchange_->over(); ++step)
      Step();
    if (!exchange_->over())
      exchange_->OnDeadline(now_);
    CheckOutcome();
    return violations_;
  }

  AttemptError StartAttempt(Exchange& exchange,
                            const AttemptParams& wish,
                            AttemptStart* start) override {
    CheckStart(wish);
    if (random_.Chance(0.1))
      return random_.Chance(0.5) ? AttemptError::kNoEndpoint
                                 : AttemptError::kRetryBudgetSpent;
    Attempt attempt;
    // Like the planner, keeps to the software version that the stream is bound
    // to.
    attempt.software = exchange.setup().software.value_or(
        SoftwareVersion(random_.Chance(0.5) ? "v1" : "v2"));
    *start = {EndpointId("e" + std::to_string(++started_)), attempt.software};
    attempt.outcome =
        static_cast<AttemptOutcome>(random_.Below(kAttemptOutcomes));
    attempt.after = wish.last_event.value_or(EventNumber(0)).value();
    if (RunsRequest(attempt.outcome))
      ++runs_;
    attempts_[wish.number] = attempt;
    unreported_.insert(wish.number);
    return AttemptError::kNone;
  }
  bool DropAttempt(Exchange&, AttemptNumber number) override {
    unreported_.erase(number);
    const auto found = attempts_.find(number);
    if (found == attempts_.end())
      return true;
    const Attempt attempt = found->second;
    attempts_.erase(found);
    if (attempt.head_sent || random_.Chance(0.7))
      return true;
    // The attempt was still connecting.
    if (RunsRequest(attempt.outcome))
      --runs_;
    return false;
  }
  void PauseAttempt(Exchange&, AttemptNumber number, bool pause) override {
    const auto found = attempts_.find(number);
    if (found == attempts_.end())
      violations_.emplace_back("an attempt that is over was paused");
    else
      found->second.paused = pause;
  }
  void OnAttemptReply(Exchange&, AttemptNumber, const ReplyMetadata&) override {
  }
  void OnAttemptBegins(Exchange&, AttemptNumber) override {}
  void OnAttemptResumed(Exchange&, AttemptNumber) override {}
  void OnAttemptEnd(Exchange&, AttemptNumber number) override {
    unreported_.erase(number);
  }
  void OnAttemptFailure(Exchange&,
                        AttemptNumber number,
                        const CallFailure&) override {
    unreported_.erase(number);
  }
  void OnStreamBegins(Exchange&) override {}
  Milliseconds RetryAfter(Exchange&) override { return Milliseconds(100); }
  void OnExchangeEnd(Exchange&) override { ended_ = true; }

  void SendWhole(HttpHead head, std::string_view body) override {
    status_ = head.status;
    received_ = body;
    ++answers_;
  }
  void BeginStream(HttpHead head) override { status_ = head.status; }
  void SendChunk(std::string_view bytes) override {
    received_ += bytes;
    delivered_software_.insert(replying_software_);
  }
  void EndStream() override { ++answers_; }
  void Abort() override {
    ++answers_;
    broken_off_ = true;
  }

 private:
  struct Attempt {
    AttemptOutcome outcome = AttemptOutcome::kWhole;
    SoftwareVersion software;
    // The caller has received the events up to this number.
    std::uint64_t after = 0;
    bool head_sent = false;
    bool paused = false;
    std::string unsent;
    // Bytes of `unsent` that are sent before the connection breaks.
    std::size_t breaks_at = std::string::npos;
  };

  void CheckStart(const AttemptParams& wish) {
    const bool may_run_again = route_.idempotent || route_.resumable;
    if (attempts_.size() > (wish.replacement ? 1U : 0U))
      violations_.emplace_back("more attempts at one time than are allowed");
    if (wish.replacement && !may_run_again)
      violations_.emplace_back("a replacement for a request that may run once");
    if (wish.replacement && !wish.repeat)
      violations_.emplace_back("a replacement that doesn't count as a retry");
    if (attempts_.contains(wish.number))
      violations_.emplace_back("two attempts with one number");
    if (ended_)
      violations_.emplace_back("an attempt started after the answer");
  }

  void Step() {
    now_ += Milliseconds(random_.Chance(0.05) ? 400 : 1);
    if (random_.Chance(slow_ ? 0.2 : 0.005)) {
      slow_ = !slow_;
      exchange_->OnCallerSlow(slow_);
    }
    if (random_.Chance(0.005)) {
      caller_gone_ = true;
      exchange_->OnCallerGone(now_);
    } else if (random_.Chance(0.005)) {
      exchange_->OnDeadline(now_);
    } else if (random_.Chance(0.1)) {
      StayWith([this] { exchange_->OnEndpointSilent(now_); });
    } else if (exchange_->suspended()) {
      exchange_->OnTick(now_);
    } else if (attempts_.empty()) {
      violations_.emplace_back("nothing is under way for an open request");
    } else if (random_.Chance(0.02)) {
      StayWith([this] { exchange_->OnStartBoundNear(AnyAttempt(), now_); });
    } else if (random_.Chance(0.01)) {
      exchange_->OnTooLateToBegin(AnyAttempt(), now_);
    } else {
      AdvanceAttempt(AnyAttempt());
    }
    CheckPauses();
  }

  // Runs `event`, for which no attempt may be given up.
  template <typename Event>
  void StayWith(const Event& event) {
    const std::set<AttemptNumber> before = Numbers();
    event();
    const std::set<AttemptNumber> after = Numbers();
    if (exchange_->over() || !std::includes(after.begin(), after.end(),
                                            before.begin(), before.end()))
      violations_.emplace_back("a live attempt was given up for silence");
  }

  [[nodiscard]] std::set<AttemptNumber> Numbers() const {
    std::set<AttemptNumber> numbers;
    for (const auto& [number, attempt] : attempts_)
      numbers.insert(number);
    return numbers;
  }

  AttemptNumber AnyAttempt() {
    return std::next(attempts_.begin(),
                     static_cast<int>(random_.Below(attempts_.size())))
        ->first;
  }

  void CheckPauses() {
    for (const auto& [number, attempt] : attempts_) {
      if (attempt.paused != slow_)
        violations_.emplace_back("an attempt isn't paused as its caller is");
    }
  }

  // To be called after the exchange has taken a piece of an answer.
  void CheckOnlyAttempt(AttemptNumber number) {
    if (!exchange_->over() && Numbers() != std::set{number})
      violations_.emplace_back("another run goes on beside an answer");
  }

  void AdvanceAttempt(AttemptNumber number) {
    Attempt& attempt = attempts_.at(number);
    if (attempt.paused)
      return;
    switch (attempt.outcome) {
      case AttemptOutcome::kNotConnected:
        return FailAttempt(number, {CallFault::kNotConnected, false, false});
      case AttemptOutcome::kAddressFull:
        return FailAttempt(number, {CallFault::kConnectionLimit, false, false});
      case AttemptOutcome::kLosesAnswer:
        return FailAttempt(number,
                           {CallFault::kBroken, true, random_.Chance(0.5)});
      case AttemptOutcome::kSilent:
        return;
      default:
        break;
    }
    if (attempt.head_sent)
      SendSome(number);
    else
      SendHead(number);
  }

  void FailAttempt(AttemptNumber number, const CallFailure& failure) {
    attempts_.erase(number);
    exchange_->OnAttemptFailed(number, failure, now_);
  }

  void SendHead(AttemptNumber number) {
    Attempt& attempt = attempts_.at(number);
    HttpHead head;
    ReplyMetadata facts;
    if (random_.Chance(0.1)) {
      // A late answer to an earlier request on this connection.
      facts.request = RequestId("another");
      head.status = kOk;
      if (exchange_->OnReplyHead(number, head, facts, now_) !=
          ReplyDisposition::kSkip)
        violations_.emplace_back("another request's answer was taken");
      return;
    }
    facts.request = kRequest;
    facts.not_run = attempt.outcome == AttemptOutcome::kRefused;
    facts.misdirected = attempt.outcome == AttemptOutcome::kMisdirected;
    const bool runs = RunsRequest(attempt.outcome);
    head.status = !runs                                       ? kUnavailable
                  : attempt.outcome == AttemptOutcome::kFails ? kServerError
                                                              : kOk;
    attempt.head_sent = true;
    attempt.unsent = AnswerOf(attempt);
    if (attempt.outcome == AttemptOutcome::kBreaksOff)
      attempt.breaks_at = random_.Below(attempt.unsent.size() + 1);
    if (exchange_->OnReplyHead(number, head, facts, now_) ==
        ReplyDisposition::kSkip)
      violations_.emplace_back("the request's own answer was skipped");
    if (head.status == kOk)
      CheckOnlyAttempt(number);
  }

  std::string AnswerOf(const Attempt& attempt) {
    if (!RunsRequest(attempt.outcome) ||
        attempt.outcome == AttemptOutcome::kFails)
      return "no";
    if (!route_.streaming)
      return body_;
    // An endpoint may resume some events earlier than requested.
    const std::uint64_t overlap = random_.Below(attempt.after + 1);
    std::string text = Events(attempt.after - overlap + 1, events_);
    if (attempt.outcome != AttemptOutcome::kEndsWithinEvent)
      return text;
    // The connection closes in order behind the head, or although the last
    // event is incomplete.
    if (attempt.after == 0 && random_.Chance(0.3))
      return "";
    text = Events(attempt.after + 1,
                  attempt.after + random_.Below(events_ - attempt.after + 1));
    return text + "id: 99\nda";
  }

  void SendSome(AttemptNumber number) {
    Attempt& attempt = attempts_.at(number);
    if (attempt.breaks_at == 0)
      return FailAttempt(number, {CallFault::kBroken, true, false});
    if (attempt.unsent.empty()) {
      attempts_.erase(number);
      exchange_->OnReplyEnd(number, now_);
      return;
    }
    std::size_t bytes = 1 + random_.Below(30);
    if (body_.size() > Exchange::kMaxBufferedBytes)
      bytes *= 1000;
    bytes = std::min({bytes, attempt.unsent.size(), attempt.breaks_at});
    const std::string piece = attempt.unsent.substr(0, bytes);
    attempt.unsent.erase(0, bytes);
    if (attempt.breaks_at != std::string::npos)
      attempt.breaks_at -= bytes;
    const bool answers = RunsRequest(attempt.outcome) &&
                         attempt.outcome != AttemptOutcome::kFails;
    replying_software_ = attempt.software;
    exchange_->OnReplyBody(number, piece, now_);
    if (answers)
      CheckOnlyAttempt(number);
  }

  void CheckOutcome() {
    if (answers_ != (caller_gone_ ? answers_ : 1) || answers_ > 1)
      violations_.emplace_back("not exactly one answer");
    if (!attempts_.empty())
      violations_.emplace_back("an attempt continues after the answer");
    if (!unreported_.empty())
      violations_.emplace_back("an attempt was not reported as over");
    const bool may_run_again = route_.idempotent || route_.resumable;
    if (!may_run_again && runs_ > 1)
      violations_.emplace_back("a request that may run once ran twice");
    if (runs_ > std::max(1, route_.max_attempts))
      violations_.emplace_back("more endpoints ran it than are allowed");
    if (route_.streaming && delivered_software_.size() > 1)
      violations_.emplace_back("a stream holds events of two versions");
    if (caller_gone_)
      return;
    // In this model endpoints' own refusals are never passed to the caller, so
    // every 503 is the exchange's statement that the request has not run.
    if (status_ == kUnavailable && runs_ > 0)
      violations_.emplace_back("refused as not run although it has run");
    if (status_ == kOk)
      CheckSuccess();
  }

  void CheckSuccess() {
    const std::string full_answer =
        route_.streaming ? Events(1, events_) : body_;
    if (!broken_off_ && received_ != full_answer)
      violations_.emplace_back("a truncated answer looks complete");
    if (!full_answer.starts_with(received_))
      violations_.emplace_back(
          "the caller received bytes that aren't the answer's");
    const bool at_event_end = received_.empty() || received_.ends_with("\n\n");
    if (route_.streaming && !at_event_end)
      violations_.emplace_back("a partial event was passed on");
  }

  SeededRandom random_;
  Route route_;
  std::uint64_t events_ = 0;
  std::string body_;
  std::optional<Exchange> exchange_;
  MonotonicTime now_{Seconds(100)};
  std::map<AttemptNumber, Attempt> attempts_;
  // Attempts whose end hasn't been reported to the runner.
  std::set<AttemptNumber> unreported_;
  int started_ = 0;
  int runs_ = 0;
  bool ended_ = false;
  bool slow_ = false;
  bool caller_gone_ = false;
  int status_ = 0;
  int answers_ = 0;
  bool broken_off_ = false;
  std::string received_;
  SoftwareVersion replying_software_;
  // The software versions whose events the caller has.
  std::set<SoftwareVersion> delivered_software_;
  std::vector<std::string> violations_;
};

// Endpoints crash, refuse, lose answers and break the connection within events,
// and callers disconnect. A caller must get the complete answer of one run or a
// failure, and "not run" must be true.
TEST_CASE("one complete answer, or a failure that is reported correctly") {
  rc::prop("whatever endpoints do", [](std::uint64_t seed) {
    const auto violations = World(seed).Run();
    if (!violations.empty())
      RC_FAIL("seed " + std::to_string(seed) + ": " + violations.front());
  });
}

TEST_CASE("the same over five thousand consecutive seeds") {
  for (std::uint64_t seed = 1; seed <= 5000; ++seed) {
    const auto violations = World(seed).Run();
    INFO("seed " << seed);
    REQUIRE(violations.empty());
  }
}

}  // namespace
}  // namespace carobshift
