#include "carobshift/net/arrival_rate.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

constexpr std::size_t kLarge = std::size_t{4} << 20;
constexpr double kSlow = 16384;

MonotonicTime At(int milliseconds) {
  return MonotonicTime{} + Milliseconds(milliseconds);
}

// Guards against a caller that hides behind what it sent at first.
TEST_CASE("bytes that came at once count for a short time") {
  ArrivalRate rate(At(0));
  rate.OnBytes(kLarge, At(10));
  CHECK(rate.BytesPerSecond(At(900)) > kSlow);
  CHECK(rate.BytesPerSecond(At(1100)) == 0);
}

TEST_CASE("a byte now and then is slow, whatever came before") {
  ArrivalRate rate(At(0));
  rate.OnBytes(kLarge, At(10));
  for (int i = 1; i <= 6; ++i)
    rate.OnBytes(kLarge + static_cast<std::size_t>(i), At(i * 500));
  CHECK(rate.BytesPerSecond(At(3100)) < kSlow);
}

TEST_CASE("a body that keeps coming isn't slow") {
  ArrivalRate rate(At(0));
  std::size_t total = 0;
  for (int time = 100; time <= 20000; time += 100) {
    total += 4000;
    rate.OnBytes(total, At(time));
    if (time > 2000)
      CHECK(rate.BytesPerSecond(At(time)) > kSlow);
  }
}

}  // namespace
}  // namespace carobshift
