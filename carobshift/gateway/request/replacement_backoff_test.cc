#include "carobshift/gateway/request/replacement_backoff.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};

TEST_CASE("silent streams without a replacement don't ask in each tick") {
  // Guards against streams that ask hundreds of times a second for attempts
  // that can't start.
  ReplacementBackoff backoff;
  constexpr Milliseconds kTick{100};
  int tries = 0;
  for (MonotonicTime now = kStart; now < kStart + Seconds(2); now += kTick) {
    if (!backoff.MayTry(now))
      continue;
    ++tries;
    backoff.OnFailure(now);
  }
  // At 0, 100, 300 and 700 ms, then each 400 ms.
  CHECK(tries == 7);
}

}  // namespace
}  // namespace carobshift
