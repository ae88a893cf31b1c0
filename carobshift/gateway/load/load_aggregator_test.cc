#include "carobshift/gateway/load/load_aggregator.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};
constexpr std::uint64_t kEngine = 77;
const Incarnation kFirst(1);
const Incarnation kSecond(2);

LoadUpdate Update(Incarnation sender,
                  std::uint64_t sequence,
                  double prefill_tokens) {
  return {sender, sequence, kEngine, {1000, 1, prefill_tokens}};
}

std::vector<MemberInfo> Members(int count) {
  std::vector<MemberInfo> members;
  for (int i = 0; i < count; ++i)
    members.emplace_back().id = EntryId("entry-" + std::to_string(i));
  return members;
}

TEST_CASE("an aggregator sums the loads of all other instances") {
  LoadAggregator load_aggregator;
  load_aggregator.OnUpdate(Update(kFirst, 1, 500), kStart);
  load_aggregator.OnUpdate(Update(kSecond, 1, 700), kStart);
  CHECK(
      load_aggregator.Others(kEngine, Incarnation(9), kStart).prefill_tokens ==
      Approx(1200));
  CHECK(load_aggregator.Others(kEngine, Incarnation(9), kStart).requests ==
        Approx(2));
  // The requester knows its own load more precisely.
  CHECK(load_aggregator.Others(kEngine, kFirst, kStart).prefill_tokens ==
        Approx(700));
  CHECK(load_aggregator.Others(kEngine + 1, kFirst, kStart).requests ==
        Approx(0));
}

TEST_CASE("an update that comes late or was lost leaves no trace") {
  // Datagrams are reordered and get lost. Differences would add up to a load
  // that doesn't exist, and an idle engine would permanently get no work.
  LoadAggregator load_aggregator;
  load_aggregator.OnUpdate(Update(kFirst, 3, 0), kStart);
  load_aggregator.OnUpdate(Update(kFirst, 2, 9000), kStart);
  CHECK(load_aggregator.Others(kEngine, kSecond, kStart).prefill_tokens ==
        Approx(0));
  load_aggregator.OnUpdate(Update(kFirst, 5, 400), kStart);
  CHECK(load_aggregator.Others(kEngine, kSecond, kStart).prefill_tokens ==
        Approx(400));
}

TEST_CASE("aggregators expire the load of a dead instance") {
  // The last update of a dead instance says that an engine is busy. Without an
  // expiry the engine would be avoided although its requests have ended.
  LoadAggregator load_aggregator;
  load_aggregator.OnUpdate(Update(kFirst, 1, 9000), kStart);
  const MonotonicTime later = kStart + LoadAggregator::kMaxAge;
  CHECK(load_aggregator.Others(kEngine, kSecond, later - Milliseconds(1))
            .prefill_tokens == Approx(9000));
  CHECK(load_aggregator.Others(kEngine, kSecond, later).prefill_tokens ==
        Approx(0));
  load_aggregator.Expire(later);
  // After expiry an update with the same sequence number is accepted.
  load_aggregator.OnUpdate(Update(kFirst, 1, 300), later);
  CHECK(load_aggregator.Others(kEngine, kSecond, later).prefill_tokens ==
        Approx(300));
}

TEST_CASE(
    "all instances choose the same aggregator, and aggregators share the "
    "work") {
  const auto members = Members(60);
  std::vector<MemberInfo> fewer(members.begin(), members.end() - 1);
  std::set<EntryId> aggregators;
  int moved = 0;
  for (std::uint64_t engine = 0; engine < 90; ++engine) {
    const std::uint64_t hash = FastHash(std::to_string(engine));
    const EntryId aggregator = FindLoadAggregator(hash, members)->id;
    aggregators.insert(aggregator);
    // Only endpoints that the removed member aggregated move.
    if (FindLoadAggregator(hash, fewer)->id != aggregator)
      ++moved;
    CHECK((FindLoadAggregator(hash, fewer)->id == aggregator ||
           aggregator == members.back().id));
  }
  CHECK(aggregators.size() > 30);
  CHECK(moved < 8);
  CHECK(FindLoadAggregator(1, {}) == nullptr);
}

}  // namespace
}  // namespace carobshift
