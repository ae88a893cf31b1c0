#include "carobshift/gateway/records/stream_positions.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

TEST_CASE("positions round-trip through a path") {
  const auto read =
      ParsePathSuffix(ToPathSuffix({LogOffset(7), LogOffset(12)}));
  REQUIRE(read);
  CHECK(read->operators == LogOffset(7));
  CHECK(read->endpoints == LogOffset(12));
}

TEST_CASE("a path's end that tells no two positions is refused") {
  for (const char* text : {"", "/", "/1", "/1/", "1/2", "/1/2/", "/1/2x",
                           "/a/2", "/-1/2", "/1/99999999999999999999"}) {
    INFO(text);
    CHECK_FALSE(ParsePathSuffix(text));
  }
}

}  // namespace
}  // namespace carobshift
