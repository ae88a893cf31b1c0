#include "carobshift/base/net_address.h"

#include <catch2/catch.hpp>

namespace carobshift {

TEST_CASE("an address is a host and a port from 1 to 65535") {
  const auto address = ParseNetAddress("127.0.0.1:8080");
  REQUIRE(address);
  CHECK(address->ToString() == "127.0.0.1:8080");
  CHECK_FALSE(ParseNetAddress("127.0.0.1"));
  CHECK_FALSE(ParseNetAddress(":80"));
  CHECK_FALSE(ParseNetAddress("h:0"));
  CHECK_FALSE(ParseNetAddress("h:65536"));
  CHECK_FALSE(ParseNetAddress("h:80x"));
}

}  // namespace carobshift
