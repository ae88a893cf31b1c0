#include "carobshift/membership/fact_table.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};

Fact Leaving(const std::string& endpoint, Milliseconds remaining) {
  return {.kind = FactKind::kEndpointLeaving,
          .subject = endpoint,
          .remaining = remaining};
}

TEST_CASE("a fact holds until it expires") {
  FactTable table;
  CHECK(table.Publish(Leaving("engine-1", Seconds(10)), kStart));
  CHECK(table.HasActive(FactKind::kEndpointLeaving, "engine-1",
                        kStart + Seconds(9)));
  CHECK_FALSE(table.HasActive(FactKind::kEndpointLeaving, "engine-1",
                              kStart + Seconds(10)));
  table.Expire(kStart + Seconds(10));
  CHECK(table.size() == 0);
}

TEST_CASE("a later version withdraws a drain, an earlier one does not") {
  FactTable table;
  Fact drain{.kind = FactKind::kEndpointDraining,
             .subject = "engine-1",
             .version = {.term = 4, .counter = 2},
             .active = false,
             .remaining = Seconds(60)};
  table.Publish(drain, kStart);
  drain.version.counter = 1;
  drain.active = true;
  CHECK_FALSE(table.Publish(drain, kStart));
  CHECK(table.Active(FactKind::kEndpointDraining, kStart).empty());
  drain.version = {.term = 5, .counter = 0};
  CHECK(table.Publish(drain, kStart));
  CHECK(table.Active(FactKind::kEndpointDraining, kStart).size() == 1);
}

// Two entries repeat a fact to each other, and every hop adds its transit time.
// If that extended the fact, an endpoint would never get new work again.
TEST_CASE("echoes of a fact do not extend it") {
  FactTable table;
  table.Publish(Leaving("engine-1", Seconds(10)), kStart);
  for (int i = 1; i < 10; ++i)
    CHECK_FALSE(table.Publish(Leaving("engine-1", Seconds(10)),
                              kStart + Milliseconds(500 * i)));
  CHECK_FALSE(table.HasActive(FactKind::kEndpointLeaving, "engine-1",
                              kStart + Seconds(10)));
}

TEST_CASE("the table stays bounded and keeps what lasts longest") {
  FactTable table;
  for (std::size_t i = 0; i < FactTable::kMaxFacts + 10; ++i) {
    table.Publish(
        Leaving("engine-" + std::to_string(i), Seconds(10) + Milliseconds(i)),
        kStart);
  }
  CHECK(table.size() == FactTable::kMaxFacts);
  CHECK_FALSE(table.HasActive(FactKind::kEndpointLeaving, "engine-0", kStart));
}

TEST_CASE("a datagram takes what was sent least, within its budget") {
  FactTable table;
  table.Publish(Leaving("engine-1", Seconds(10)), kStart);
  CHECK(table.TakeForDatagram(400, 2, kStart).size() == 1);
  table.Publish(Leaving("engine-2", Seconds(10)), kStart);
  const std::vector<Fact> taken = table.TakeForDatagram(40, 2, kStart);
  REQUIRE(taken.size() == 1);
  CHECK(taken.front().subject == "engine-2");
  CHECK(table.TakeForDatagram(400, 2, kStart).size() == 2);
  CHECK(table.TakeForDatagram(400, 2, kStart).empty());
}

TEST_CASE(
    "a new member receives all facts in rotation, except those that expire "
    "soon") {
  FactTable table;
  for (const char* engine : {"engine-1", "engine-2", "engine-3"}) {
    table.Publish(Leaving(engine, Seconds(30)), kStart);
    CHECK(table.TakeForDatagram(400, 1, kStart).size() == 1);
  }
  table.Publish(Leaving("engine-4", FactTable::kMinExtension), kStart);
  CHECK(table.TakeForDatagram(400, 1, kStart).size() == 1);
  CHECK(table.TakeForDatagram(400, 1, kStart).empty());
  std::vector<std::string> sent_subjects;
  for (int i = 0; i < 4; ++i) {
    for (const Fact& fact : table.TakeForNewMember(40, 1, kStart))
      sent_subjects.push_back(fact.subject);
  }
  CHECK(sent_subjects == std::vector<std::string>{"engine-1", "engine-2",
                                                  "engine-3", "engine-1"});
  // New facts come first, and a datagram contains no fact twice.
  table.Publish(Leaving("engine-5", Seconds(30)), kStart);
  CHECK(table.TakeForNewMember(40, 1, kStart).front().subject == "engine-5");
  CHECK(table.TakeForNewMember(400, 1, kStart).size() == 4);
}

}  // namespace
}  // namespace carobshift
