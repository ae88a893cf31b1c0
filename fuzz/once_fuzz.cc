// Bound and free idempotency keys over several entries: copies of a request
// that come late, repeated and to any entry; entries that pause and restart; a
// log that is down, slow, loses replies and forgets. The oracle counts runs
// and remembers what callers were told.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <string>

#include "fuzz/once_world.h"

namespace carobshift {
namespace {

bool Caught(OnceMutation mutation) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    if (!OnceWorld(seed, mutation).Run().violations.empty())
      return true;
  }
  return false;
}

// A caller's booking is sent again and again while entries die and the log
// fails. A user would notice two bookings, or one that was called not run and
// is there.
TEST_CASE("a key runs at most once, and what is said of it is true") {
  rc::prop("under faults", [](std::uint64_t seed) {
    const OnceReport report = OnceWorld(seed, OnceMutation::kNone).Run();
    if (!report.violations.empty())
      RC_FAIL("seed " + std::to_string(seed) + ": " +
              report.violations.front());
  });
}

TEST_CASE("the scenario reaches every kind of answer") {
  OnceReport sum;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const OnceReport report = OnceWorld(seed, OnceMutation::kNone).Run();
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

TEST_CASE("without the table of runs the oracle objects") {
  CHECK(Caught(OnceMutation::kNoTable));
}

TEST_CASE("without the incarnation check the oracle objects") {
  CHECK(Caught(OnceMutation::kNoIncarnationCheck));
}

TEST_CASE("without the deadline check before dispatch the oracle objects") {
  CHECK(Caught(OnceMutation::kNoDeadlineCheck));
}

TEST_CASE("without the replay window the oracle objects") {
  CHECK(Caught(OnceMutation::kForgetAtExpiry));
}

TEST_CASE("without reading the claim back the oracle objects") {
  CHECK(Caught(OnceMutation::kNoReadBack));
}

TEST_CASE("with the last claim winning the oracle objects") {
  CHECK(Caught(OnceMutation::kLastClaimWins));
}

TEST_CASE("without release of abandoned claims the oracle objects") {
  CHECK(Caught(OnceMutation::kNoReleaseOfAbandoned));
}

TEST_CASE("with release after dispatch the oracle objects") {
  CHECK(Caught(OnceMutation::kReleaseAfterDispatch));
}

TEST_CASE("with not_run while the log is down the oracle objects") {
  CHECK(Caught(OnceMutation::kNotRunWhileLogDown));
}

TEST_CASE("without the age of keys the oracle objects") {
  CHECK(Caught(OnceMutation::kNoKeyAge));
}

}  // namespace
}  // namespace carobshift
