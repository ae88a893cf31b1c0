// Tests that run at the same time don't take each other's ports.

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <catch2/catch.hpp>

#include "testing/gateway_cluster.h"
#include "testing/port_block.h"

namespace carobshift {
namespace {

TEST_CASE("ports: two clusters at once have ports of their own") {
  // Guards against a gateway of one test that can't start, as another test's
  // gateway listens on its port.
  GatewayCluster first({.gateways = 1, .engines = 0, .plain_services = 1});
  GatewayCluster second({.gateways = 1, .engines = 0, .plain_services = 1});
  CHECK(first.FrontAddress(0).port != second.FrontAddress(0).port);
  CHECK(first.Send(0, "POST", "/book/1").status == 200);
  CHECK(second.Send(0, "POST", "/book/1").status == 200);
}

TEST_CASE("ports: a block has no port on which another process listens") {
  // Guards against the same where that process doesn't use blocks.
  const std::string host = "127.0.1.1";
  std::uint16_t last_port = 0;
  {
    const PortBlock ports({host});
    last_port =
        static_cast<std::uint16_t>(ports.first() + PortBlock::kSize - 1);
  }
  const Poco::Net::ServerSocket listener(
      Poco::Net::SocketAddress(host, last_port));
  const PortBlock ports({host});
  CHECK((last_port < ports.first() ||
         last_port >= ports.first() + PortBlock::kSize));
}

}  // namespace
}  // namespace carobshift
