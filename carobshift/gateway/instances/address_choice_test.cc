#include "carobshift/gateway/instances/address_choice.h"

#include <catch2/catch.hpp>
#include <set>
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

// Returns the ports of the chosen addresses. Those in `isolated` are only told
// if no others are left.
std::vector<int> Choose(const std::vector<MemberInfo>& serving,
                        const AddressQuestion& question,
                        const std::vector<RegionName>& allowed = {},
                        const std::set<int>& isolated = {}) {
  std::vector<int> ports;
  const auto may_be_told = [&isolated](const MemberInfo& member) {
    return !isolated.contains(member.http_port);
  };
  for (const NetAddress& address :
       ChooseAddresses(serving, question, allowed, kRegions, may_be_told))
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

// Guards against callers that are sent to instances which can't serve them.
TEST_CASE("instances that reach no endpoint are left out of the answers") {
  const std::vector<MemberInfo> serving = {MemberOf("a", 1), MemberOf("a", 2),
                                           MemberOf("a", 3), MemberOf("b", 4),
                                           MemberOf("c", 5)};
  CHECK(Choose(serving, From("a"), {}, {2}) == std::vector{1, 3});
  CHECK(Choose(serving, From("a"), {}, {1, 2}) == std::vector{3, 4});
  CHECK(Choose(serving, From("a"), {}, {1, 2, 3}) == std::vector{4});
}

// Guards against answers without an address, or with one in another region,
// when the endpoints are down and no instance reaches them.
TEST_CASE("a loss at all instances changes no answer") {
  const std::vector<MemberInfo> serving = {MemberOf("a", 1), MemberOf("a", 2),
                                           MemberOf("b", 3), MemberOf("c", 4)};
  CHECK(Choose(serving, From("a"), {}, {1, 2, 3}) == std::vector{1, 2});
  CHECK(Choose(serving, From("b"), {}, {1, 2, 3}) == std::vector{1, 2, 3});
  CHECK(Choose({MemberOf("c", 1), MemberOf("c", 2)}, From("a"), {}, {1, 2}) ==
        std::vector{1, 2});
}

TEST_CASE("a host uses the services of all its routes") {
  ServingConfig config;
  for (const char* const service : {"engines", "booking"}) {
    Route route;
    route.host = "a.example";
    route.services.push_back({ServiceName(service), 1});
    config.routes.push_back(route);
  }
  config.routes.push_back({});
  config.routes.back().host = "b.example";
  config.routes.back().services.push_back({ServiceName("other"), 1});
  CHECK(ServicesOfHost(config, "a.example") ==
        std::set{ServiceName("booking"), ServiceName("engines")});
  CHECK(ServicesOfHost(config, "c.example").empty());
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
