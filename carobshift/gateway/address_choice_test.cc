#include "carobshift/gateway/address_choice.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace carobshift {
namespace {

MemberInfo MemberOf(const std::string& zone, std::uint16_t port) {
  MemberInfo member;
  member.zone = ZoneName(zone);
  member.host = "10.0.0.1";
  member.http_port = port;
  return member;
}

TEST_CASE("callers are told the instances of their zone, if it has enough") {
  const std::vector<MemberInfo> serving = {MemberOf("a", 1), MemberOf("a", 2),
                                           MemberOf("b", 3)};
  CHECK(ChooseAddresses(serving, ZoneName("a")).size() == 2);
  CHECK(ChooseAddresses(serving, ZoneName("b")).size() == 3);
  CHECK(ChooseAddresses(serving, ZoneName("elsewhere")).size() == 3);
  CHECK(ChooseAddresses({}, ZoneName("a")).empty());
}

}  // namespace
}  // namespace carobshift
