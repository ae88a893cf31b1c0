#include "carobshift/gateway/instances/peer_datagrams.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

TEST_CASE("a datagram tells its kind and payload") {
  const std::string bytes =
      SealDatagram(PeerDatagramKind::kCacheUpdate, "payload", "secret");
  const auto datagram = OpenDatagram(bytes, "secret");
  REQUIRE(datagram.has_value());
  CHECK(datagram->kind == PeerDatagramKind::kCacheUpdate);
  CHECK(datagram->payload == "payload");
}

TEST_CASE("a datagram tells whether it is to be passed on") {
  const std::string direct_bytes =
      SealDatagram(PeerDatagramKind::kCacheUpdate, "p", "secret");
  const auto direct_datagram = OpenDatagram(direct_bytes, "secret");
  REQUIRE(direct_datagram);
  CHECK(direct_datagram->relay == RelayScope::kNone);
  for (const RelayScope scope : {RelayScope::kGroup, RelayScope::kZone}) {
    const std::string relayed_bytes =
        SealDatagram(PeerDatagramKind::kCacheUpdate, "p", "secret", scope);
    const auto relayed_datagram = OpenDatagram(relayed_bytes, "secret");
    REQUIRE(relayed_datagram);
    CHECK(relayed_datagram->relay == scope);
    CHECK(relayed_datagram->kind == PeerDatagramKind::kCacheUpdate);
    CHECK(relayed_datagram->payload == "p");
  }
}

TEST_CASE("datagrams sealed with another secret are refused") {
  std::string bytes =
      SealDatagram(PeerDatagramKind::kLoadReport, "payload", "secret");
  CHECK_FALSE(OpenDatagram(bytes, "other").has_value());
  CHECK_FALSE(OpenDatagram("", "secret").has_value());
  CHECK_FALSE(OpenDatagram(bytes.substr(0, 36), "secret").has_value());
  bytes.back() = static_cast<char>(bytes.back() ^ 1);
  CHECK_FALSE(OpenDatagram(bytes, "secret").has_value());
}

}  // namespace
}  // namespace carobshift
