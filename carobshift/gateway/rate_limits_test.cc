#include "carobshift/gateway/rate_limits.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};
const EndpointId kEngine("engine");

LimitStatement Named(double rate, MonotonicTime sent) {
  return {RequestRate(rate), sent};
}

TEST_CASE(
    "a limit is known from the answer that names it to the next without") {
  RateLimits limits;
  CHECK_FALSE(limits.OnAnswer(kEngine, {std::nullopt, kStart}, kStart));
  CHECK(limits.OnAnswer(kEngine, Named(3, kStart), kStart));
  CHECK(limits.LimitOf(kEngine) == RequestRate(3));
  CHECK(limits.size() == 1);
  CHECK_FALSE(limits.OnAnswer(kEngine, Named(3.1, kStart), kStart));
  CHECK(limits.OnAnswer(kEngine, Named(6, kStart), kStart));
  CHECK(limits.OnAnswer(kEngine, {std::nullopt, kStart + Seconds(1)},
                        kStart + Seconds(2)));
  CHECK_FALSE(limits.LimitOf(kEngine).has_value());
}

// Guards against a limit that is lifted by an answer which was already under
// way when it was named.
TEST_CASE("an answer to an earlier request doesn't end a limit") {
  RateLimits limits;
  limits.OnAnswer(kEngine, Named(3, kStart), kStart + Seconds(1));
  CHECK_FALSE(
      limits.OnAnswer(kEngine, {std::nullopt, kStart}, kStart + Seconds(2)));
  CHECK(limits.LimitOf(kEngine) == RequestRate(3));
}

}  // namespace
}  // namespace carobshift
