#include "carobshift/gateway/endpoints/rejection_sharing.h"

#include <catch2/catch.hpp>
#include <limits>

namespace carobshift {
namespace {

RejectionUpdates SomeUpdates() {
  RejectionUpdates updates;
  updates.limits = {
      {.service = 7, .limit = RequestRate(1.5), .age = Milliseconds(120)},
      {.service = 8, .limit = std::nullopt, .age = {}}};
  updates.rejections = {{.endpoint = 77,
                         .start_time = EndpointStartTime(5),
                         .age = Milliseconds(3)}};
  return updates;
}

TEST_CASE("rejection updates round-trip, and malformed ones are refused") {
  const std::string complete = EncodeRejectionUpdates(SomeUpdates());
  const auto decoded = DecodeRejectionUpdates(complete);
  REQUIRE(decoded.ok());
  REQUIRE(decoded.value().limits.size() == 2);
  CHECK(decoded.value().limits[0].service == 7);
  CHECK(decoded.value().limits[0].limit == RequestRate(1.5));
  CHECK(decoded.value().limits[0].age == Milliseconds(120));
  CHECK_FALSE(decoded.value().limits[1].limit.has_value());
  REQUIRE(decoded.value().rejections.size() == 1);
  CHECK(decoded.value().rejections[0].endpoint == 77);
  CHECK(decoded.value().rejections[0].start_time == EndpointStartTime(5));
  CHECK(decoded.value().rejections[0].age == Milliseconds(3));
  for (std::size_t size = 0; size < complete.size(); ++size) {
    INFO("cut to " << size);
    CHECK_FALSE(DecodeRejectionUpdates(complete.substr(0, size)).ok());
  }
  for (const double bad : {std::numeric_limits<double>::quiet_NaN(),
                           std::numeric_limits<double>::infinity(), -1.0}) {
    RejectionUpdates updates = SomeUpdates();
    updates.limits[0].limit = RequestRate(bad);
    CHECK_FALSE(DecodeRejectionUpdates(EncodeRejectionUpdates(updates)).ok());
  }
}

TEST_CASE("rejection updates are split into datagrams that stay small") {
  constexpr std::size_t kMost = RejectionSharing::kMaxUpdatesPerDatagram;
  constexpr std::size_t kMaxPayloadBytes = 1200;
  RejectionUpdates many;
  many.limits.resize(kMost + 5);
  many.rejections.resize(kMost);
  const auto parts = SplitRejectionUpdates(many, kMost);
  REQUIRE(parts.size() == 3);
  std::size_t limits = 0;
  std::size_t rejections = 0;
  for (const RejectionUpdates& part : parts) {
    limits += part.limits.size();
    rejections += part.rejections.size();
    CHECK(EncodeRejectionUpdates(part).size() <= kMaxPayloadBytes);
  }
  CHECK(limits == many.limits.size());
  CHECK(rejections == many.rejections.size());
  CHECK(SplitRejectionUpdates({}, kMost).empty());
}

}  // namespace
}  // namespace carobshift
