// Fuzzes bound and free idempotency keys over several entries. Copies of a
// request arrive late, repeatedly and at any entry; entries pause and restart;
// the log is down, slow, loses replies and drops records. The oracle counts
// runs and records what callers were told.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <string>

#include "fuzz/once_world.h"

namespace carobshift {
namespace {

bool OracleDetects(AtMostOnceMutation mutation) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    if (!OnceWorld(seed, mutation).Run().violations.empty())
      return true;
  }
  return false;
}

// A caller's booking is resent while entries crash and the log fails. Guards
// against two bookings, and against a booking that exists although the caller
// was told that it did not run.
TEST_CASE("a key runs at most once and its reported state is true") {
  rc::prop("under faults", [](std::uint64_t seed) {
    const OnceReport report = OnceWorld(seed, AtMostOnceMutation::kNone).Run();
    if (!report.violations.empty())
      RC_FAIL("seed " + std::to_string(seed) + ": " +
              report.violations.front());
  });
}

TEST_CASE("the scenario reaches every kind of answer") {
  OnceReport sum;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const OnceReport report = OnceWorld(seed, AtMostOnceMutation::kNone).Run();
    sum.runs += report.runs;
    sum.replays += report.replays;
    sum.not_run += report.not_run;
    sum.unknown += report.unknown;
  }
  CHECK(sum.runs > 1000);
  CHECK(sum.replays > 200);
  CHECK(sum.not_run > 200);
  CHECK(sum.unknown > 200);
}

TEST_CASE("without the table of runs the oracle detects violations") {
  CHECK(OracleDetects(AtMostOnceMutation::kNoTable));
}

TEST_CASE("without the incarnation check the oracle detects violations") {
  CHECK(OracleDetects(AtMostOnceMutation::kNoIncarnationCheck));
}

TEST_CASE(
    "without the deadline check before dispatch the oracle detects "
    "violations") {
  CHECK(OracleDetects(AtMostOnceMutation::kNoDeadlineCheck));
}

TEST_CASE("without the replay window the oracle detects violations") {
  CHECK(OracleDetects(AtMostOnceMutation::kForgetAtExpiry));
}

TEST_CASE("without reading the claim back the oracle detects violations") {
  CHECK(OracleDetects(AtMostOnceMutation::kNoReadBack));
}

TEST_CASE("with the last claim winning the oracle detects violations") {
  CHECK(OracleDetects(AtMostOnceMutation::kLastClaimWins));
}

TEST_CASE("without release of abandoned claims the oracle detects violations") {
  CHECK(OracleDetects(AtMostOnceMutation::kNoReleaseOfAbandoned));
}

TEST_CASE("with release after dispatch the oracle detects violations") {
  CHECK(OracleDetects(AtMostOnceMutation::kReleaseAfterDispatch));
}

TEST_CASE("with not_run while the log is down the oracle detects violations") {
  CHECK(OracleDetects(AtMostOnceMutation::kNotRunWhileLogDown));
}

TEST_CASE("without the age of keys the oracle detects violations") {
  CHECK(OracleDetects(AtMostOnceMutation::kNoKeyAge));
}

}  // namespace
}  // namespace carobshift
