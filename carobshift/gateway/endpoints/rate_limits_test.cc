#include "carobshift/gateway/endpoints/rate_limits.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};
const EndpointIncarnation kEngine{EndpointId("engine"), EndpointStartTime(1)};

LimitStatement Named(double rate, MonotonicTime sent) {
  return {RequestRate(rate), sent};
}

TEST_CASE(
    "a limit holds from the answer that states it to the next answer without "
    "one") {
  RateLimits limits;
  CHECK_FALSE(limits.OnAnswer(kEngine, {std::nullopt, kStart}, kStart));
  CHECK(limits.OnAnswer(kEngine, Named(3, kStart), kStart));
  CHECK(limits.LimitOf(kEngine.id) == RequestRate(3));
  CHECK(limits.size() == 1);
  CHECK_FALSE(limits.OnAnswer(kEngine, Named(3.1, kStart), kStart));
  CHECK(limits.OnAnswer(kEngine, Named(6, kStart), kStart));
  CHECK(limits.OnAnswer(kEngine, {std::nullopt, kStart + Seconds(1)},
                        kStart + Seconds(2)));
  CHECK_FALSE(limits.LimitOf(kEngine.id).has_value());
}

// Guards against a limit that is ended by the answer to a request which was
// sent before the limit was stated.
TEST_CASE("an answer to an earlier request doesn't end a limit") {
  RateLimits limits;
  limits.OnAnswer(kEngine, Named(3, kStart), kStart + Seconds(1));
  CHECK_FALSE(
      limits.OnAnswer(kEngine, {std::nullopt, kStart}, kStart + Seconds(2)));
  CHECK(limits.LimitOf(kEngine.id) == RequestRate(3));
}

std::vector<MemberInfo> Members(int count) {
  std::vector<MemberInfo> members;
  for (int i = 0; i < count; ++i)
    members.emplace_back().id = EntryId("entry-" + std::to_string(i));
  return members;
}

LimitUpdate News(double rate, Milliseconds age) {
  return {FastHash(kEngine.id.value()), kEngine.start_time, RequestRate(rate),
          age};
}

// Returns the number of instances among `count` that may ever send at a limit
// of `rate`.
int UsersOf(int count, double rate) {
  const std::vector<MemberInfo> members = Members(count);
  int users = 0;
  for (const MemberInfo& member : members) {
    RateLimits limits;
    limits.OnMembers(members, member.id, kStart);
    limits.OnPeerUpdate(News(rate, Milliseconds(0)), kStart);
    users += limits.MaySend(kEngine, kStart + Seconds(9)) ? 1 : 0;
  }
  return users;
}

TEST_CASE("a limit is used by few instances, in equal parts") {
  CHECK(UsersOf(1, 3) == 1);
  CHECK(UsersOf(6, 3) == 6);
  CHECK(UsersOf(195, 3) == 6);
  CHECK(UsersOf(195, 0) == 3);
  CHECK(UsersOf(195, 50) == 53);
  CHECK(UsersOf(195, 1e300) == 195);
}

TEST_CASE("between two requests of an instance its part of a second passes") {
  RateLimits limits;
  const auto members = Members(3);
  limits.OnMembers(members, members[0].id, kStart);
  limits.OnAnswer(kEngine, Named(3, kStart), kStart);
  CHECK_FALSE(limits.MaySend(kEngine, kStart));
  CHECK(limits.WaitFor(kEngine, kStart) == Milliseconds(1000));
  const MonotonicTime later = kStart + Seconds(4);
  REQUIRE(limits.MaySend(kEngine, later));
  limits.OnSend(kEngine, later);
  // Unused requests don't accumulate.
  CHECK_FALSE(limits.MaySend(kEngine, later + Milliseconds(990)));
  CHECK(limits.MaySend(kEngine, later + Milliseconds(1000)));
  CHECK(limits.WaitFor(kEngine, later + Seconds(1)) == Milliseconds(0));
}

TEST_CASE(
    "other endpoints, and another incarnation of this one, have no limit") {
  RateLimits limits;
  limits.OnAnswer(kEngine, Named(0, kStart), kStart);
  CHECK_FALSE(limits.MaySend(kEngine, kStart));
  CHECK(limits.MaySend({EndpointId("other"), kEngine.start_time}, kStart));
  const EndpointIncarnation restarted{kEngine.id, EndpointStartTime(2)};
  CHECK(limits.MaySend(restarted, kStart));
  CHECK(limits.WaitFor(restarted, kStart) == Milliseconds(0));
  // A statement of the earlier incarnation arrives late.
  limits.OnAnswer(restarted, Named(40, kStart), kStart + Seconds(1));
  CHECK_FALSE(
      limits.OnPeerUpdate(News(3, Milliseconds(0)), kStart + Seconds(2)));
  CHECK(limits.LimitOf(kEngine.id) == RequestRate(40));
}

