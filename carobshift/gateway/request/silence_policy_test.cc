#include "carobshift/gateway/request/silence_policy.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};
const EndpointId kEngine("e1");

TEST_CASE("an endpoint that stops for a second is not taken for silent") {
  // Guards against new attempts for the streams of a sound endpoint.
  SilencePolicy policy;
  policy.OnAnswerUnderWay(kEngine, kStart);
  CHECK_FALSE(policy.IsSilent(kEngine, kStart + Milliseconds(1200)));
  CHECK(policy.IsSilent(kEngine, kStart + SilencePolicy::kSilenceLimit));
}

TEST_CASE("a replacement has time before callers abandon their streams") {
  constexpr Milliseconds kShortestCallerPatience{2000};
  CHECK(SilencePolicy::kSilenceLimit + Milliseconds(500) <
        kShortestCallerPatience);
}

TEST_CASE("an endpoint that sends one of its answers is not silent") {
  // Guards against an engine that is taken for silent because it pauses one
  // stream for a more urgent one.
  SilencePolicy policy;
  const MonotonicTime now = kStart + Seconds(5);
  policy.OnAnswerUnderWay(kEngine, kStart);
  CHECK(policy.IsSilent(kEngine, now));
  policy.OnAnswerUnderWay(kEngine, now);
  policy.OnAnswerUnderWay(kEngine, kStart);
  CHECK_FALSE(policy.IsSilent(kEngine, now));
}

TEST_CASE("an endpoint without answers under way is not silent") {
  CHECK_FALSE(SilencePolicy().IsSilent(kEngine, kStart + Seconds(5)));
}

TEST_CASE("an instance that was held up takes no endpoint for silent") {
  // Guards against an instance that was suspended and blames its endpoints.
  CHECK(SilencePolicy::CanJudge(Milliseconds(110)));
  CHECK_FALSE(SilencePolicy::CanJudge(Milliseconds(1500)));
}

}  // namespace
}  // namespace carobshift
