#include "carobshift/gateway/cache/read_backoff.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

constexpr std::size_t kMiB = std::size_t{1} << 20;

// Guards against a holder without answers that is asked twice a second for as
// long as it is listed.
TEST_CASE("pauses grow with failures and start anew with an answer") {
  ReadBackoff backoff;
  Milliseconds sum{0};
  int questions = 0;
  for (; sum < Milliseconds(60'000); ++questions)
    sum += backoff.OnFailure(/*hash=*/0);
  CHECK(questions == 9);
  CHECK(backoff.OnFailure(0) == ReadBackoff::kMaxPause);
  CHECK(backoff.OnAnswer(0) == ReadBackoff::kReadInterval);
  CHECK(backoff.OnFailure(0) == ReadBackoff::kFirstPause);
}

TEST_CASE("a holder that can't be reached is tried at an even pace") {
  ReadBackoff backoff;
  CHECK(backoff.OnUnreachable() == ReadBackoff::kFirstPause);
  CHECK(backoff.OnUnreachable() == ReadBackoff::kFirstPause);
  CHECK(backoff.OnFailure(0) == ReadBackoff::kFirstPause);
}

TEST_CASE("jitter adds at most half of a pause") {
  ReadBackoff backoff;
  CHECK(backoff.OnFailure(1023) < ReadBackoff::kFirstPause * 3 / 2);
  CHECK(backoff.OnFailure(1023) > ReadBackoff::kFirstPause * 2);
}

// Guards against answers that are in order and so long that an instance does
// nothing but read them.
TEST_CASE("long answers are read no faster than the rate allows") {
  ReadBackoff backoff;
  CHECK(backoff.OnAnswer(4096) == ReadBackoff::kReadInterval);
  CHECK(backoff.OnAnswer(2 * kMiB) == Milliseconds(4000));
}

}  // namespace
}  // namespace carobshift
