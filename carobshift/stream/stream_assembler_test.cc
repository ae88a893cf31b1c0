#include "carobshift/stream/stream_assembler.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const WeightVersion kV1("1");
const WeightVersion kV2("2");

}  // namespace

// An endpoint dies after two tokens; the next attempt goes on at the third
// while a late frame of the first still arrives. The caller must see each
// token once.
TEST_CASE("a resumed answer holds each token once") {
  StreamAssembler assembler(kV1);
  const AttemptNumber first(1);
  const AttemptNumber second(2);
  assembler.BeginAttempt(first);
  REQUIRE(assembler.OnStart(first, kV1) == FrameVerdict::kDeliver);
  CHECK(assembler.OnToken(first, 0, "a") == FrameVerdict::kDeliver);
  CHECK(assembler.OnToken(first, 1, "b") == FrameVerdict::kDeliver);
  assembler.BeginAttempt(second);
  CHECK(assembler.OnToken(first, 2, "x") == FrameVerdict::kDrop);
  REQUIRE(assembler.OnStart(second, kV1) == FrameVerdict::kDeliver);
  CHECK(assembler.OnToken(second, 1, "b") == FrameVerdict::kDrop);
  CHECK(assembler.OnToken(second, 2, "c") == FrameVerdict::kDeliver);
  CHECK(assembler.OnEnd(second, 3) == FrameVerdict::kComplete);
  CHECK(assembler.delivered() == std::vector<std::string>{"a", "b", "c"});
}

// A connection closes early but cleanly, or loses a frame. An answer that is
// cut short must not look like a whole one.
TEST_CASE("a short or gapped stream is never taken for a whole answer") {
  StreamAssembler assembler(kV1);
  const AttemptNumber attempt(1);
  assembler.BeginAttempt(attempt);
  REQUIRE(assembler.OnStart(attempt, kV1) == FrameVerdict::kDeliver);
  CHECK(assembler.OnToken(attempt, 0, "a") == FrameVerdict::kDeliver);
  CHECK(assembler.OnToken(attempt, 2, "c") == FrameVerdict::kAbandonAttempt);
  CHECK(assembler.OnEnd(attempt, 3) == FrameVerdict::kAbandonAttempt);
  CHECK_FALSE(assembler.complete());
}

// The weights are swapped between two attempts. One answer made of two
// versions would read as if the model had changed its mind.
TEST_CASE("the version may change only before the first token") {
  StreamAssembler assembler(kV1);
  const AttemptNumber attempt(1);
  assembler.BeginAttempt(attempt);
  CHECK(assembler.OnStart(attempt, kV2) == FrameVerdict::kAbandonAttempt);
  CHECK(assembler.ChangeVersion(kV2));
  REQUIRE(assembler.OnStart(attempt, kV2) == FrameVerdict::kDeliver);
  CHECK(assembler.OnToken(attempt, 0, "a") == FrameVerdict::kDeliver);
  CHECK_FALSE(assembler.ChangeVersion(kV1));
}

}  // namespace carobshift
