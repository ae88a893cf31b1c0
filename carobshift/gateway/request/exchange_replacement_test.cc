// Replacements of silent attempts.

#include <catch2/catch.hpp>

#include "carobshift/gateway/request/exchange_fixture.h"

namespace carobshift {
namespace {

// A resumable stream whose endpoint is silent after its first event, with a
// replacement under way.
class SilentStream : public ExchangeFixture {
 public:
  explicit SilentStream(int max_attempts = 2)
      : ExchangeFixture(RouteWith(max_attempts)) {
    exchange->Start(kStart);
    Answer(200, Event(1) + "id: 2\nda");
    exchange->OnEndpointSilent(kStart);
  }

 private:
  static Route RouteWith(int max_attempts) {
    Route route = StreamRoute(/*resumable=*/true);
    route.max_attempts = max_attempts;
    return route;
  }
};

TEST_CASE("a silent endpoint is left only for work that may run again") {
  // An engine's machine becomes unreachable without closing its connections. A
  // resumable stream resumes elsewhere. Any other stream keeps waiting, since a
  // second run would produce another answer.
  SECTION("resumable") {
    ExchangeFixture fixture(StreamRoute(/*resumable=*/true));
    fixture.exchange->Start(kStart);
    fixture.Answer(200, Event(1));
    fixture.exchange->OnEndpointSilent(kStart);
    CHECK(fixture.attempt_runner.dropped == 0);
    REQUIRE(fixture.attempt_runner.started == 2);
    fixture.Answer(200, Event(2));
    CHECK(fixture.attempt_runner.dropped == 1);
    CHECK_FALSE(fixture.attempt_runner.live.contains(kFirst));
  }
  SECTION("not resumable") {
    ExchangeFixture fixture(StreamRoute(/*resumable=*/false));
    fixture.exchange->Start(kStart);
    fixture.Answer(200, Event(1));
    fixture.exchange->OnEndpointSilent(kStart);
    CHECK(fixture.attempt_runner.dropped == 0);
    CHECK(fixture.attempt_runner.started == 1);
  }
}

TEST_CASE("an attempt given up for silence is not reported as a broken one") {
  // Guards against a log that can't tell a silent endpoint from a broken one.
  ExchangeFixture fixture(StreamRoute(/*resumable=*/true));
  fixture.exchange->Start(kStart);
  fixture.Answer(200, Event(1));
  fixture.exchange->OnEndpointSilent(kStart);
  fixture.Answer(200, Event(2));
  REQUIRE(fixture.attempt_runner.failures.size() == 1);
  CHECK(fixture.attempt_runner.failures[0] == CallFault::kSilent);
  CHECK(CallFaultName(CallFault::kSilent) == "silent");
}

TEST_CASE(
    "a stream whose silent endpoint can't be replaced goes on when the "
    "endpoint does") {
  // Guards against a stream that is broken off although its endpoint goes on.
  ExchangeFixture fixture(StreamRoute(/*resumable=*/true));
  SECTION("no other endpoint") {
    fixture.attempt_runner.endpoints = 1;
  }
  SECTION("no retry left") {
    fixture.attempt_runner.repeats_left = 0;
  }
  fixture.exchange->Start(kStart);
  fixture.Answer(200, Event(1));
  fixture.exchange->OnEndpointSilent(kStart);
  REQUIRE_FALSE(fixture.reply.broken);
  REQUIRE_FALSE(fixture.exchange->over());
  fixture.exchange->OnReplyBody(fixture.latest(), Event(2), kStart);
  fixture.exchange->OnReplyEnd(fixture.latest(), kStart);
  CHECK(fixture.reply.body == Event(1) + Event(2));
  CHECK(fixture.reply.ended);
}

TEST_CASE("of two attempts the first that answers is kept") {
  // Guards against a run that goes on at two endpoints at once.
  SilentStream fixture;
  FakeAttemptRunner& runner = fixture.attempt_runner;
  REQUIRE(runner.started == 2);
  CHECK(runner.wishes[1].replacement);
  CHECK(runner.wishes[1].repeat);
  CHECK(runner.wishes[1].last_event == EventNumber(1));
  SECTION("the replacement") {
    fixture.AnswerOf(kSecond, 200, "");
    CHECK(runner.live == std::set{kSecond});
    fixture.exchange->OnReplyBody(kSecond, Event(2), kStart);
    fixture.exchange->OnReplyEnd(kSecond, kStart);
    CHECK(fixture.exchange->summary().resumes == 1);
    CHECK(fixture.exchange->summary().last_endpoint == EndpointId("e2"));
  }
  SECTION("the silent endpoint goes on") {
    fixture.exchange->OnReplyBody(kFirst, "t", kStart);
    CHECK(runner.live == std::set{kFirst});
    CHECK(runner.resumed == 1);
    fixture.exchange->OnReplyBody(kFirst, "a: token2\n\n", kStart);
    fixture.exchange->OnReplyEnd(kFirst, kStart);
    CHECK(fixture.exchange->summary().resumes == 0);
    CHECK(fixture.exchange->summary().last_endpoint == EndpointId("e1"));
  }
  CHECK(fixture.reply.body == Event(1) + Event(2));
  CHECK(fixture.reply.ended);
  CHECK(runner.live.empty());
}

TEST_CASE("a replacement that doesn't answer leaves the silent attempt alone") {
  // Guards against an answer that ends with a failed replacement.
  SilentStream fixture(/*max_attempts=*/3);
  FakeAttemptRunner& runner = fixture.attempt_runner;
  SECTION("not connected") {
    fixture.exchange->OnAttemptFailed(kSecond, kNotConnected, kStart);
  }
  SECTION("broken") {
    fixture.exchange->OnAttemptFailed(kSecond, kBroken, kStart);
  }
  SECTION("refused") {
    fixture.AnswerOf(kSecond, 503, "full", Refusal());
    CHECK(runner.live == std::set{kFirst, kSecond});
    fixture.exchange->OnReplyEnd(kSecond, kStart);
  }
  SECTION("failed") {
    fixture.AnswerOf(kSecond, 500, "oops");
    fixture.exchange->OnReplyEnd(kSecond, kStart);
  }
  CHECK(runner.live == std::set{kFirst});
  REQUIRE_FALSE(fixture.exchange->over());
  // Another one may start only after a pause.
  fixture.exchange->OnEndpointSilent(kStart);
  CHECK(runner.started == 2);
  fixture.exchange->OnEndpointSilent(kStart + ReplacementBackoff::kMaxPause);
  CHECK(runner.started == 3);
  fixture.exchange->OnReplyBody(kFirst, "ta: token2\n\n", kStart);
  fixture.exchange->OnReplyEnd(kFirst, kStart);
  CHECK(fixture.reply.body == Event(1) + Event(2));
  CHECK(fixture.reply.ended);
}

TEST_CASE("a replacement goes on if the silent attempt fails") {
  // Guards against a third run while a replacement is under way.
  SilentStream fixture;
  fixture.exchange->OnAttemptFailed(kFirst, kBroken, kStart);
  CHECK(fixture.attempt_runner.started == 2);
  CHECK(fixture.attempt_runner.live == std::set{kSecond});
  CHECK(fixture.exchange->waiting());
  fixture.AnswerOf(kSecond, 200, Event(2));
  fixture.exchange->OnReplyEnd(kSecond, kStart);
  CHECK(fixture.reply.body == Event(1) + Event(2));
  CHECK(fixture.reply.ended);
  CHECK(fixture.exchange->summary().resumes == 1);
}

TEST_CASE("a refused replacement is no other attempt for a failed one") {
  SilentStream fixture(/*max_attempts=*/3);
  fixture.AnswerOf(kSecond, 503, "fu", Refusal());
  fixture.exchange->OnAttemptFailed(kFirst, kBroken, kStart);
  CHECK(fixture.attempt_runner.started == 3);
  CHECK(fixture.attempt_runner.live == std::set{AttemptNumber(3)});
}

TEST_CASE("a replacement counts as a run and as an attempt") {
  // Guards against more runs than the route allows, by replacements.
  SECTION("no run left") {
    SilentStream fixture(/*max_attempts=*/1);
    CHECK(fixture.attempt_runner.started == 1);
  }
  SECTION("one that was dropped may have run") {
    SilentStream fixture(/*max_attempts=*/2);
    fixture.exchange->OnReplyBody(kFirst, "t", kStart);
    fixture.exchange->OnEndpointSilent(kStart + Seconds(2));
    CHECK(fixture.attempt_runner.started == 2);
    fixture.exchange->OnAttemptFailed(kFirst, kBroken, kStart);
    CHECK(fixture.attempt_runner.started == 2);
    CHECK(fixture.reply.broken);
  }
  SECTION("attempts that never ran") {
    SilentStream fixture(/*max_attempts=*/9);
    fixture.attempt_runner.endpoints = 9;
    fixture.attempt_runner.repeats_left = 9;
    for (int i = 0; i < 9; ++i) {
      const MonotonicTime now = kStart + Seconds(i);
      fixture.exchange->OnEndpointSilent(now);
      if (fixture.attempt_runner.live.size() == 2)
        fixture.exchange->OnAttemptFailed(fixture.latest(), kNotConnected, now);
    }
    CHECK(fixture.attempt_runner.started == Exchange::kMaxAttempts);
    CHECK(fixture.attempt_runner.live == std::set{kFirst});
  }
}

TEST_CASE("replacements that never ran leave attempts for a real break") {
  // Guards against a stream that is broken off after refused replacements.
  SilentStream fixture(/*max_attempts=*/3);
  FakeAttemptRunner& runner = fixture.attempt_runner;
  runner.endpoints = runner.repeats_left = 9;
  const bool refused = GENERATE(false, true);
  for (int i = 1; runner.live.size() == 2; ++i) {
    if (refused) {
      fixture.Answer(503, "full", Refusal());
      fixture.exchange->OnReplyEnd(fixture.latest(), kStart);
    } else {
      fixture.exchange->OnAttemptFailed(fixture.latest(), kNotConnected,
                                        kStart);
    }
    fixture.exchange->OnEndpointSilent(kStart + Seconds(i));
  }
  REQUIRE(runner.started == Exchange::kMaxAttempts);
  fixture.exchange->OnAttemptFailed(kFirst, kBroken, kStart + Seconds(5));
  REQUIRE_FALSE(fixture.reply.broken);
  fixture.Answer(200, Event(2));
  fixture.exchange->OnReplyEnd(fixture.latest(), kStart + Seconds(5));
  CHECK(fixture.reply.body == Event(1) + Event(2));
  CHECK(fixture.reply.ended);
}

TEST_CASE("an attempt that is given up before it is sent counts as no run") {
  // Guards against a visible failure although no other endpoint ran it.
  SECTION("a replacement") {
    SilentStream fixture(/*max_attempts=*/2);
    fixture.attempt_runner.unsent = {kSecond};
    fixture.exchange->OnReplyBody(kFirst, "t", kStart);
    CHECK(fixture.attempt_runner.live == std::set{kFirst});
    fixture.exchange->OnAttemptFailed(kFirst, kBroken, kStart);
    CHECK_FALSE(fixture.reply.broken);
    CHECK(fixture.attempt_runner.live == std::set{AttemptNumber(3)});
  }
  SECTION("the first one, near the bound for weights") {
    ExchangeFixture fixture(StreamRoute(/*resumable=*/true));
    fixture.exchange->Start(kStart);
    fixture.attempt_runner.unsent = {kFirst};
    fixture.exchange->OnStartBoundNear(kFirst, kStart);
    fixture.Answer(200, Event(1));
    fixture.exchange->OnAttemptFailed(kSecond, kBroken, kStart);
    CHECK_FALSE(fixture.reply.broken);
    CHECK(fixture.attempt_runner.live == std::set{AttemptNumber(3)});
  }
  SECTION("the first one, at the bound for weights") {
    ExchangeFixture fixture(StreamRoute(/*resumable=*/false));
    fixture.exchange->Start(kStart);
    fixture.attempt_runner.unsent = {kFirst};
    fixture.exchange->OnTooLateToBegin(kFirst, kStart);
    CHECK_FALSE(fixture.reply.whole);
    CHECK(fixture.attempt_runner.live == std::set{kSecond});
  }
}

TEST_CASE("the end of a request ends both of its attempts") {
  // Guards against an attempt that works on for nobody.
  SilentStream fixture;
  REQUIRE(fixture.attempt_runner.live.size() == 2);
  SECTION("deadline") {
    fixture.exchange->OnDeadline(fixture.exchange->deadline());
    CHECK(fixture.reply.broken);
  }
  SECTION("caller gone") {
    fixture.exchange->OnCallerGone(kStart);
  }
  CHECK(fixture.attempt_runner.live.empty());
  CHECK(fixture.attempt_runner.ends == 1);
  CHECK(fixture.exchange->over());
}

TEST_CASE("a slow caller pauses both attempts, and its own silence is none") {
  // Guards against a replacement for an endpoint that just isn't read.
  SECTION("both paused") {
    SilentStream fixture;
    fixture.exchange->OnCallerSlow(true);
    CHECK(fixture.attempt_runner.paused == std::set{kFirst, kSecond});
    fixture.exchange->OnCallerSlow(false);
    CHECK(fixture.attempt_runner.paused.empty());
  }
  SECTION("no replacement while it is slow") {
    ExchangeFixture fixture(StreamRoute(/*resumable=*/true));
    fixture.exchange->Start(kStart);
    fixture.Answer(200, Event(1));
    fixture.exchange->OnCallerSlow(true);
    fixture.exchange->OnEndpointSilent(kStart);
    CHECK(fixture.attempt_runner.started == 1);
    fixture.exchange->OnAttemptFailed(kFirst, kBroken, kStart);
    CHECK(fixture.attempt_runner.paused.contains(kSecond));
  }
}

TEST_CASE("a long answer that has begun is not replaced") {
  // Guards against two runs joined in one answer.
  ExchangeFixture fixture(IdempotentRoute());
  fixture.exchange->Start(kStart);
  fixture.Answer(200, std::string(Exchange::kMaxBufferedBytes + 1, 'x'));
  REQUIRE(fixture.reply.begun);
  fixture.exchange->OnEndpointSilent(kStart);
  CHECK(fixture.attempt_runner.started == 1);
  CHECK_FALSE(fixture.exchange->over());
}

TEST_CASE("a resumed stream that waits on replaced weights is not broken off") {
  // Guards against a stream that ends since its attempt is withdrawn before
  // another one was looked for.
  ExchangeFixture fixture(StreamRoute(/*resumable=*/true));
  fixture.route.max_attempts = 3;
  fixture.exchange->Start(kStart);
  fixture.Answer(200, Event(1));
  fixture.exchange->OnAttemptFailed(kFirst, kBroken, kStart);
  REQUIRE(fixture.exchange->IsWaiting(kSecond));
  fixture.exchange->OnStartBoundNear(kSecond, kStart);
  REQUIRE(fixture.attempt_runner.started == 3);
  CHECK(fixture.attempt_runner.live.size() == 2);
  const AttemptNumber third(3);
  SECTION("the replacement answers before the bound") {
    fixture.AnswerOf(third, 200, Event(2));
    CHECK(fixture.attempt_runner.failures.back() == CallFault::kWithdrawn);
  }
  SECTION("the bound comes first") {
    fixture.exchange->OnTooLateToBegin(kSecond, kStart);
    CHECK(fixture.attempt_runner.live == std::set{third});
    REQUIRE_FALSE(fixture.reply.broken);
    fixture.AnswerOf(third, 200, Event(2));
  }
  CHECK(fixture.attempt_runner.live == std::set{third});
  fixture.exchange->OnReplyEnd(third, kStart);
  CHECK(fixture.reply.body == Event(1) + Event(2));
  CHECK(fixture.reply.ended);
}

TEST_CASE("an attempt that answers near the bound leaves no second run") {
  // Guards against a run that goes on beside an answer whose head has come.
  ExchangeFixture fixture(StreamRoute(/*resumable=*/true));
  fixture.exchange->Start(kStart);
  fixture.exchange->OnStartBoundNear(kFirst, kStart);
  REQUIRE(fixture.attempt_runner.live.size() == 2);
  SECTION("the first one") {
    fixture.AnswerOf(kFirst, 200, "");
    CHECK(fixture.attempt_runner.live == std::set{kFirst});
    fixture.exchange->OnAttemptFailed(kFirst, kBroken, kStart);
  }
  SECTION("the replacement") {
    fixture.AnswerOf(kSecond, 200, "");
    CHECK(fixture.attempt_runner.live == std::set{kSecond});
    fixture.exchange->OnAttemptFailed(kSecond, kBroken, kStart);
  }
  // Both may have run, which is all that the route allows.
  CHECK(fixture.attempt_runner.started == 2);
  CHECK(fixture.reply.status == 502);
}

TEST_CASE("an engine that refuses as it loads weights leaves the replacement") {
  ExchangeFixture fixture(StreamRoute(/*resumable=*/true));
  fixture.exchange->Start(kStart);
  fixture.exchange->OnStartBoundNear(kFirst, kStart);
  fixture.AnswerOf(kFirst, 503, "loading", Refusal());
  CHECK(fixture.attempt_runner.live.size() == 2);
  fixture.exchange->OnReplyEnd(kFirst, kStart);
  CHECK(fixture.attempt_runner.started == 2);
  fixture.AnswerOf(kSecond, 200, Event(1));
  fixture.exchange->OnReplyEnd(kSecond, kStart);
  CHECK(fixture.reply.body == Event(1));
  CHECK(fixture.reply.ended);
}

TEST_CASE("an attempt that may begin no more is withdrawn, whichever it is") {
  // Guards against a replacement that begins on replaced weights.
  SilentStream fixture;
  REQUIRE(fixture.exchange->IsWaiting(kSecond));
  fixture.exchange->OnTooLateToBegin(kFirst, kStart);
  CHECK(fixture.attempt_runner.live.size() == 2);
  fixture.exchange->OnTooLateToBegin(kSecond, kStart);
  CHECK(fixture.attempt_runner.live == std::set{kFirst});
  CHECK(fixture.attempt_runner.failures.back() == CallFault::kWithdrawn);
  CHECK_FALSE(fixture.exchange->over());
}

TEST_CASE("a request that may run once has no replacement near the bound") {
  ExchangeFixture fixture(BookingRoute());
  fixture.exchange->Start(kStart);
  fixture.exchange->OnStartBoundNear(kFirst, kStart);
  CHECK(fixture.attempt_runner.started == 1);
  fixture.exchange->OnTooLateToBegin(kFirst, kStart);
  CHECK(fixture.attempt_runner.started == 1);
  CHECK(fixture.reply.status == 502);
}

TEST_CASE("an attempt waiting on replaced weights is withdrawn") {
  // A request waits at an engine whose weights were replaced, until requests
  // may no longer start on them. A request that may run again goes to another
  // engine. A stream that can't be resumed may have started just now, so its
  // caller is told that the outcome is unknown.
  SECTION("resumable") {
    ExchangeFixture fixture(StreamRoute(/*resumable=*/true));
    fixture.exchange->Start(kStart);
    REQUIRE(fixture.exchange->waiting());
    fixture.exchange->OnTooLateToBegin(fixture.latest(), kStart);
    CHECK(fixture.attempt_runner.dropped == 1);
    CHECK(fixture.attempt_runner.started == 2);
    CHECK(fixture.attempt_runner.wishes.back().repeat);
    fixture.Answer(200, Event(1));
    CHECK_FALSE(fixture.exchange->waiting());
  }
  SECTION("not resumable") {
    ExchangeFixture fixture(StreamRoute(/*resumable=*/false));
    fixture.exchange->Start(kStart);
    fixture.exchange->OnTooLateToBegin(fixture.latest(), kStart);
    CHECK(fixture.attempt_runner.dropped == 1);
    CHECK(fixture.attempt_runner.started == 1);
    CHECK(fixture.reply.status == 502);
  }
  SECTION("begun") {
    ExchangeFixture fixture(StreamRoute(/*resumable=*/true));
    fixture.exchange->Start(kStart);
    fixture.Answer(200, Event(1));
    fixture.exchange->OnTooLateToBegin(fixture.latest(), kStart);
    CHECK(fixture.attempt_runner.dropped == 0);
  }
}

}  // namespace
}  // namespace carobshift
