#include "carobshift/membership/entry_ranking.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace carobshift {
namespace {

std::vector<MemberInfo> Entries(int count) {
  std::vector<MemberInfo> entries;
  for (int i = 0; i < count; ++i) {
    entries.push_back({.id = EntryId("entry-" + std::to_string(i)),
                       .zone = ZoneName("zone-" + std::to_string(i % 3))});
  }
  return entries;
}

RankingKey Conversation(int number) {
  return {.account = AccountId("north"),
          .conversation = ConversationId("c" + std::to_string(number))};
}

TEST_CASE("the caller's availability zone comes first") {
  RankingKey key = Conversation(1);
  key.zone = ZoneName("zone-1");
  const auto ranked = RankEntries(key, Entries(9), 4);
  REQUIRE(ranked.size() == 4);
  for (int i = 0; i < 3; ++i)
    CHECK(ranked[static_cast<std::size_t>(i)].zone == key.zone);
  CHECK(ranked[3].zone != key.zone);
}

TEST_CASE("the order of the members does not matter") {
  std::vector<MemberInfo> entries = Entries(7);
  const auto ranked = RankEntries(Conversation(3), entries, 7);
  std::reverse(entries.begin(), entries.end());
  CHECK(RankEntries(Conversation(3), entries, 7) == ranked);
}

// When an entry dies, only its own conversations may move. Any other that moves
// loses the entry that holds the directory of its blocks.
TEST_CASE("only the conversations of a lost entry move") {
  const std::vector<MemberInfo> before = Entries(7);
  const std::vector<MemberInfo> after(before.begin(), before.end() - 1);
  std::map<EntryId, int> load;
  for (int i = 0; i < 700; ++i) {
    const EntryId first = RankEntries(Conversation(i), before, 1)[0].id;
    ++load[first];
    if (first != before.back().id)
      CHECK(RankEntries(Conversation(i), after, 1)[0].id == first);
  }
  for (const auto& [id, count] : load)
    CHECK((count > 60 && count < 140));
}

}  // namespace
}  // namespace carobshift
