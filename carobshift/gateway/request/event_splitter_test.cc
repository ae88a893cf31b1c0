#include "carobshift/gateway/request/event_splitter.h"

#include <catch2/catch.hpp>
#include <memory>
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
    const bool sound =
        splitter.Feed(stream.substr(at, piece), [&](const StreamEvent& event) {
          joined += event.bytes;
          numbers.push_back(event.number.value_or(EventNumber(0)).value());
        });
    REQUIRE(sound);
  }
  CHECK(joined == stream);
  CHECK(numbers == std::vector<std::uint64_t>{1, 2, 0});
  CHECK(splitter.at_boundary());
  REQUIRE(splitter.Feed("id: 4\nda", [](const StreamEvent&) { FAIL(); }));
  CHECK_FALSE(splitter.at_boundary());
}

// Guards against an event without an end that fills the memory, and that is
// searched again with each read.
TEST_CASE("an event without end is given up at its limit") {
  constexpr std::size_t kRead = std::size_t{16} << 10;
  for (const std::string& piece :
       {std::string(kRead, 'x'), std::string("data: x\n") + "data: y\n"}) {
    EventSplitter splitter;
    std::size_t fed = 0;
    bool sound = true;
    while (sound && fed <= 2 * EventSplitter::kMaxEventBytes) {
      sound = splitter.Feed(piece, [](const StreamEvent&) { FAIL(); });
      fed += piece.size();
    }
    CHECK_FALSE(sound);
    CHECK(fed <= EventSplitter::kMaxEventBytes + piece.size());
  }
}

// Guards against many events without an end that fill the memory together.
TEST_CASE("events without an end hold no more than the budget in sum") {
  constexpr std::size_t kLimit = std::size_t{4} << 20;
  const std::string piece(std::size_t{16} << 10, 'x');
  ByteBudget budget(kLimit);
  {
    std::vector<std::unique_ptr<EventSplitter>> splitters;
    for (int i = 0; i < 60; ++i)
      splitters.push_back(std::make_unique<EventSplitter>(&budget));
    int refused = 0;
    for (int read = 0; read < 40; ++read) {
      for (auto& splitter : splitters) {
        if (splitter == nullptr)
          continue;
        const bool sound =
            splitter->Feed(piece, [](const StreamEvent&) { FAIL(); });
        CHECK(budget.held() <= kLimit);
        if (!sound) {
          ++refused;
          splitter = nullptr;
        }
      }
    }
    CHECK(refused > 0);
    CHECK(refused < 60);
    // One in order goes on beside them.
    EventSplitter sound(&budget);
    CHECK(sound.Feed("id: 1\nda", [](const StreamEvent&) {}));
  }
  CHECK(budget.held() == 0);
}

TEST_CASE("an event that ends or is dropped gives its bytes back") {
  ByteBudget budget(std::size_t{1} << 20);
  EventSplitter splitter(&budget);
  REQUIRE(splitter.Feed("data: " + std::string(5000, 'x'),
                        [](const StreamEvent&) { FAIL(); }));
  CHECK(budget.held() >= 5000);
  SECTION("ends") {
    REQUIRE(splitter.Feed("\n\n", [](const StreamEvent&) {}));
  }
  SECTION("is dropped") {
    splitter.DropPartial();
  }
  CHECK(budget.held() < 100);
}

// Guards against sound streams that end since others fill the budget.
TEST_CASE("a sound stream goes on while the budget is full") {
  ByteBudget budget(std::size_t{1} << 20);
  ByteReservation required(&budget, ByteImportance::kRequired);
  REQUIRE(required.GrowTo(budget.limit()));
  EventSplitter splitter(&budget);
  int events = 0;
  const auto count = [&events](const StreamEvent&) { ++events; };
  for (int i = 0; i < 3; ++i) {
    REQUIRE(splitter.Feed("id: 1\ndata: to", count));
    REQUIRE(splitter.Feed("ken\n\n", count));
  }
  CHECK(events == 3);
}

TEST_CASE("a long stream of sound events passes whole") {
  const std::string event = "id: 1\ndata: " + std::string(1000, 'x') + "\n\n";
  EventSplitter splitter;
  std::size_t passed = 0;
  const std::size_t count = (std::size_t{64} << 20) / event.size();
  for (std::size_t i = 0; i < count; ++i) {
    const auto on_event = [&passed](const StreamEvent& one) {
      passed += one.bytes.size();
    };
    REQUIRE(splitter.Feed(event.substr(0, 700), on_event));
    REQUIRE(splitter.Feed(event.substr(700), on_event));
  }
  CHECK(passed == count * event.size());
  CHECK(splitter.at_boundary());
}

}  // namespace
}  // namespace carobshift
