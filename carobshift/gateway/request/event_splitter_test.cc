#include "carobshift/gateway/request/event_splitter.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace carobshift {
namespace {

TEST_CASE("events are cut at their empty lines, however the bytes come") {
  const std::string stream =
      "id: 1\ndata: a\n\nversion: 3\nid: 2\ndata: b\r\n\r\ndata: no id\n\n";
  const auto piece = GENERATE(as<std::size_t>{}, 1, 3, 1000);
  EventSplitter splitter;
  std::string joined;
  std::vector<std::uint64_t> numbers;
  for (std::size_t at = 0; at < stream.size(); at += piece) {
    splitter.Feed(stream.substr(at, piece), [&](const StreamEvent& event) {
      joined += event.bytes;
      numbers.push_back(event.number.value_or(EventNumber(0)).value());
    });
  }
  CHECK(joined == stream);
  CHECK(numbers == std::vector<std::uint64_t>{1, 2, 0});
  CHECK(splitter.at_boundary());
  splitter.Feed("id: 4\nda", [](const StreamEvent&) { FAIL(); });
  CHECK_FALSE(splitter.at_boundary());
}

}  // namespace
}  // namespace carobshift
