#include "carobshift/gateway/endpoints/rejection_limits.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};
// By this time each instance has its share.
const MonotonicTime kJoined = kStart + RejectionLimits::kDiscoveryPeriod;
const ServiceName kService("desks");

EndpointRecord Desk(const std::string& id, int slots = 6) {
  EndpointRecord record;
  record.id = EndpointId(id);
  record.start_time = EndpointStartTime(1);
  record.service = kService;
  record.slots = slots;
  return record;
}

std::vector<MemberInfo> Members(int count) {
  std::vector<MemberInfo> members;
  for (int i = 0; i < count; ++i)
    members.emplace_back().id = EntryId("entry-" + std::to_string(i));
  return members;
}

RejectionStatement Stated(double limit, MonotonicTime sent) {
  return {.limit = RequestRate(limit), .ran = true, .sent = sent};
}

RejectionStatement NotStated(MonotonicTime sent, bool ran = true) {
  return {.limit = std::nullopt, .ran = ran, .sent = sent};
}

RejectionLimitUpdate Told(std::optional<RequestRate> limit, Milliseconds age) {
  return {FastHash(kService.value()), limit, age};
}

// Lets the instance know the members from kStart on and the limit from kJoined
// on.
void Join(RejectionLimits& limits,
          const std::vector<MemberInfo>& members,
          const EntryId& self) {
  limits.OnMembers(members, self, kStart);
  limits.OnMembers(members, self, kJoined);
  limits.OnAnswer(kService, Stated(2, kJoined), kJoined);
}

TEST_CASE("a limit holds for the service until an answer ends it") {
  RejectionLimits limits;
  CHECK_FALSE(limits.OnAnswer(kService, NotStated(kStart), kStart));
  CHECK(limits.OnAnswer(kService, Stated(2, kStart), kStart));
  CHECK(limits.LimitOf(kService) == RequestRate(2));
  CHECK(limits.size() == 1);
  CHECK_FALSE(limits.LimitOf(ServiceName("other")).has_value());
  CHECK_FALSE(limits.OnAnswer(kService, Stated(2, kStart), kStart));
  CHECK(limits.OnAnswer(kService, Stated(3, kStart), kStart));
  const MonotonicTime later = kStart + Seconds(1);
  CHECK(limits.OnAnswer(kService, NotStated(later), later + Seconds(1)));
  CHECK_FALSE(limits.LimitOf(kService).has_value());
  CHECK(limits.size() == 0);
}

// Guards against a limit that is ended by an answer to an earlier request, or
// by a rejection that doesn't state it.
TEST_CASE("neither an earlier request nor a rejection ends a limit") {
  RejectionLimits limits;
  limits.OnAnswer(kService, Stated(2, kStart), kStart + Seconds(1));
  const MonotonicTime now = kStart + Seconds(2);
  CHECK_FALSE(limits.OnAnswer(kService, NotStated(kStart), now));
  CHECK_FALSE(limits.OnAnswer(kService, NotStated(now, /*ran=*/false), now));
  CHECK(limits.LimitOf(kService) == RequestRate(2));
}

// Guards against instances whose requests together exceed an endpoint's slots.
TEST_CASE("the shares of all instances are at most the usable slots") {
  for (const int instances : {1, 2, 5, 7, 60, 300}) {
    const auto members = Members(instances);
    for (const int slots : {1, 2, 6, 16, 128}) {
      INFO(instances << " instances, " << slots << " slots");
      int sum = 0;
      for (const MemberInfo& member : members) {
        RejectionLimits limits;
        Join(limits, members, member.id);
        sum += limits.ShareOf(Desk("d", slots), kJoined);
      }
      CHECK(sum == std::max(1, slots * 9 / 10));
    }
  }
}

