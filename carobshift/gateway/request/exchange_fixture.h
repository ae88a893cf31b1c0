// An exchange with stand-ins for its attempts and for the caller's answer.
//
//   ExchangeFixture fixture(BookingRoute());
//   fixture.exchange->Start(kStart);
//   fixture.Answer(200, "receipt");
//   CHECK(fixture.reply.body == "receipt");

#ifndef CAROBSHIFT_GATEWAY_REQUEST_EXCHANGE_FIXTURE_H_
#define CAROBSHIFT_GATEWAY_REQUEST_EXCHANGE_FIXTURE_H_

#include <catch2/catch.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "carobshift/gateway/request/exchange.h"

namespace carobshift {

inline const MonotonicTime kStart{Seconds(100)};

// Records the answer that the caller receives.
class FakeReply : public CallerReply {
 public:
  void SendWhole(HttpHead head, std::string_view text) override {
    status = head.status;
    fields = head;
    body = text;
    whole = true;
  }
  void BeginStream(HttpHead head) override {
    status = head.status;
    fields = head;
    begun = true;
  }
  void SendChunk(std::string_view bytes) override { body += bytes; }
  void EndStream() override { ended = true; }
  void Abort() override { broken = true; }

  int status = 0;
  HttpHead fields;
  std::string body;
  bool whole = false;
  bool begun = false;
  bool ended = false;
  bool broken = false;
};

// Starts attempts at endpoints e1, e2, ... in turn.
class FakeAttemptRunner : public AttemptRunner {
 public:
  AttemptError StartAttempt(Exchange& exchange,
                            const AttemptParams& wish,
                            AttemptStart* start) override {
    if (verdict != AttemptError::kNone)
      return verdict;
    if (wish.repeat && repeats_left-- <= 0)
      return AttemptError::kRetryBudgetSpent;
    if (started >= endpoints)
      return AttemptError::kNoEndpoint;
    ++started;
    *start = {EndpointId("e" + std::to_string(started)),
              SoftwareVersion("v" + std::to_string(started))};
    bound.push_back(exchange.setup().software);
    wishes.push_back(wish);
    live.insert(wish.number);
    return AttemptError::kNone;
  }
  bool DropAttempt(Exchange&, AttemptNumber attempt) override {
    live.erase(attempt);
    ++dropped;
    return !unsent.contains(attempt);
  }
  void PauseAttempt(Exchange&, AttemptNumber attempt, bool pause) override {
    if (pause)
      paused.insert(attempt);
    else
      paused.erase(attempt);
  }
  void OnAttemptReply(Exchange&, AttemptNumber, const ReplyMetadata&) override {
  }
  void OnAttemptBegins(Exchange&, AttemptNumber attempt) override {
    with_events.push_back(attempt);
  }
  void OnAttemptResumed(Exchange&, AttemptNumber) override { ++resumed; }
  void OnAttemptEnd(Exchange&, AttemptNumber attempt) override {
    live.erase(attempt);
  }
  void OnAttemptFailure(Exchange&,
                        AttemptNumber attempt,
                        const CallFailure& failure) override {
    live.erase(attempt);
    failures.push_back(failure.fault);
  }
  void OnStreamBegins(Exchange& exchange) override {
    begun.push_back(*exchange.setup().software);
  }
  Milliseconds RetryAfter(Exchange&) override { return Milliseconds(400); }
  ByteBudget* held_bytes() override { return budget; }
  void OnExchangeEnd(Exchange&) override { ++ends; }

  ByteBudget* budget = nullptr;

  AttemptError verdict = AttemptError::kNone;
  int endpoints = 4;
  int repeats_left = 4;
  int started = 0;
  int dropped = 0;
  int ends = 0;
  int resumed = 0;
  std::set<AttemptNumber> live;
  // Attempts that are still connecting.
  std::set<AttemptNumber> unsent;
  std::set<AttemptNumber> paused;
  std::vector<AttemptParams> wishes;
  // The software version to which the stream was bound at each start.
  std::vector<std::optional<SoftwareVersion>> bound;
  // The software versions with which streams began.
  std::vector<SoftwareVersion> begun;
  std::vector<CallFault> failures;
  // The attempts whose first event has arrived.
  std::vector<AttemptNumber> with_events;
};

[[nodiscard]] inline Route BookingRoute() {
  Route route;
  route.timeout = Milliseconds(600);
  route.services = {{ServiceName("desk"), 1}};
  return route;
}

[[nodiscard]] inline Route IdempotentRoute() {
  Route route = BookingRoute();
  route.idempotent = true;
  route.max_attempts = 2;
  return route;
}

[[nodiscard]] inline Route StreamRoute(bool resumable) {
  Route route = BookingRoute();
  route.timeout = Milliseconds(15000);
  route.streaming = true;
  route.resumable = resumable;
  route.max_attempts = 2;
  return route;
}

[[nodiscard]] inline HttpHead Head(int status) {
  HttpHead head;
  head.status = status;
  head.fields = {{"X-Signature", "s"}, {"Connection", "keep-alive"}};
  return head;
}

[[nodiscard]] inline std::string Event(int number) {
  return "id: " + std::to_string(number) + "\ndata: token" +
         std::to_string(number) + "\n\n";
}

[[nodiscard]] inline ReplyMetadata Refusal() {
  ReplyMetadata facts;
  facts.not_run = true;
  return facts;
}

inline const AttemptNumber kFirst(1);
inline const AttemptNumber kSecond(2);
inline const CallFailure kNotConnected{CallFault::kNotConnected, false, false};
inline const CallFailure kBroken{CallFault::kBroken, true, false};

// An exchange whose attempts and answer are recorded.
class ExchangeFixture {
 public:
  explicit ExchangeFixture(Route given,
                           std::optional<EventNumber> last_event = {},
                           ByteBudget* budget = nullptr)
      : route(std::move(given)) {
    attempt_runner.budget = budget;
    ExchangeSetup setup;
    setup.request.last_event = last_event;
    setup.request.id = RequestId("r1");
    setup.route = &route;
    setup.service = ServiceName("desk");
    setup.arrived = kStart;
    exchange.emplace(std::move(setup), attempt_runner, reply);
  }

  // The latest attempt replies.
  void Answer(int status, const std::string& body, ReplyMetadata facts = {}) {
    AnswerOf(latest(), status, body, std::move(facts));
  }
  void AnswerOf(AttemptNumber attempt,
                int status,
                const std::string& body,
                ReplyMetadata facts = {}) {
    facts.request = RequestId("r1");
    REQUIRE(exchange->OnReplyHead(attempt, Head(status), facts, kStart) !=
            ReplyDisposition::kSkip);
    if (!body.empty())
      exchange->OnReplyBody(attempt, body, kStart);
  }
  [[nodiscard]] AttemptNumber latest() const {
    return AttemptNumber(static_cast<std::uint32_t>(attempt_runner.started));
  }

  Route route;
  FakeAttemptRunner attempt_runner;
  FakeReply reply;
  std::optional<Exchange> exchange;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_EXCHANGE_FIXTURE_H_
