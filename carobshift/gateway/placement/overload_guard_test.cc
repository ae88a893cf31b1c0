#include "carobshift/gateway/placement/overload_guard.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

const ServiceName kEngines("engines");

OverloadInput InputOf(double ahead, int urgency) {
  return {.service = kEngines,
          .ahead = ahead,
          .latency_target = Milliseconds(800),
          .urgency = urgency};
}

TEST_CASE("the least urgent are refused first, and told when to come back") {
  const OverloadGuard guard;
  // 20,000 tokens take about 1/3 of a second.
  CHECK_FALSE(guard.Decide(InputOf(20'000, 0)).refused);
  CHECK_FALSE(guard.Decide(InputOf(20'000, 2)).refused);
  CHECK_FALSE(guard.Decide(InputOf(30'000, 0)).refused);
  CHECK(guard.Decide(InputOf(30'000, 2)).refused);
  const OverloadDecision verdict = guard.Decide(InputOf(60'000, 0));
  CHECK(verdict.refused);
  CHECK(verdict.retry_after >= OverloadGuard::kMinRetryAfter);
  CHECK(verdict.retry_after <= OverloadGuard::kMaxRetryAfter);
}

TEST_CASE("a service without a latency target refuses nothing") {
  const OverloadGuard guard;
  OverloadInput input = InputOf(1e9, 9);
  input.latency_target = Milliseconds(0);
  CHECK_FALSE(guard.Decide(input).refused);
}

TEST_CASE("the time a token takes is learnt, and one outlier changes little") {
  OverloadGuard guard;
  for (int i = 0; i < 300; ++i)
    guard.OnFirstToken(kEngines, 10'000, Milliseconds(400));
  CHECK(guard.MillisecondsPerToken(kEngines) == Approx(0.04).epsilon(0.05));
  guard.OnFirstToken(kEngines, 10'000, Milliseconds(60'000));
  CHECK(guard.MillisecondsPerToken(kEngines) < 0.045);
  // Samples of a low cost measure the network.
  guard.OnFirstToken(kEngines, 10, Milliseconds(50));
  CHECK(guard.MillisecondsPerToken(kEngines) < 0.045);
}

// Simulates one engine that prefills prompts in order of arrival, and callers
// who send more than it can prefill for ten seconds: half of the requests are
// short and urgent, half long and not urgent. Returns the share of all requests
// that got their first token in time.
double ServedInTime(bool guarded) {
  constexpr double kTokensPerMillisecond = 60;
  constexpr int kMilliseconds = 10'000;
  constexpr double kTarget = 800;
  const OverloadGuard guard;
  double backlog = 0;
  int asked = 0;
  int in_time = 0;
  for (int ms = 0; ms < kMilliseconds; ++ms) {
    backlog = std::max(0.0, backlog - kTokensPerMillisecond);
    if (ms % 80 != 0)
      continue;
    for (const auto& [tokens, urgency] :
         std::vector<std::pair<double, int>>{{800, 0}, {9000, 2}}) {
      ++asked;
      OverloadInput input = InputOf(backlog, urgency);
      input.hash = FastHash(std::to_string(asked));
      if (guarded && guard.Decide(input).refused)
        continue;
      backlog += tokens;
      if (backlog / kTokensPerMillisecond <= kTarget)
        ++in_time;
    }
  }
  return static_cast<double>(in_time) / asked;
}

TEST_CASE("twice the load: those who are served are served in time") {
  // New weights have emptied the caches, and twice as many tokens arrive as can
  // be prefilled. Without refusals the queue grows as long as this lasts, and
  // after its first second no request is in time, short questions included.
  const double without = ServedInTime(false);
  const double with = ServedInTime(true);
  CHECK(without < 0.25);
  CHECK(with > 0.7);
}

}  // namespace
}  // namespace carobshift
