#include "carobshift/gateway/records/record_readers.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

namespace carobshift {
namespace {

MemberInfo Member(int number, const std::string& zone) {
  MemberInfo info;
  info.id = EntryId("entry-" + std::to_string(number));
  info.zone = ZoneName(zone);
  return info;
}

// `per_zone` members in each of `zones`.
std::vector<MemberInfo> Members(int zones, int per_zone) {
  std::vector<MemberInfo> members;
  for (int zone = 0; zone < zones; ++zone) {
    for (int i = 0; i < per_zone; ++i)
      members.push_back(
          Member(zone * per_zone + i, "zone-" + std::to_string(zone)));
  }
  return members;
}

std::set<ZoneName> ZonesOf(const std::vector<MemberInfo>& members) {
  std::set<ZoneName> zones;
  for (const MemberInfo& member : members)
    zones.insert(member.zone);
  return zones;
}

TEST_CASE("few instances read the log each for itself") {
  CHECK(LogReaders(Members(3, 4)).empty());
}

TEST_CASE("of many instances one in each zone reads the log") {
  // Ninety instances that each read twice a second would make several hundred
  // calls a second to the log, all for the same records.
  const auto members = Members(4, 22);
  const auto readers = LogReaders(members);
  CHECK(readers.size() == 4);
  CHECK(ZonesOf(readers) == ZonesOf(members));
}

TEST_CASE("in a single zone two read, so that one may die") {
  CHECK(LogReaders(Members(1, 30)).size() == kMinReaders);
}

TEST_CASE("all instances come to the same readers, in whatever order") {
  // Otherwise some would query an instance that is a listener itself, and
  // changes would arrive one query later for each step.
  auto members = Members(4, 22);
  const auto readers = LogReaders(members);
  std::reverse(members.begin(), members.end());
  CHECK(LogReaders(members) == readers);
}

TEST_CASE("when a reader goes only its own place changes") {
  auto members = Members(4, 22);
  const auto before = LogReaders(members);
  std::erase(members, before.front());
  const auto after = LogReaders(members);
  REQUIRE(after.size() == before.size());
  const auto kept = std::count_if(
      before.begin(), before.end(), [&after](const MemberInfo& reader) {
        return std::find(after.begin(), after.end(), reader) != after.end();
      });
  CHECK(kept == 3);
}

TEST_CASE("the reader of the own zone is asked first, the others in turn") {
  // A reader that dies leaves two dozen listeners behind. If all of them fell
  // back to the same reader, it would serve twice as many and might fail next.
  const auto members = Members(4, 22);
  const auto readers = LogReaders(members);
  std::map<EntryId, int> second;
  for (const MemberInfo& member : members) {
    const auto order = ReaderOrderFor(member, readers);
    REQUIRE(order.size() == readers.size());
    CHECK(order.front().zone == member.zone);
    ++second[order[1].id];
  }
  for (const auto& [id, times] : second)
    CHECK(times < 44);
}

}  // namespace
}  // namespace carobshift
