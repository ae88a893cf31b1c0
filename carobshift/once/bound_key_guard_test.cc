#include "carobshift/once/bound_key_guard.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const AccountId kNorth("north");
const MonotonicTime kStart{Seconds(1000)};
const MonotonicTime kDeadline = kStart + Seconds(5);
const RequestFingerprint kBody(1);

BoundKeyGuardOptions Options(std::uint64_t incarnation) {
  BoundKeyGuardOptions options;
  options.entry = EntryId("entry-1");
  options.incarnation = Incarnation(incarnation);
  options.replay_window = Seconds(60);
  return options;
}

BoundKey Key(const std::string& suffix = "a", std::uint64_t incarnation = 7) {
  const BoundKeyIssuer issuer("secret", EntryId("entry-1"),
                              Incarnation(incarnation), Seconds(30));
  return ParseBoundKey("secret", issuer.Issue(kNorth, kStart).prefix + suffix)
      .value();
}

FinalAnswer Ran(const std::string& body) {
  FinalAnswer answer;
  answer.state = RunState::kRan;
  answer.content_type = "text/plain";
  answer.body = body;
  return answer;
}

template <typename Kind>
bool Is(const RunDecision& decision) {
  return std::holds_alternative<Kind>(decision);
}

RunState StateOf(const RunDecision& decision) {
  return std::get<Refusal>(decision).state;
}

}  // namespace

TEST_CASE("a key names its issuer, and a modified key is refused") {
  const BoundKey key = Key("order-1");
  CHECK(key.entry == EntryId("entry-1"));
  CHECK(key.incarnation == Incarnation(7));
  CHECK(key.account == kNorth);
  CHECK(key.expiry == kStart + Seconds(30));
  CHECK(key.suffix == "order-1");
  const std::string text = key.text.value();
  const std::size_t prefix_bytes = text.size() - key.suffix.size();
  for (std::size_t i = 0; i < prefix_bytes; ++i) {
    std::string changed = text;
    changed[i] = changed[i] == 'x' ? 'y' : 'x';
    CHECK_FALSE(ParseBoundKey("secret", changed).ok());
  }
  CHECK_FALSE(ParseBoundKey("other secret", text).ok());
  CHECK_FALSE(ParseBoundKey("secret", text.substr(0, prefix_bytes)).ok());
  CHECK_FALSE(ParseBoundKey("secret", text + "~b").ok());
  CHECK_FALSE(ParseBoundKey("secret", text + std::string(600, 'a')).ok());
  CHECK_FALSE(ParseBoundKey("secret", "").ok());
}

// A caller's connection breaks, and it repeats its booking while the first copy
// runs and again after it has ended. A second run would confirm the slot twice.
TEST_CASE("a repeat attaches to the run and then gets the same answer") {
  BoundKeyGuard guard(Options(7));
  const BoundKey key = Key();
  CHECK(Is<RunNow>(guard.Begin(key, kNorth, kBody, kDeadline, kStart)));
  CHECK_FALSE(guard.StartDispatch(key, kStart));
  CHECK(Is<Attach>(guard.Begin(key, kNorth, kBody, kDeadline, kStart)));
  CHECK_FALSE(guard.Release(key));
  guard.Finish(key, Ran("receipt"));
  const RunDecision repeat =
      guard.Begin(key, kNorth, kBody, kDeadline, kStart + Seconds(80));
  REQUIRE(Is<Replay>(repeat));
  CHECK(std::get<Replay>(repeat).answer == Ran("receipt"));
  CHECK(std::get<Refusal>(
            guard.Begin(key, kNorth, RequestFingerprint(2), kDeadline, kStart))
            .code == ResultCode::kKeyReusedForOtherRequest);
  CHECK(std::get<Refusal>(
            guard.Begin(key, AccountId("south"), kBody, kDeadline, kStart))
            .code == ResultCode::kInvalidIdempotencyKey);
}

TEST_CASE(
    "a key first seen after its expiry gets the outcome that is provable") {
  BoundKeyGuard guard(Options(7));
  const auto begin = [&](Milliseconds after) {
    return guard.Begin(Key(), kNorth, kBody, kDeadline, kStart + after);
  };
  CHECK(StateOf(begin(Seconds(30))) == RunState::kNotRun);
  CHECK(StateOf(begin(Seconds(89))) == RunState::kNotRun);
  CHECK(StateOf(begin(Seconds(90))) == RunState::kOutcomeUnknown);
  CHECK(StateOf(guard.Outcome(Key(), kNorth, kStart)) ==
        RunState::kOutcomeUnknown);
  CHECK(StateOf(guard.Outcome(Key(), kNorth, kStart + Seconds(31))) ==
        RunState::kNotRun);
}

// An entry is killed and restarted under its old address. It has no record of
// what its earlier incarnation dispatched.
TEST_CASE("a new incarnation doesn't answer for keys of the old one") {
  BoundKeyGuard guard(Options(8));
  CHECK(StateOf(guard.Begin(Key("a", 7), kNorth, kBody, kDeadline, kStart)) ==
        RunState::kOutcomeUnknown);
}

// An entry is paused between accepting a request and dispatching it. Meanwhile
// its caller has given up and booked elsewhere.
TEST_CASE("the deadline is checked again just before dispatch") {
  BoundKeyGuard guard(Options(7));
  const BoundKey key = Key();
  CHECK(Is<RunNow>(guard.Begin(key, kNorth, kBody, kDeadline, kStart)));
  const auto late = guard.StartDispatch(key, kDeadline);
  REQUIRE(late);
  CHECK(late->code == ResultCode::kDeadlineExceeded);
  CHECK(late->state == RunState::kNotRun);
  CHECK(guard.Release(key));
  CHECK(guard.table().size() == 0);
}

TEST_CASE("the table is bounded and never forgets a key early") {
  BoundKeyGuardOptions options = Options(7);
  options.limits = {.max_keys = 2, .max_answer_bytes = 10};
  BoundKeyGuard guard(options);
  for (const char* suffix : {"a", "b"}) {
    const BoundKey key = Key(suffix);
    CHECK(Is<RunNow>(guard.Begin(key, kNorth, kBody, kDeadline, kStart)));
    CHECK_FALSE(guard.StartDispatch(key, kStart));
    guard.Finish(key, Ran("8 bytes."));
  }
  CHECK(StateOf(guard.Begin(Key("c"), kNorth, kBody, kDeadline, kStart)) ==
        RunState::kNotRun);
  CHECK(guard.table().answer_bytes() == 8);
  const RunDecision old =
      guard.Begin(Key("a"), kNorth, kBody, kDeadline, kStart);
  CHECK(std::get<Replay>(old).answer.state == RunState::kRan);
  CHECK(std::get<Replay>(old).answer.code == ResultCode::kUnknownOutcome);
  const auto later = guard.Outcome(Key("a"), kNorth, kStart + Seconds(90));
  CHECK(StateOf(later) == RunState::kOutcomeUnknown);
  CHECK(guard.table().size() == 0);
}

TEST_CASE("a key that was given up before dispatch may be used again") {
  BoundKeyGuard guard(Options(7));
  const BoundKey key = Key();
  CHECK(Is<RunNow>(guard.Begin(key, kNorth, kBody, kDeadline, kStart)));
  CHECK(guard.Release(key));
  CHECK(Is<RunNow>(guard.Begin(key, kNorth, kBody, kDeadline, kStart)));
}

}  // namespace carobshift