TEST_CASE("an instance keeps to its share only while a limit is stated") {
  RejectionLimits limits;
  const EndpointRecord desk = Desk("d", 2);
  Join(limits, Members(1), EntryId("entry-0"));
  REQUIRE(limits.ShareOf(desk, kJoined) == 1);
  CHECK(limits.MaySend(desk, kJoined));
  limits.OnSend(EndpointIncarnation::Of(desk));
  CHECK_FALSE(limits.MaySend(desk, kJoined));
  CHECK(limits.WaitFor(desk, kJoined) == RejectionLimits::kFullShareWait);
  CHECK(limits.MaySend(Desk("other", 2), kJoined));
  limits.OnEnd(EndpointIncarnation::Of(desk));
  CHECK(limits.MaySend(desk, kJoined));
  limits.OnSend(EndpointIncarnation::Of(desk));
  const MonotonicTime later = kJoined + Seconds(1);
  limits.OnAnswer(kService, NotStated(later), later);
  CHECK(limits.MaySend(desk, later));
}

// Guards against an instance that learns of the limit while it has more
// requests in progress than its share.
TEST_CASE("requests from before the limit count") {
  RejectionLimits limits;
  const EndpointRecord desk = Desk("d", 2);
  limits.OnSend(EndpointIncarnation::Of(desk));
  limits.OnSend(EndpointIncarnation::Of(desk));
  Join(limits, Members(1), EntryId("entry-0"));
  limits.OnEnd(EndpointIncarnation::Of(desk));
  CHECK_FALSE(limits.MaySend(desk, kJoined));
  limits.OnEnd(EndpointIncarnation::Of(desk));
  CHECK(limits.MaySend(desk, kJoined));
}

// Guards against a slot that is counted as free while the endpoint still works
// on a request whose caller has left.
TEST_CASE("an abandoned request counts for a while") {
  RejectionLimits limits;
  const EndpointRecord desk = Desk("d", 2);
  Join(limits, Members(1), EntryId("entry-0"));
  limits.OnSend(EndpointIncarnation::Of(desk));
  limits.OnAbandoned(EndpointIncarnation::Of(desk), kJoined);
  CHECK_FALSE(limits.MaySend(desk, kJoined));
  const MonotonicTime over = kJoined + RejectionLimits::kAbandonedRunTime;
  CHECK_FALSE(limits.MaySend(desk, over - Milliseconds(1)));
  CHECK(limits.MaySend(desk, over));
  limits.Expire(over);
  CHECK(limits.MaySend(desk, over));
}

TEST_CASE("an endpoint that has started anew has no requests in progress") {
  RejectionLimits limits;
  EndpointRecord desk = Desk("d", 2);
  Join(limits, Members(1), EntryId("entry-0"));
  const EndpointIncarnation before = EndpointIncarnation::Of(desk);
  limits.OnSend(before);
  desk.start_time = EndpointStartTime(2);
  CHECK(limits.MaySend(desk, kJoined));
  limits.OnSend(EndpointIncarnation::Of(desk));
  limits.OnEnd(before);
  CHECK_FALSE(limits.MaySend(desk, kJoined));
}

// Guards against an endpoint that something else fills, and that each instance
// finds full in turn.
TEST_CASE("an endpoint that rejects is left out by all instances") {
  RejectionLimits limits;
  RejectionLimits other;
  const EndpointRecord desk = Desk("d");
  Join(limits, Members(2), EntryId("entry-0"));
  Join(other, Members(2), EntryId("entry-1"));
  limits.OnRejection(desk, kJoined);
  CHECK_FALSE(limits.MaySend(desk, kJoined));
  CHECK(limits.WaitFor(desk, kJoined) == RejectionLimits::kRejectionPause);
  const auto updates = limits.TakeUpdates(kJoined + Milliseconds(10));
  REQUIRE(updates.rejections.size() == 1);
  CHECK(updates.rejections[0].age == Milliseconds(10));
  const MonotonicTime told = kJoined + Milliseconds(20);
  CHECK(other.OnPeerRejection(updates.rejections[0], told));
  CHECK_FALSE(other.OnPeerRejection(updates.rejections[0], told));
  CHECK_FALSE(other.MaySend(desk, told));
  CHECK(limits.TakeUpdates(told).rejections.empty());
  const MonotonicTime over =
      kJoined + Milliseconds(10) + RejectionLimits::kRejectionPause;
  CHECK(limits.MaySend(desk, over));
  CHECK(other.MaySend(desk, over));
}

