#include "carobshift/gateway/instances/reachability_sharing.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};
const std::vector<ServiceName> kLost{ServiceName("engines")};
constexpr Milliseconds kTick{100};

TEST_CASE("announcements round-trip, and malformed ones are refused") {
  const ReachabilityAnnouncement sent{
      EntryId("entry-2"), Incarnation(9), 4, {77, 78}};
  const auto decoded =
      DecodeReachabilityAnnouncement(EncodeReachabilityAnnouncement(sent));
  REQUIRE(decoded.ok());
  CHECK(decoded.value().sender == sent.sender);
  CHECK(decoded.value().incarnation == sent.incarnation);
  CHECK(decoded.value().sequence == sent.sequence);
  CHECK(decoded.value().unreached == sent.unreached);
  const std::string complete = EncodeReachabilityAnnouncement(sent);
  CHECK_FALSE(DecodeReachabilityAnnouncement("").ok());
  CHECK_FALSE(
      DecodeReachabilityAnnouncement(complete.substr(0, complete.size() - 3))
          .ok());
  ReachabilityAnnouncement most = sent;
  most.unreached.assign(ReachabilitySharing::kMaxServices, 1);
  constexpr std::size_t kMaxPayloadBytes = 1200;
  CHECK(EncodeReachabilityAnnouncement(most).size() <= kMaxPayloadBytes);
}

TEST_CASE("nothing is announced while all services are reached") {
  AnnouncementSchedule schedule;
  for (int tick = 0; tick < 100; ++tick)
    CHECK_FALSE(schedule.Take({}, kStart + tick * kTick));
}

TEST_CASE("a loss is announced at once, repeated, and its end repeated") {
  AnnouncementSchedule schedule;
  MonotonicTime now = kStart;
  CHECK(schedule.Take(kLost, now) == kLost);
  int sent = 0;
  for (; now < kStart + Seconds(3); now += kTick)
    sent += schedule.Take(kLost, now) ? 1 : 0;
  CHECK(sent >= 9);
  CHECK(sent <= 10);
  // One lost datagram must not end the announcement.
  CHECK(2 * AnnouncementSchedule::kRepeatInterval + kTick <
        PeerReachability::kAnnouncementLifetime);
  const std::vector<ServiceName> none;
  CHECK(schedule.Take({}, now) == none);
  sent = 0;
  for (; now < kStart + Seconds(6); now += kTick)
    sent += schedule.Take({}, now) ? 1 : 0;
  CHECK(sent == AnnouncementSchedule::kEndRepeats - 1);
  // A loss that follows is announced at once again.
  CHECK(schedule.Take(kLost, now) == kLost);
}

}  // namespace
}  // namespace carobshift
