#include "carobshift/gateway/peer_datagrams.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

TEST_CASE("a datagram tells its kind and payload") {
  const std::string bytes =
      SealDatagram(PeerDatagramKind::kCacheNews, "payload", "secret");
  const auto datagram = OpenDatagram(bytes, "secret");
  REQUIRE(datagram.has_value());
  CHECK(datagram->kind == PeerDatagramKind::kCacheNews);
  CHECK(datagram->payload == "payload");
}

TEST_CASE("a datagram tells whether it is to be passed on") {
  const std::string once =
      SealDatagram(PeerDatagramKind::kCacheNews, "p", "secret");
  const auto plain = OpenDatagram(once, "secret");
  REQUIRE(plain);
  CHECK_FALSE(plain->pass_on);
  const std::string further = SealDatagram(PeerDatagramKind::kCacheNews, "p",
                                           "secret", /*pass_on=*/true);
  const auto passed = OpenDatagram(further, "secret");
  REQUIRE(passed);
  CHECK(passed->pass_on);
  CHECK(passed->kind == PeerDatagramKind::kCacheNews);
  CHECK(passed->payload == "p");
}

TEST_CASE("bytes of anybody else are refused") {
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