TEST_CASE("a rejection without a limit pauses nothing") {
  RejectionLimits limits;
  CHECK_FALSE(limits.OnRejection(Desk("d"), kStart));
  CHECK(limits.MaySend(Desk("d"), kStart));
  CHECK(limits.TakeUpdates(kStart).rejections.empty());
}

TEST_CASE("the newest statement counts, whoever tells it") {
  RejectionLimits limits;
  CHECK(limits.OnPeerLimit(Told(RequestRate(2), Milliseconds(500)), kStart));
  CHECK_FALSE(
      limits.OnPeerLimit(Told(RequestRate(9), Milliseconds(700)), kStart));
  CHECK(limits.LimitOf(kService) == RequestRate(2));
  CHECK_FALSE(
      limits.OnPeerLimit(Told(std::nullopt, Milliseconds(600)), kStart));
  CHECK(limits.OnPeerLimit(Told(std::nullopt, Milliseconds(100)), kStart));
  CHECK_FALSE(limits.LimitOf(kService).has_value());
  CHECK_FALSE(
      limits.OnPeerLimit(Told(RequestRate(2), Milliseconds(200)), kStart));
  CHECK_FALSE(limits.OnPeerLimit(Told(RequestRate(2), RejectionLimits::kMaxAge),
                                 kStart));
}

// Guards against instances without a share, which get no answers, that forget
// the limit while it holds.
TEST_CASE("a limit is repeated while answers confirm it") {
  RejectionLimits limits;
  limits.OnAnswer(kService, Stated(2, kStart), kStart);
  REQUIRE(limits.TakeUpdates(kStart).limits.size() == 1);
  MonotonicTime now = kStart + RejectionLimits::kRepeatInterval;
  CHECK(limits.TakeUpdates(now).limits.empty());
  limits.OnAnswer(kService, Stated(2, kStart), now);
  const auto repeated = limits.TakeUpdates(now + Milliseconds(5)).limits;
  REQUIRE(repeated.size() == 1);
  CHECK(repeated[0].limit == RequestRate(2));
  CHECK(repeated[0].age == Milliseconds(5));
  // Another instance has told of a newer answer, so that this one needn't.
  now += RejectionLimits::kRepeatInterval;
  limits.OnAnswer(kService, Stated(2, kStart), now);
  limits.OnPeerLimit(Told(RequestRate(2), Milliseconds(1)), now);
  CHECK(limits.TakeUpdates(now).limits.empty());
  now += RejectionLimits::kMaxAge;
  limits.Expire(now);
  CHECK_FALSE(limits.LimitOf(kService).has_value());
}

// Guards against an instance that has started anew and knows no limit when its
// first requests come.
TEST_CASE("a few members tell a new one the limit") {
  const auto members = Members(12);
  auto restarted = members;
  restarted[5].incarnation = Incarnation(2);
  const MonotonicTime now = kJoined + Milliseconds(100);
  int tellers = 0;
  for (const MemberInfo& member : members) {
    RejectionLimits limits;
    Join(limits, members, member.id);
    REQUIRE(limits.TakeUpdates(kJoined).limits.size() == 1);
    CHECK(limits.TakeUpdates(now).limits.empty());
    limits.OnMembers(restarted, member.id, now);
    const auto told = limits.TakeUpdates(now).limits;
    tellers += static_cast<int>(told.size());
    CHECK(limits.TakeUpdates(now).limits.empty());
    const auto again =
        limits.TakeUpdates(now + RejectionLimits::kTellInterval).limits;
    CHECK(again.size() == told.size());
    CHECK(limits.TakeUpdates(now + RejectionLimits::kNewMemberPeriod)
              .limits.empty());
  }
  CHECK(tellers == RejectionLimits::kTellers);
}

