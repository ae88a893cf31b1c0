#include "carobshift/cache/conversation_table.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(1000)};

ConversationKey Key(const std::string& account, const std::string& id) {
  return {AccountId(account), ConversationId(id)};
}

double Probability(const GapModel& population,
                   const GapHistory& own,
                   Seconds idle,
                   Seconds from,
                   Seconds until) {
  return ForecastReturn(population, own, idle, from, until).probability;
}

}  // namespace

TEST_CASE("the conversation not seen for longest gives way, with its handles") {
  ConversationTable table(ConversationTableOptions{2});
  CHECK(table.OnTurn(Key("a", "1"), kStart).empty());
  CHECK(table.AddHandle(Key("a", "1"), HandleId(11)).empty());
  CHECK(table.OnTurn(Key("a", "2"), kStart + Seconds(1)).empty());
  CHECK(table.OnTurn(Key("a", "3"), kStart + Seconds(2)) ==
        std::vector{HandleId(11)});
  CHECK(table.Find(Key("a", "1")) == nullptr);
  CHECK(table.size() == 2);
  // A handle whose export ended after the eviction is returned immediately.
  CHECK(table.AddHandle(Key("a", "1"), HandleId(12)) ==
        std::vector{HandleId(12)});
}

// Guards against the eviction of returning conversations by a crawler that
// opens a new conversation with each request. The table prevents it by two
// segments.
TEST_CASE("a flood of new conversations leaves the returning ones alone") {
  ConversationTable table(ConversationTableOptions{10});
  for (int turn = 0; turn < 2; ++turn) {
    for (int i = 0; i < 5; ++i)
      CHECK(table.OnTurn(Key("a", std::to_string(i)), kStart).empty());
  }
  for (int i = 0; i < 100; ++i)
    CHECK(table.OnTurn(Key("flood", std::to_string(i)), kStart).empty());
  CHECK(table.size() == 10);
  for (int i = 0; i < 5; ++i)
    CHECK(table.Find(Key("a", std::to_string(i))) != nullptr);
  // Returning conversations don't fill the table either.
  for (int turn = 0; turn < 2; ++turn) {
    for (int i = 0; i < 20; ++i)
      CHECK(table.OnTurn(Key("b", std::to_string(i)), kStart).empty());
  }
  CHECK(table.size() == 10);
}

// Guards against a lookup that finds the handles of another client account
// which uses the same conversation id, possibly on purpose.
TEST_CASE("equal conversation ids of two accounts share nothing") {
  ConversationTable table(ConversationTableOptions{});
  CHECK(table.OnTurn(Key("a", "same"), kStart).empty());
  CHECK(table.AddHandle(Key("a", "same"), HandleId(1)).empty());
  CHECK(table.Find(Key("b", "same")) == nullptr);
  CHECK(table.OnTurn(Key("b", "same"), kStart).empty());
  CHECK(table.Find(Key("b", "same"))->handles.empty());
}

TEST_CASE("a conversation keeps its newest handles only") {
  ConversationTable table(ConversationTableOptions{});
  CHECK(table.OnTurn(Key("a", "1"), kStart).empty());
  for (std::uint64_t id = 1; id <= kMaxHandlesPerConversation; ++id)
    CHECK(table.AddHandle(Key("a", "1"), HandleId(id)).empty());
  CHECK(table.AddHandle(Key("a", "1"), HandleId(9)) ==
        std::vector{HandleId(1)});
  CHECK(table.Find(Key("a", "1"))->handles.size() ==
        kMaxHandlesPerConversation);
}

TEST_CASE("own gaps outweigh the population's, and idle time counts") {
  GapModel population;
  for (int i = 0; i < 1000; ++i)
    population.RecordAbandoned();
  const Seconds day(86400);
  const GapHistory none;
  CHECK(Probability(population, none, Seconds(0), Seconds(600), 7 * day) <
        0.02);
  GapHistory daily;
  GapHistory hourly;
  for (int i = 0; i < 8; ++i) {
    daily.Record(day);
    hourly.Record(Seconds(3600));
  }
  const auto per_second = [&](const GapHistory& own) {
    return ForecastReturn(population, own, Seconds(0), Seconds(600), 7 * day)
        .per_second;
  };
  CHECK(per_second(hourly) > 10 * per_second(daily));
  CHECK(Probability(population, daily, Seconds(0), Seconds(600), 7 * day) >
        0.6);
  // Idle for much longer than ever before: the conversation is probably over.
  CHECK(Probability(population, daily, 4 * day, Seconds(600), 7 * day) < 0.02);
  CHECK(Probability(population, daily, 8 * day, Seconds(600), 7 * day) == 0.0);
}

}  // namespace carobshift
