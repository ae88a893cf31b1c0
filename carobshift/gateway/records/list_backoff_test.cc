#include "carobshift/gateway/records/list_backoff.h"

#include <catch2/catch.hpp>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};

// Returns the number of listings in `time` if one is wanted every 100 ms.
int Listings(ListBackoff& backoff, MonotonicTime from, Milliseconds time) {
  int listings = 0;
  for (Milliseconds passed{0}; passed < time; passed += Milliseconds(100)) {
    if (!backoff.MayList(from + passed))
      continue;
    backoff.OnList(FastHash(std::to_string(passed.count())), from + passed);
    ++listings;
  }
  return listings;
}

// Guards against instances that keep their links full by listing stores.
TEST_CASE(
    "a holder whose updates keep getting lost is listed ever more rarely") {
  ListBackoff backoff;
  REQUIRE(backoff.MayList(kStart));
  CHECK(Listings(backoff, kStart, Seconds(60)) <= 9);
  CHECK(Listings(backoff, kStart + Seconds(60), Seconds(60)) <= 8);
}

TEST_CASE("after a quiet time a holder is listed at once again") {
  ListBackoff backoff;
  Listings(backoff, kStart, Seconds(20));
  const MonotonicTime later = kStart + Seconds(80);
  CHECK(backoff.MayList(later));
  backoff.OnList(0, later);
  CHECK_FALSE(backoff.MayList(later + Milliseconds(400)));
  CHECK(backoff.MayList(later + Milliseconds(500)));
}

}  // namespace
}  // namespace carobshift