// Guards against an instance that has started anew and that nobody has told the
// limit.
TEST_CASE("the first requests after a start keep to a share") {
  RejectionLimits limits;
  const EndpointRecord desk = Desk("d");
  const EndpointIncarnation id = EndpointIncarnation::Of(desk);
  limits.OnMembers(Members(7), EntryId("entry-0"), kStart);
  CHECK(limits.MaySend(desk, kStart));
  limits.OnSend(id);
  CHECK_FALSE(limits.MaySend(desk, kStart));
  CHECK(limits.MaySend(Desk("engine", 128), kStart));
  // A rejection says nothing of the service; an answer does.
  limits.OnAnswer(kService, NotStated(kStart, /*ran=*/false), kStart);
  CHECK_FALSE(limits.MaySend(desk, kStart));
  limits.OnAnswer(kService, NotStated(kStart), kStart);
  CHECK(limits.MaySend(desk, kStart));
}

// Guards against an instance that refuses proper requests after its start
// because it takes itself for one of many.
TEST_CASE("an instance that knows nobody yet uses all usable slots at first") {
  RejectionLimits limits;
  const EndpointRecord desk = Desk("d");
  limits.OnMembers(Members(1), EntryId("entry-0"), kStart);
  for (int i = 0; i < 5; ++i) {
    CHECK(limits.MaySend(desk, kStart));
    limits.OnSend(EndpointIncarnation::Of(desk));
  }
  CHECK_FALSE(limits.MaySend(desk, kStart));
}

TEST_CASE("an instance that has run for a while sends first requests freely") {
  RejectionLimits limits;
  const EndpointRecord desk = Desk("d");
  limits.OnMembers(Members(7), EntryId("entry-0"), kStart);
  limits.OnSend(EndpointIncarnation::Of(desk));
  CHECK_FALSE(limits.MaySend(desk, kJoined - Milliseconds(1)));
  CHECK(limits.MaySend(desk, kJoined));
}

// Guards against shares that are handed out twice while instances don't reach
// each other.
TEST_CASE("a member that is cut off keeps its share") {
  RejectionLimits limits;
  const EndpointRecord desk = Desk("d", 20);
  Join(limits, Members(6), EntryId("entry-0"));
  const MonotonicTime lost = kJoined + Seconds(1);
  limits.OnMembers(Members(1), EntryId("entry-0"), lost);
  CHECK(limits.ShareOf(desk, lost) == 3);
  const MonotonicTime forgotten = kJoined + RejectionLimits::kMemberRetention;
  limits.OnMembers(Members(1), EntryId("entry-0"), forgotten);
  CHECK(limits.ShareOf(desk, forgotten) == 18);
}

// Guards against an instance that starts, knows no other members yet and takes
// all slots.
TEST_CASE("an instance has no share until the others know it") {
  RejectionLimits limits;
  const EndpointRecord desk = Desk("d");
  limits.OnMembers(Members(1), EntryId("entry-0"), kStart);
  limits.OnAnswer(kService, Stated(2, kStart), kStart);
  CHECK_FALSE(limits.MaySend(desk, kStart));
  const MonotonicTime found = kStart + Seconds(1);
  limits.OnMembers(Members(2), EntryId("entry-0"), found);
  CHECK_FALSE(limits.MaySend(desk, found));
  CHECK(limits.MaySend(desk, found + RejectionLimits::kJoinDelay));
}

TEST_CASE("an instance that leaves keeps its share for its last requests") {
  RejectionLimits limits;
  Join(limits, Members(2), EntryId("entry-0"));
  const EndpointRecord desk = Desk("d", 20);
  auto others = Members(2);
  others.erase(others.begin());
  const MonotonicTime now = kJoined + Seconds(1);
  limits.OnMembers(others, EntryId("entry-0"), now);
  CHECK(limits.ShareOf(desk, now) == 9);
}

}  // namespace
}  // namespace carobshift
