#include "carobshift/gateway/instances/peer_reachability.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};
const EntryId kPeer("entry-2");
const ServiceName kEngines("engines");
const ServiceName kBooking("booking");

ReachabilityAnnouncement Announce(std::uint64_t sequence,
                                  const std::vector<ServiceName>& unreached,
                                  std::uint64_t incarnation = 7) {
  ReachabilityAnnouncement announcement{
      kPeer, Incarnation(incarnation), sequence, {}};
  for (const ServiceName& service : unreached)
    announcement.unreached.push_back(ServiceHash(service));
  return announcement;
}

TEST_CASE("an instance that announced nothing reaches all services") {
  const PeerReachability peers;
  CHECK(peers.Reaches(kPeer, kEngines, kStart));
  CHECK(peers.MayBeTold(kPeer, kEngines, kStart));
}

TEST_CASE("an announced loss holds for its services until it is withdrawn") {
  PeerReachability peers;
  peers.OnAnnouncement(Announce(1, {kEngines}), kStart);
  CHECK_FALSE(peers.Reaches(kPeer, kEngines, kStart));
  CHECK(peers.Reaches(kPeer, kBooking, kStart));
  CHECK(peers.Reaches(EntryId("entry-3"), kEngines, kStart));
  peers.OnAnnouncement(Announce(2, {}), kStart + Milliseconds(200));
  CHECK(peers.Reaches(kPeer, kEngines, kStart + Milliseconds(200)));
}

TEST_CASE("an announced loss ends when its sender is no longer heard") {
  PeerReachability peers;
  peers.OnAnnouncement(Announce(1, {kEngines}), kStart);
  const auto last = kStart + PeerReachability::kAnnouncementLifetime;
  CHECK_FALSE(peers.Reaches(kPeer, kEngines, last - Milliseconds(1)));
  CHECK(peers.Reaches(kPeer, kEngines, last));
}

TEST_CASE("an announcement that arrives late changes nothing") {
  PeerReachability peers;
  peers.OnAnnouncement(Announce(1, {kEngines}), kStart);
  peers.OnAnnouncement(Announce(3, {}), kStart + Milliseconds(10));
  peers.OnAnnouncement(Announce(2, {kEngines}), kStart + Milliseconds(20));
  CHECK(peers.Reaches(kPeer, kEngines, kStart + Milliseconds(20)));
  // A restarted process counts from the beginning.
  peers.OnAnnouncement(Announce(1, {kEngines}, 8), kStart + Milliseconds(30));
  CHECK_FALSE(peers.Reaches(kPeer, kEngines, kStart + Milliseconds(30)));
}

TEST_CASE("a short loss doesn't remove an instance from address answers") {
  PeerReachability peers;
  peers.OnAnnouncement(Announce(1, {kEngines}), kStart);
  const auto end = kStart + PeerReachability::kLeaveDelay - Milliseconds(1);
  CHECK(peers.MayBeTold(kPeer, kEngines, end));
  peers.OnAnnouncement(Announce(2, {}), end);
  CHECK(peers.MayBeTold(kPeer, kEngines, end + Seconds(1)));
}

TEST_CASE("instances that return are taken back slowly and not together") {
  PeerReachability peers;
  const auto end = kStart + Milliseconds(800);
  MonotonicTime first = end + Seconds(60);
  MonotonicTime last = end;
  for (int i = 0; i < 8; ++i) {
    ReachabilityAnnouncement announcement = Announce(1, {kEngines});
    announcement.sender = EntryId("entry-" + std::to_string(i));
    peers.OnAnnouncement(announcement, kStart);
    CHECK_FALSE(peers.MayBeTold(announcement.sender, kEngines,
                                kStart + PeerReachability::kLeaveDelay));
    announcement.sequence = 2;
    announcement.unreached.clear();
    peers.OnAnnouncement(announcement, end);
    MonotonicTime back = end;
    while (!peers.MayBeTold(announcement.sender, kEngines, back))
      back += Milliseconds(1);
    first = std::min(first, back);
    last = std::max(last, back);
  }
  CHECK(first >= end + PeerReachability::kReturnDelay);
  CHECK(last - first >= PeerReachability::kReturnSpread / 3);
  CHECK(last <=
        end + PeerReachability::kReturnDelay + PeerReachability::kReturnSpread);
}

TEST_CASE("an instance that loses its paths again stays left out") {
  PeerReachability peers;
  peers.OnAnnouncement(Announce(1, {kEngines}), kStart);
  peers.OnAnnouncement(Announce(2, {}), kStart + Milliseconds(800));
  peers.OnAnnouncement(Announce(3, {kEngines}), kStart + Milliseconds(1000));
  CHECK_FALSE(peers.MayBeTold(kPeer, kEngines, kStart + Milliseconds(1001)));
}

}  // namespace
}  // namespace carobshift
