#include "carobshift/gateway/endpoints/cold_start_sharing.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const ColdStartUpdate kUpdate{EndpointId("e1"), EndpointStartTime(7),
                              Milliseconds(2500)};

TEST_CASE("cold times are decoded as they were encoded") {
  const std::vector<ColdStartUpdate> updates = {
      kUpdate, {EndpointId("e2"), EndpointStartTime(0), Milliseconds(1)}};
  const auto decoded = DecodeColdStartUpdates(EncodeColdStartUpdates(updates));
  REQUIRE(decoded.ok());
  CHECK(decoded.value() == updates);
}

TEST_CASE("a cold time that is cut off or negative is refused") {
  const std::string whole = EncodeColdStartUpdates({kUpdate});
  for (std::size_t size = 0; size < whole.size(); ++size)
    CHECK_FALSE(DecodeColdStartUpdates(whole.substr(0, size)).ok());
  ColdStartUpdate negative = kUpdate;
  negative.remaining = Milliseconds(-1);
  CHECK_FALSE(DecodeColdStartUpdates(EncodeColdStartUpdates({negative})).ok());
}

}  // namespace
}  // namespace carobshift
