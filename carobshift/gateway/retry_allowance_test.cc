#include "carobshift/gateway/retry_allowance.h"

#include <catch2/catch.hpp>
#include <vector>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};

const ServiceName kEngines("engines");

TEST_CASE("repeats of all instances together stay within what is allowed") {
  // A third of the endpoints fails, and every instance sends its failed
  // requests again. Each keeps to its part by itself; together they stay below
  // what the platform allows in any ten seconds.
  const RetryLimits limits{
      .share = 0.2, .extra = 54, .window = Milliseconds(10000)};
  constexpr int kInstances = 7;
  std::vector<RetryAllowance> instances(kInstances, RetryAllowance(limits));
  for (auto& instance : instances)
    instance.OnMembers(kInstances, kStart);
  int requests = 0;
  int repeats = 0;
  for (int ms = 0; ms < 10000; ms += 10) {
    const MonotonicTime now = kStart + Milliseconds(ms);
    auto& instance = instances[static_cast<std::size_t>(ms / 10 % kInstances)];
    instance.OnRequest(kEngines, now);
    ++requests;
    for (int i = 0; i < 3; ++i)
      repeats += instance.TrySpend(kEngines, now) ? 1 : 0;
  }
  CHECK(repeats <= limits.share * requests + limits.extra);
  CHECK(repeats > 0.5 * (limits.share * requests + limits.extra));
}

TEST_CASE("instances that are cut off keep their part of the allowance") {
  // A partition hides half of the instances from the others. Each half, taking
  // itself for all, would spend the whole number of extra repeats.
  RetryAllowance allowance(
      {.share = 0, .extra = 70, .window = Milliseconds(10000)});
  allowance.OnMembers(7, kStart);
  const double before = allowance.Left(kEngines, kStart);
  allowance.OnMembers(1, kStart + Seconds(5));
  CHECK(allowance.Left(kEngines, kStart + Seconds(5)) == Approx(before));
  allowance.OnMembers(1, kStart + RetryAllowance::kMemberMemory);
  CHECK(allowance.Left(kEngines, kStart + RetryAllowance::kMemberMemory) >
        before);
}

}  // namespace
}  // namespace carobshift
