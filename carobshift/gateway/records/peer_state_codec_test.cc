#include "carobshift/gateway/records/peer_state_codec.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

TEST_CASE("peer state round-trips, including removed records") {
  const PeerState state{{{"config", "{}", LogOffset(7)}},
                        {{"e1", std::nullopt, LogOffset(9)},
                         {"e2", std::string("a\0b", 3), LogOffset(3)}},
                        {LogOffset(8), LogOffset(10)}};
  const auto decoded =
      DecodePeerState(EncodePeerState(state, "secret"), "secret");
  REQUIRE(decoded.ok());
  REQUIRE(decoded.value().operator_records.size() == 1);
  CHECK(decoded.value().operator_records[0].offset == LogOffset(7));
  REQUIRE(decoded.value().endpoint_records.size() == 2);
  CHECK_FALSE(decoded.value().endpoint_records[0].value.has_value());
  CHECK(decoded.value().endpoint_records[1].value == std::string("a\0b", 3));
  CHECK(decoded.value().next.operators == LogOffset(8));
  CHECK(decoded.value().next.endpoints == LogOffset(10));
}

TEST_CASE("a state of anybody else is refused") {
  // Otherwise any process that can reach the port could supply keys and routes.
  std::string bytes = EncodePeerState({}, "secret");
  CHECK_FALSE(DecodePeerState(bytes, "other").ok());
  CHECK_FALSE(DecodePeerState("", "secret").ok());
  bytes.back() = static_cast<char>(bytes.back() ^ 1);
  CHECK_FALSE(DecodePeerState(bytes, "secret").ok());
}

}  // namespace
}  // namespace carobshift
