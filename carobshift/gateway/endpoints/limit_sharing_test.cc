#include "carobshift/gateway/endpoints/limit_sharing.h"

#include <catch2/catch.hpp>
#include <limits>

namespace carobshift {
namespace {

TEST_CASE("limit updates round-trip, and malformed ones are refused") {
  const std::vector<LimitUpdate> sent = {
      {77, EndpointStartTime(5), RequestRate(2.6), Milliseconds(120)},
      {78, EndpointStartTime(6), std::nullopt, Milliseconds(0)}};
  const auto decoded = DecodeLimitUpdates(EncodeLimitUpdates(sent));
  REQUIRE(decoded.ok());
  REQUIRE(decoded.value().size() == 2);
  CHECK(decoded.value()[0].endpoint == 77);
  CHECK(decoded.value()[0].start_time == EndpointStartTime(5));
  CHECK(decoded.value()[0].rate == RequestRate(2.6));
  CHECK(decoded.value()[0].age == Milliseconds(120));
  CHECK_FALSE(decoded.value()[1].rate.has_value());
  // The datagram has other contents or was truncated.
  const std::string complete = EncodeLimitUpdates(sent);
  CHECK_FALSE(DecodeLimitUpdates("").ok());
  CHECK_FALSE(DecodeLimitUpdates(complete.substr(0, complete.size() - 3)).ok());
  const double none = std::numeric_limits<double>::quiet_NaN();
  CHECK_FALSE(
      DecodeLimitUpdates(EncodeLimitUpdates({{77, {}, RequestRate(none), {}}}))
          .ok());
  CHECK_FALSE(
      DecodeLimitUpdates(EncodeLimitUpdates({{77, {}, RequestRate(-1), {}}}))
          .ok());
}

TEST_CASE("a datagram of news stays small") {
  const std::vector<LimitUpdate> most(
      LimitSharing::kMaxUpdatesPerDatagram,
      {77, EndpointStartTime(5), RequestRate(2.6), Milliseconds(120)});
  constexpr std::size_t kMaxPayloadBytes = 1200;
  CHECK(EncodeLimitUpdates(most).size() <= kMaxPayloadBytes);
}

}  // namespace
}  // namespace carobshift
