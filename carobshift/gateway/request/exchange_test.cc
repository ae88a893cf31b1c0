#include "carobshift/gateway/request/exchange.h"

#include <catch2/catch.hpp>
#include <vector>

#include "carobshift/gateway/request/event_splitter.h"
#include "carobshift/gateway/request/exchange_fixture.h"

namespace carobshift {
namespace {

TEST_CASE("an answer is handed on whole, with the endpoint's fields") {
  ExchangeFixture fixture(BookingRoute());
  fixture.exchange->Start(kStart);
  fixture.Answer(200, "receipt");
  CHECK_FALSE(fixture.reply.whole);
  fixture.exchange->OnReplyEnd(fixture.latest(), kStart);
  CHECK(fixture.reply.status == 200);
  CHECK(fixture.reply.body == "receipt");
  CHECK(fixture.reply.fields.Find("X-Signature"));
  CHECK_FALSE(fixture.reply.fields.Find("Connection"));
  CHECK(fixture.attempt_runner.ends == 1);
}

TEST_CASE("a booking is not sent again once it may have run") {
  // Guards against a double booking. The endpoint's connection breaks after the
  // booking was sent, when the endpoint may have confirmed the slot. A retry
  // would confirm the slot twice and displace another operator's client. The
  // caller must be told that the outcome is unknown.
  ExchangeFixture fixture(BookingRoute());
  fixture.exchange->Start(kStart);
  fixture.exchange->OnAttemptFailed(fixture.latest(), kBroken, kStart);
  CHECK(fixture.attempt_runner.started == 1);
  CHECK(fixture.reply.status == 502);
  CHECK_FALSE(fixture.reply.fields.Find("Retry-After"));
}

TEST_CASE("a booking that never reached an endpoint goes to another one") {
  ExchangeFixture fixture(BookingRoute());
  fixture.exchange->Start(kStart);
  fixture.exchange->OnAttemptFailed(fixture.latest(), kNotConnected, kStart);
  CHECK(fixture.attempt_runner.started == 2);
  CHECK_FALSE(fixture.attempt_runner.wishes[1].repeat);
  fixture.Answer(200, "receipt");
  fixture.exchange->OnReplyEnd(fixture.latest(), kStart);
  CHECK(fixture.reply.status == 200);
}

TEST_CASE("a booking that an endpoint has refused goes to another one") {
  // Guards against a refusal while endpoints are idle. The first endpoint is
  // full and replies that it did not run the booking. Without a retry the
  // caller would be refused although the next endpoint is idle.
  ExchangeFixture fixture(BookingRoute());
  fixture.exchange->Start(kStart);
  fixture.Answer(503, "full", Refusal());
  fixture.exchange->OnReplyEnd(fixture.latest(), kStart);
  CHECK(fixture.attempt_runner.started == 2);
  CHECK(fixture.attempt_runner.wishes[1].repeat);
  CHECK(fixture.attempt_runner.wishes[1].tried->contains(EndpointId("e1")));
}

TEST_CASE("refusals that say not run are given only where it is proven") {
  ExchangeFixture fixture(BookingRoute());
  fixture.attempt_runner.endpoints = 1;
  fixture.exchange->Start(kStart);
  SECTION("every endpoint refused") {
    fixture.Answer(503, "full", Refusal());
    fixture.exchange->OnReplyEnd(fixture.latest(), kStart);
    CHECK(fixture.reply.status == 503);
    REQUIRE(fixture.reply.fields.Find("Retry-After"));
    CHECK(*fixture.reply.fields.Find("Retry-After") == "0.400");
  }
  SECTION("every endpoint refused, with a body that doesn't end") {
    fixture.Answer(503, "full", Refusal());
    fixture.exchange->OnAttemptFailed(
        fixture.latest(), {CallFault::kMalformed, true, false}, kStart);
    CHECK(fixture.reply.status == 503);
    CHECK(fixture.reply.fields.Find("Retry-After"));
  }
  SECTION("the request was sent and its connection broke") {
    fixture.exchange->OnAttemptFailed(fixture.latest(), kBroken, kStart);
    CHECK(fixture.reply.status == 502);
  }
}

// Guards against a body without end that is kept although it is no answer.
TEST_CASE("only bodies that are answers are taken at any length") {
  struct Case {
    Route route;
    int status = 0;
    ReplyMetadata facts;
    ReplyDisposition expected = ReplyDisposition::kAccept;
  };
  const std::vector<Case> cases = {
      {IdempotentRoute(), 200, {}, ReplyDisposition::kAccept},
      {IdempotentRoute(), 500, {}, ReplyDisposition::kAccept},
      {IdempotentRoute(), 503, Refusal(), ReplyDisposition::kAcceptShort},
      {StreamRoute(true), 200, {}, ReplyDisposition::kAccept},
      {StreamRoute(true), 500, {}, ReplyDisposition::kAcceptShort},
      {StreamRoute(true), 503, Refusal(), ReplyDisposition::kAcceptShort}};
  for (const Case& one : cases) {
    CAPTURE(one.route.streaming, one.status);
    ExchangeFixture fixture(one.route);
    fixture.exchange->Start(kStart);
    ReplyMetadata facts = one.facts;
    facts.request = RequestId("r1");
    CHECK(fixture.exchange->OnReplyHead(fixture.latest(), Head(one.status),
                                        facts, kStart) == one.expected);
  }
}

// Guards against a stream that waits for the end of an event without one.
TEST_CASE("an event that is too long is tried at another endpoint") {
  ExchangeFixture fixture(StreamRoute(/*resumable=*/true));
  fixture.exchange->Start(kStart);
  fixture.Answer(200, "id: 1\ndata: a\n\n");
  const AttemptNumber first = fixture.latest();
  fixture.exchange->OnReplyBody(
      first, std::string(EventSplitter::kMaxEventBytes + 1, 'x'), kStart);
  CHECK(fixture.latest() != first);
  fixture.Answer(200, "id: 2\ndata: b\n\n");
  fixture.exchange->OnReplyEnd(fixture.latest(), kStart);
  CHECK(fixture.reply.ended);
  CHECK(fixture.reply.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against an instance that holds what each attempt may bear, however
// many there are.
TEST_CASE("without room an event is tried again and an answer handed on") {
  ByteBudget budget(1000);
  const std::string bytes(ByteBudget::kSmallBytes + 1, 'x');
  SECTION("stream") {
    ExchangeFixture fixture(StreamRoute(/*resumable=*/true), {}, &budget);
    fixture.exchange->Start(kStart);
    const int status = GENERATE(200, 404);
    fixture.Answer(status, Event(1));
    fixture.exchange->OnReplyBody(fixture.latest(), bytes, kStart);
    CHECK(fixture.attempt_runner.dropped == 1);
    CHECK(fixture.attempt_runner.started == 2);
    CHECK(fixture.attempt_runner.failures ==
          std::vector{CallFault::kMalformed});
    CHECK(budget.held() < 100);
    fixture.Answer(200, Event(2));
    fixture.exchange->OnReplyEnd(fixture.latest(), kStart);
    CHECK(fixture.reply.ended);
  }
  SECTION("booking") {
    ExchangeFixture fixture(BookingRoute(), {}, &budget);
    fixture.exchange->Start(kStart);
    fixture.Answer(200, bytes);
    CHECK(fixture.reply.begun);
    fixture.exchange->OnReplyBody(fixture.latest(), bytes, kStart);
    fixture.exchange->OnReplyEnd(fixture.latest(), kStart);
    CHECK(fixture.attempt_runner.started == 1);
    CHECK(fixture.reply.body == bytes + bytes);
    CHECK(fixture.reply.ended);
    CHECK(budget.held() == 0);
  }
}

TEST_CASE("an endpoint's failure of an idempotent request is tried again") {
  ExchangeFixture fixture(IdempotentRoute());
  fixture.exchange->Start(kStart);
  fixture.Answer(500, "oops");
  fixture.exchange->OnReplyEnd(fixture.latest(), kStart);
  CHECK(fixture.attempt_runner.started == 2);
  fixture.Answer(200, "receipt");
  fixture.exchange->OnReplyEnd(fixture.latest(), kStart);
  CHECK(fixture.reply.status == 200);
  CHECK(fixture.reply.body == "receipt");
}

TEST_CASE("without another endpoint the failure itself is the answer") {
  ExchangeFixture fixture(IdempotentRoute());
  fixture.attempt_runner.repeats_left = 0;
  fixture.exchange->Start(kStart);
  fixture.Answer(500, "oops");
  fixture.exchange->OnReplyEnd(fixture.latest(), kStart);
  CHECK(fixture.reply.status == 500);
  CHECK(fixture.reply.body == "oops");
}

TEST_CASE("a request runs on no more endpoints than its route allows") {
  ExchangeFixture fixture(IdempotentRoute());
  fixture.exchange->Start(kStart);
  fixture.exchange->OnAttemptFailed(fixture.latest(), kBroken, kStart);
  fixture.exchange->OnAttemptFailed(fixture.latest(), kBroken, kStart);
  CHECK(fixture.attempt_runner.started == 2);
  CHECK(fixture.reply.status == 502);
}

TEST_CASE("a reply to another request is skipped") {
  ExchangeFixture fixture(BookingRoute());
  fixture.exchange->Start(kStart);
  ReplyMetadata facts;
  facts.request = RequestId("somebody-else");
  CHECK(fixture.exchange->OnReplyHead(fixture.latest(), Head(200), facts,
                                      kStart) == ReplyDisposition::kSkip);
  CHECK(fixture.reply.status == 0);
}

TEST_CASE("a caller that has left ends the work for it") {
  ExchangeFixture fixture(BookingRoute());
  fixture.exchange->Start(kStart);
  fixture.exchange->OnCallerGone(kStart);
  CHECK(fixture.attempt_runner.dropped == 1);
  CHECK(fixture.attempt_runner.live.empty());
  CHECK(fixture.exchange->over());
  CHECK(fixture.reply.status == 0);
}

TEST_CASE("at its deadline a request gets its final answer") {
  ExchangeFixture fixture(BookingRoute());
  fixture.exchange->Start(kStart);
  fixture.exchange->OnDeadline(fixture.exchange->deadline());
  CHECK(fixture.attempt_runner.dropped == 1);
  CHECK(fixture.reply.status == 504);
}

TEST_CASE(
    "a request whose time ends at an endpoint is not said not to have run") {
  // Guards against a double booking. A booking waits at a slow endpoint until
  // the caller's deadline. If the answer said "not run", the caller would book
  // again and the endpoint would confirm both.
  ExchangeFixture fixture(BookingRoute());
  fixture.exchange->Start(kStart);
  fixture.exchange->OnDeadline(fixture.exchange->deadline());
  CHECK(fixture.reply.status != 503);
  CHECK(fixture.reply.body.find("not_run") == std::string::npos);
}

TEST_CASE("what is refused under load is refused at once, with a time") {
  ExchangeFixture fixture(StreamRoute(/*resumable=*/true));
  fixture.attempt_runner.verdict = AttemptError::kOverloaded;
  fixture.exchange->Start(kStart);
  CHECK(fixture.reply.status == 503);
  CHECK(fixture.reply.fields.Find("Retry-After"));
  CHECK(fixture.exchange->summary().code == ResultCode::kOverloaded);
}

TEST_CASE("a long answer is handed on before it is whole") {
  ExchangeFixture fixture(BookingRoute());
  fixture.exchange->Start(kStart);
  const std::string half(Exchange::kMaxBufferedBytes, 'x');
  fixture.Answer(200, half);
  fixture.exchange->OnReplyBody(fixture.latest(), half, kStart);
  CHECK(fixture.reply.begun);
  SECTION("to its end") {
    fixture.exchange->OnReplyEnd(fixture.latest(), kStart);
    CHECK(fixture.reply.ended);
    CHECK(fixture.reply.body.size() == 2 * half.size());
  }
  SECTION("and breaks off visibly") {
    fixture.exchange->OnAttemptFailed(fixture.latest(), kBroken, kStart);
    CHECK(fixture.reply.broken);
    CHECK_FALSE(fixture.reply.ended);
  }
}

// Guards against a failure that is taken for an answer to the prompt.
TEST_CASE("an attempt without a stream has begun with its whole success") {
  ExchangeFixture fixture(BookingRoute());
  fixture.exchange->Start(kStart);
  fixture.Answer(200, "done");
  CHECK(fixture.attempt_runner.with_events.empty());
  fixture.exchange->OnReplyEnd(kFirst, kStart);
  CHECK(fixture.attempt_runner.with_events ==
        std::vector<AttemptNumber>{kFirst});
  ExchangeFixture failing(BookingRoute());
  failing.exchange->Start(kStart);
  failing.Answer(500, "failed");
  failing.exchange->OnReplyEnd(kFirst, kStart);
  CHECK(failing.attempt_runner.with_events.empty());
}

}  // namespace
}  // namespace carobshift
