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
  for (auto& instance : instances) {
    instance.OnMembers(kInstances, kStart - limits.window);
    instance.OnMembers(kInstances, kStart);
  }
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
  allowance.OnMembers(7, kStart - Seconds(10));
  allowance.OnMembers(7, kStart);
  const double before = allowance.Left(kEngines, kStart);
  CHECK(before == Approx(RetryAllowance::kSafety * 70 / 7));
  allowance.OnMembers(1, kStart + Seconds(5));
  CHECK(allowance.Left(kEngines, kStart + Seconds(5)) == Approx(before));
  allowance.OnMembers(1, kStart + RetryAllowance::kMemberMemory);
  CHECK(allowance.Left(kEngines, kStart + RetryAllowance::kMemberMemory) >
        before);
}

TEST_CASE("instances that start anew don't spend the extra repeats again") {
  // Endpoints refuse, all instances have spent what they may, are killed and
  // start again within the same ten seconds. Each young one knows of no other
  // yet, takes itself for all, and has forgotten what was spent: together they
  // would send several times what the platform allows and keep the overload
  // going.
  const RetryLimits limits{
      .share = 0.2, .extra = 54, .window = Milliseconds(10000)};
  constexpr int kInstances = 7;
  int requests = 0;
  int repeats = 0;
  const auto press = [&](RetryAllowance& instance, MonotonicTime now) {
    for (int i = 0; i < 20; ++i) {
      instance.OnRequest(kEngines, now);
      ++requests;
    }
    for (int i = 0; i < 100; ++i)
      repeats += instance.TrySpend(kEngines, now) ? 1 : 0;
  };
  for (int i = 0; i < kInstances; ++i) {
    RetryAllowance former(limits);
    former.OnMembers(kInstances, kStart - Seconds(60));
    former.OnMembers(kInstances, kStart);
    press(former, kStart);
  }
  const int before = repeats;
  CHECK(before > 0.5 * (limits.share * requests + limits.extra));
  for (int i = 0; i < kInstances; ++i) {
    RetryAllowance young(limits);
    for (const int seen : {1, 1, kInstances, kInstances}) {
      young.OnMembers(seen, kStart + Seconds(2));
      press(young, kStart + Seconds(2));
    }
  }
  CHECK(repeats <= limits.share * requests + limits.extra);
  // Not nothing either: its own requests' share was never spent by others.
  CHECK(repeats - before > 0.5 * limits.share * requests);
}

TEST_CASE("an instance has its whole part when its first window is over") {
  RetryAllowance young(
      {.share = 0, .extra = 70, .window = Milliseconds(10000)});
  young.OnMembers(7, kStart);
  CHECK(young.Left(kEngines, kStart) < RetryAllowance::kSafety * 70 / 7);
  CHECK(young.Left(kEngines, kStart + Seconds(10)) ==
        Approx(RetryAllowance::kSafety * 70 / 7));
}

TEST_CASE("an instance that starts behind a partition isn't all instances") {
  // It starts while it is cut off from six others, which serve on and spend
  // their parts. Nobody tells it how many they are.
  const RetryLimits limits{
      .share = 0, .extra = 70, .window = Milliseconds(10000)};
  RetryAllowance other(limits);
  other.OnMembers(7, kStart - Seconds(60));
  other.OnMembers(6, kStart);
  RetryAllowance alone(limits);
  alone.OnMembers(1, kStart);
  for (const Seconds age : {Seconds(0), Seconds(15), Seconds(59)}) {
    alone.OnMembers(1, kStart + age);
    CHECK(6 * other.Left(kEngines, kStart) +
              alone.Left(kEngines, kStart + age) <=
          limits.extra);
    // A stream that breaks once is resumed all the same.
    CHECK(alone.Left(kEngines, kStart + age) >= 1);
  }
  // Nobody is to be heard of any more.
  alone.OnMembers(1, kStart + RetryAllowance::kMemberMemory);
  CHECK(alone.Left(kEngines, kStart + RetryAllowance::kMemberMemory) ==
        Approx(RetryAllowance::kSafety * 70));
}

}  // namespace
}  // namespace carobshift