TEST_CASE("what an endpoint said last counts, whoever tells it") {
  RateLimits limits;
  CHECK(limits.OnPeerUpdate(News(3, Milliseconds(500)), kStart));
  CHECK_FALSE(limits.OnPeerUpdate(News(9, Milliseconds(700)), kStart));
  CHECK(limits.LimitOf(kEngine.id) == RequestRate(3));
  CHECK(limits.OnPeerUpdate(News(9, Milliseconds(100)), kStart));
  LimitUpdate ended = News(0, Milliseconds(200));
  ended.rate.reset();
  CHECK_FALSE(limits.OnPeerUpdate(ended, kStart));
  ended.age = Milliseconds(0);
  CHECK(limits.OnPeerUpdate(ended, kStart));
  CHECK_FALSE(limits.LimitOf(kEngine.id).has_value());
}

TEST_CASE("a limit is told when it changes, and again by one instance") {
  const auto members = Members(12);
  int repeating = 0;
  for (const MemberInfo& member : members) {
    RateLimits limits;
    limits.OnMembers(members, member.id, kStart);
    limits.OnAnswer(kEngine, Named(3, kStart), kStart);
    const auto first = limits.TakeUpdates(kStart);
    REQUIRE(first.size() == 1);
    CHECK(first.front().rate == RequestRate(3));
    limits.OnAnswer(kEngine, Named(3, kStart), kStart + Milliseconds(10));
    const auto repeated = limits.TakeUpdates(kStart + Milliseconds(1010));
    repeating += static_cast<int>(repeated.size());
    for (const LimitUpdate& update : repeated)
      CHECK(update.age == Milliseconds(1000));
  }
  CHECK(repeating == 1);
}

// Guards against a limit that never ends because no instance sends to the
// endpoint any more.
TEST_CASE("an unconfirmed limit expires gradually") {
  RateLimits limits;
  limits.OnAnswer(kEngine, Named(3, kStart), kStart);
  MonotonicTime now = kStart + RateLimits::kMaxAge - Milliseconds(1);
  limits.Expire(now);
  CHECK(limits.size() == 1);
  now += Milliseconds(1);
  limits.Expire(now);
  CHECK(limits.size() == 0);
  limits.OnSend(kEngine, now);
  CHECK_FALSE(limits.MaySend(kEngine, now + Milliseconds(100)));
  limits.Expire(now + RateLimits::kRampUpPeriod);
  CHECK(limits.MaySend(kEngine, now + RateLimits::kRampUpPeriod));
}

// Guards against an instance that starts, knows no other members yet and uses
// the whole limit.
TEST_CASE("an instance that knows nobody yet takes itself for one of several") {
  RateLimits limits;
  const auto alone = Members(1);
  limits.OnMembers(alone, alone[0].id, kStart);
  limits.OnAnswer(kEngine, Named(3, kStart), kStart);
  CHECK(limits.WaitFor(kEngine, kStart) >= Milliseconds(2000));
  const MonotonicTime later = kStart + RateLimits::kDiscoveryPeriod;
  limits.OnMembers(alone, alone[0].id, later);
  limits.OnSend(kEngine, later);
  CHECK(limits.WaitFor(kEngine, later) < Milliseconds(400));
}

TEST_CASE("an instance that leaves uses no limit, unless nobody is left") {
  RateLimits limits;
  const auto others = Members(3);
  limits.OnMembers(others, EntryId("leaving"), kStart);
  limits.OnAnswer(kEngine, Named(3, kStart), kStart);
  CHECK_FALSE(limits.MaySend(kEngine, kStart + Seconds(5)));
  limits.OnMembers(Members(1), EntryId("leaving"), kStart);
  CHECK_FALSE(limits.MaySend(kEngine, kStart + Seconds(5)));
  limits.OnMembers({}, EntryId("leaving"), kStart);
  CHECK(limits.MaySend(kEngine, kStart + Seconds(5)));
}

}  // namespace
}  // namespace carobshift
