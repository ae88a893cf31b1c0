#include "carobshift/gateway/handoff/handoff_choice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "carobshift/base/digest.h"
#include "carobshift/gateway/handoff/fake_reachability.h"

namespace carobshift {
namespace {

const MonotonicTime kNow{Seconds(100)};
const ServiceName kService("desks");

MemberInfo Member(int number, const std::string& zone) {
  MemberInfo info;
  info.id = EntryId("entry-" + std::to_string(number));
  info.zone = ZoneName(zone);
  return info;
}

HandoffQuery Query() {
  return {.self = EntryId("entry-0"), .service = kService};
}

std::vector<std::string> IdsOf(const std::vector<HandoffCandidate>& all) {
  std::vector<std::string> ids;
  for (const HandoffCandidate& candidate : all)
    ids.push_back(candidate.member.id.value());
  return ids;
}

TEST_CASE("candidates are other instances that stay and reach the service") {
  FakeReachability reachability;
  reachability.lost_by_peers.insert(EntryId("entry-2"));
  std::vector<MemberInfo> members = {Member(0, "a"), Member(1, "a"),
                                     Member(2, "a"), Member(3, "b")};
  members[3].leaving = true;
  CHECK(IdsOf(HandoffCandidates(members, Query(), {}, reachability, kNow)) ==
        std::vector<std::string>{"entry-1"});
}

// Guards against a prompt that leaves the regions that its account allows.
TEST_CASE("candidates are in a region that the request allows") {
  const ZoneRegions regions(
      {{ZoneName("a"), RegionName("north")}, {ZoneName("b"), RegionName("s")}});
  HandoffQuery query = Query();
  query.allowed_regions = {RegionName("s")};
  const std::vector<MemberInfo> members = {Member(1, "a"), Member(2, "b"),
                                           Member(3, "c")};
  CHECK(IdsOf(HandoffCandidates(members, query, regions, FakeReachability(),
                                kNow)) == std::vector<std::string>{"entry-2"});
}

TEST_CASE("without a candidate no peer is chosen") {
  CHECK_FALSE(ChooseHandoffPeer({}, ZoneName("a"), 1));
}

TEST_CASE("an avoided peer is chosen only if all are avoided") {
  std::vector<HandoffCandidate> candidates = {
      {.member = Member(1, "a"), .avoided = true}, {.member = Member(2, "a")}};
  for (std::uint64_t i = 0; i < 20; ++i) {
    const auto peer = ChooseHandoffPeer(candidates, ZoneName("a"),
                                        FastHash(std::to_string(i)));
    REQUIRE(peer);
    CHECK(peer->id == EntryId("entry-2"));
  }
  candidates[1].avoided = true;
  CHECK(ChooseHandoffPeer(candidates, ZoneName("a"), 5));
}

// Guards against isolated instances of a zone that hand all their requests to
// the one instance that is left there, while other zones are idle.
TEST_CASE("three isolated instances spread their requests over all peers") {
  constexpr int kIsolated = 3;
  constexpr int kPeers = 8;
  constexpr int kRequests = 4000;
  std::map<EntryId, int> received;
  for (int self = 0; self < kIsolated; ++self) {
    std::vector<HandoffCandidate> candidates;
    for (int peer = 0; peer < kPeers; ++peer) {
      candidates.push_back(
          {.member = Member(10 + peer, peer == 0 ? "own" : "other")});
    }
    for (int i = 0; i < kRequests; ++i) {
      const auto peer = ChooseHandoffPeer(
          candidates, ZoneName("own"),
          FastHash(std::to_string(self) + "/" + std::to_string(i)));
      REQUIRE(peer);
      ++received[peer->id];
      const auto found = std::find_if(
          candidates.begin(), candidates.end(),
          [&peer](const auto& one) { return one.member.id == peer->id; });
      ++found->outstanding;
    }
  }
  constexpr int kMean = kIsolated * kRequests / kPeers;
  for (const auto& [id, count] : received)
    CHECK(std::abs(count - kMean) < kMean / 10);
}

// Guards against a slow peer that gets as much as the others and fills up.
TEST_CASE("a peer that answers slowly is handed less") {
  std::vector<HandoffCandidate> candidates = {
      {.member = Member(1, "a"), .outstanding = 9},
      {.member = Member(2, "b"), .outstanding = 2},
      {.member = Member(3, "b"), .outstanding = 2}};
  for (std::uint64_t i = 0; i < 50; ++i) {
    const auto peer = ChooseHandoffPeer(candidates, ZoneName("a"),
                                        FastHash(std::to_string(i)));
    REQUIRE(peer);
    CHECK(peer->id != EntryId("entry-1"));
  }
}

}  // namespace
}  // namespace carobshift
