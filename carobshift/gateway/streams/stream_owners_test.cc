#include "carobshift/gateway/streams/stream_owners.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

namespace carobshift {
namespace {

std::vector<MemberInfo> Members(int count, int zones) {
  std::vector<MemberInfo> members;
  for (int i = 0; i < count; ++i) {
    MemberInfo& member = members.emplace_back();
    member.id = EntryId("entry-" + std::to_string(i));
    member.zone = ZoneName("z" + std::to_string(i % zones));
  }
  return members;
}

// Guards against a stream whose records are all lost with one zone.
TEST_CASE("a stream's owners are in different zones") {
  const auto members = Members(7, 3);
  for (std::uint64_t key = 0; key < 100; ++key) {
    std::set<ZoneName> zones;
    for (const MemberInfo& owner :
         StreamOwners(StreamKey(key), members, kStreamOwners))
      zones.insert(owner.zone);
    CHECK(zones.size() == 3);
  }
}

TEST_CASE("owners are the same in any order of the members, and spread") {
  auto members = Members(60, 3);
  std::map<EntryId, int> streams;
  for (std::uint64_t key = 0; key < 2000; ++key) {
    const auto owners = StreamOwners(StreamKey(key), members, kStreamOwners);
    std::rotate(members.begin(), members.begin() + 7, members.end());
    CHECK(StreamOwners(StreamKey(key), members, kStreamOwners) == owners);
    for (const MemberInfo& owner : owners)
      ++streams[owner.id];
  }
  // 100 each on the average.
  CHECK(streams.size() == members.size());
  for (const auto& [id, count] : streams)
    CHECK(count < 200);
}

// Guards against streams that nobody is asked for after one instance is gone.
TEST_CASE("without one member the other owners stay") {
  const auto members = Members(7, 3);
  for (std::uint64_t key = 0; key < 100; ++key) {
    const auto owners = StreamOwners(StreamKey(key), members, kStreamOwners);
    auto fewer = members;
    std::erase(fewer, owners[0]);
    const auto now = StreamOwners(StreamKey(key), fewer, kStreamOwners);
    for (std::size_t i = 1; i < owners.size(); ++i)
      CHECK(std::find(now.begin(), now.end(), owners[i]) != now.end());
  }
}

TEST_CASE("fewer members than owners all own") {
  CHECK(StreamOwners(StreamKey(1), Members(2, 1), kStreamOwners).size() == 2);
  CHECK(StreamOwners(StreamKey(1), {}, kStreamOwners).empty());
}

}  // namespace
}  // namespace carobshift
