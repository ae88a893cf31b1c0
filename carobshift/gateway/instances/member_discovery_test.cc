#include "carobshift/gateway/instances/member_discovery.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};

MonotonicTime After(int milliseconds) {
  return kStart + Milliseconds(milliseconds);
}

// Guards against instances that start together and each read the cache events
// of all endpoints, as if they were alone.
TEST_CASE("members are settled once no new one is found for a while") {
  MemberDiscovery discovery;
  CHECK_FALSE(discovery.IsSettled(kStart));
  discovery.OnMembers(1, kStart);
  discovery.OnMembers(3, After(200));
  discovery.OnMembers(40, After(450));
  CHECK_FALSE(discovery.IsSettled(After(700)));
  CHECK(discovery.IsSettled(After(750)));
}

TEST_CASE("an instance that finds nobody, or ever more, settles in time") {
  MemberDiscovery alone;
  alone.OnMembers(1, kStart);
  CHECK_FALSE(alone.IsSettled(After(1900)));
  CHECK(alone.IsSettled(After(2000)));
  MemberDiscovery growing;
  for (int i = 0; i < 20; ++i)
    growing.OnMembers(static_cast<std::size_t>(i), After(100 * i));
  CHECK(growing.IsSettled(After(2000)));
}

TEST_CASE("settled members stay settled when further ones start") {
  MemberDiscovery discovery;
  discovery.OnMembers(6, kStart);
  discovery.OnMembers(6, After(300));
  discovery.OnMembers(9, After(400));
  CHECK(discovery.IsSettled(After(401)));
}

}  // namespace
}  // namespace carobshift
