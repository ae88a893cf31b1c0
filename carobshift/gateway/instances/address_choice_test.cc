#include "carobshift/gateway/instances/address_choice.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace carobshift {
namespace {

const ZoneRegions kRegions{{{ZoneName("a"), RegionName("west")},
                            {ZoneName("b"), RegionName("west")},
                            {ZoneName("c"), RegionName("north")}}};

MemberInfo MemberOf(const std::string& zone, std::uint16_t port) {
  MemberInfo member;
  member.zone = ZoneName(zone);
  member.host = "10.0.0.1";
  member.http_port = port;
  return member;
}

// Returns the ports of the chosen addresses.
std::vector<int> Choose(const std::vector<MemberInfo>& serving,
                        const AddressQuestion& question,
                        const std::vector<RegionName>& allowed = {}) {
  std::vector<int> ports;
  for (const NetAddress& address :
       ChooseAddresses(serving, question, allowed, kRegions))
    ports.push_back(address.port);
  return ports;
}

AddressQuestion From(const std::string& zone, const std::string& region = "") {
  return {.host = "a.example",
          .region = RegionName(region),
          .zone = ZoneName(zone)};
}

TEST_CASE("callers are told the instances of their zone, if it has enough") {
  const std::vector<MemberInfo> serving = {MemberOf("a", 1), MemberOf("a", 2),
                                           MemberOf("b", 3)};
  CHECK(Choose(serving, From("a")) == std::vector{1, 2});
  CHECK(Choose(serving, From("b")) == std::vector{1, 2, 3});
  CHECK(Choose(serving, From("elsewhere")) == std::vector{1, 2, 3});
  CHECK(Choose({}, From("a")).empty());
}

// Guards against bodies that leave the caller's region while it has instances.
TEST_CASE("callers are told instances of their region before any other") {
  const std::vector<MemberInfo> serving = {MemberOf("a", 1), MemberOf("c", 2),
                                           MemberOf("c", 3)};
  CHECK(Choose(serving, From("a")) == std::vector{1});
  CHECK(Choose(serving, From("b")) == std::vector{1});
  CHECK(Choose(serving, From("unlisted", "north")) == std::vector{2, 3});
}

// Guards against bodies that go to a region that their route doesn't allow.
TEST_CASE("without instances in its region a caller is told allowed ones") {
  const std::vector<MemberInfo> serving = {MemberOf("c", 1), MemberOf("c", 2)};
  CHECK(Choose(serving, From("a")) == std::vector{1, 2});
  CHECK(Choose(serving, From("a"), {RegionName("north")}) == std::vector{1, 2});
  CHECK(Choose(serving, From("a"), {RegionName("west")}).empty());
}

TEST_CASE("a host allows the regions that all its bound routes allow") {
  ServingConfig config;
  const auto add = [&config](const std::string& host,
                             std::vector<RegionName> regions) {
    Route route;
    route.host = host;
    route.allowed_regions = std::move(regions);
    config.routes.push_back(route);
  };
  const RegionName west("west");
  const RegionName north("north");
  add("a.example", {west, north});
  add("a.example", {});
  add("a.example", {north});
  add("b.example", {});
  CHECK(RegionsOfHost(config, "a.example") == std::vector{north});
  CHECK(RegionsOfHost(config, "b.example").empty());
  CHECK(RegionsOfHost(config, "unknown.example").empty());
}

}  // namespace
}  // namespace carobshift
