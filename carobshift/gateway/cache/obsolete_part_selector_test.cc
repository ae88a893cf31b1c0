#include "carobshift/gateway/cache/obsolete_part_selector.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "carobshift/gateway/placement/attempt_planner.h"

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};
const MonotonicTime kFreeTime = kStart + ObsoletePartSelector::kFreeDelay;
const ModelName kModel("m1");
const CacheHolder kStore("store");

std::string Scope(std::uint64_t weights) {
  return CacheScope(kModel, WeightNumber(weights), {});
}

std::vector<ScopedEngine> Engines(std::vector<std::uint64_t> weights) {
  std::vector<ScopedEngine> engines;
  for (const std::uint64_t number : weights)
    engines.push_back({kModel, WeightNumber(number)});
  return engines;
}

// Returns the contents of a store that holds one session under each of the
// weights 1, 2 and 3.
CacheContents Stored(MonotonicTime heard) {
  CacheContents contents;
  StoreEvents events;
  events.epoch = 7;
  for (const std::uint64_t weights : {1, 2, 3})
    events.events.push_back({true, Scope(weights), "session", 8000});
  contents.OnEvents(kStore, events, heard);
  return contents;
}

TEST_CASE("a store full of replaced weights' parts has room again") {
  // Guards against a store that fills up with parts of replaced weights. Each
  // time the operator names new weights the sessions are stored anew, and
  // without freeing parts the store would be full after the third time.
  ObsoletePartSelector part_selector;
  part_selector.SetObsolete(ObsoleteScopes(Engines({3, 3, 3}), {}), kStart);
  const CacheContents contents = Stored(kFreeTime);
  const auto orders = part_selector.NextOrders({kStore}, contents, kFreeTime);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].store == kStore);
  CHECK(orders[0].epoch == 7);
  REQUIRE(orders[0].parts.size() == 2);
  for (const StoreEvent& part : orders[0].parts)
    CHECK(part.scope != Scope(3));
}

TEST_CASE("what some engine may still fetch is not freed") {
  // Guards against inconsistent KV data, with which a caller would receive text
  // of another session.
  ObsoletePartSelector part_selector;
  SECTION("an engine has the older weights") {
    part_selector.SetObsolete(ObsoleteScopes(Engines({3, 1, 3}), {}), kStart);
  }
  SECTION("an engine's weights aren't known") {
    auto engines = Engines({3, 3});
    engines.push_back({kModel, std::nullopt});
    part_selector.SetObsolete(ObsoleteScopes(engines, {}), kStart);
  }
  SECTION("the last older engine has changed only just now") {
    part_selector.SetObsolete(ObsoleteScopes(Engines({3, 3}), {}),
                              kStart + Milliseconds(1));
  }
  SECTION("an engine with older weights came back in between") {
    part_selector.SetObsolete(ObsoleteScopes(Engines({3, 3}), {}), kStart);
    part_selector.SetObsolete(ObsoleteScopes(Engines({3, 1}), {}),
                              kStart + Seconds(1));
    part_selector.SetObsolete(ObsoleteScopes(Engines({3, 3}), {}),
                              kStart + Seconds(2));
  }
  const CacheContents contents = Stored(kFreeTime);
  CHECK(part_selector.NextOrders({kStore}, contents, kFreeTime).empty());
}

TEST_CASE("nothing is freed in a store that isn't heard from") {
  // The store may have restarted and hold other parts under the same names.
  ObsoletePartSelector part_selector;
  part_selector.SetObsolete(ObsoleteScopes(Engines({3}), {}), kStart);
  const CacheContents contents = Stored(kStart);
  CHECK(part_selector.NextOrders({kStore}, contents, kFreeTime).empty());
}

TEST_CASE("nothing is freed by a list of engines that is old") {
  // Guards against freeing parts that an engine may fetch, based on an outdated
  // engine list. The instance that frees parts is suspended, or the log rejects
  // its requests. Meanwhile a crashed engine has returned with the older
  // weights, and the other instances send it requests that fetch those parts,
  // so that a prompt would get inconsistent KV data.
  ObsoletePartSelector part_selector;
  const auto scopes = ObsoleteScopes(Engines({3, 3}), {});
  const auto tick = [&](MonotonicTime heard, MonotonicTime now) {
    part_selector.OnListRefreshed(heard, now);
    part_selector.SetObsolete(scopes, now);
    return !part_selector.NextOrders({kStore}, Stored(now), now).empty();
  };
  CHECK_FALSE(tick(kStart, kStart));
  CHECK_FALSE(tick(kStart, kFreeTime));
  // After an update of the list the delay starts anew.
  CHECK_FALSE(tick(kFreeTime, kFreeTime));
  for (int second = 1; second < 5; ++second) {
    const MonotonicTime now = kFreeTime + Seconds(second);
    CHECK_FALSE(tick(now - Milliseconds(1500), now));
  }
  const MonotonicTime later = kFreeTime + ObsoletePartSelector::kFreeDelay;
  CHECK(tick(later, later));
}

TEST_CASE("an isolated account's parts become obsolete like the others") {
  const AccountId walled("walled");
  const auto scopes = ObsoleteScopes(Engines({2}), {{walled, {}}});
  CHECK(scopes.contains(Scope(1)));
  CHECK(scopes.contains(CacheScope(kModel, WeightNumber(1), {walled, {}})));
  CHECK_FALSE(
      scopes.contains(CacheScope(kModel, WeightNumber(2), {walled, {}})));
}

TEST_CASE("a model's weights say nothing of another model's") {
  std::vector<ScopedEngine> engines = Engines({3});
  engines.push_back({ModelName("m2"), WeightNumber(1)});
  const auto scopes = ObsoleteScopes(engines, {});
  CHECK(scopes.contains(Scope(2)));
  CHECK_FALSE(
      scopes.contains(CacheScope(ModelName("m2"), WeightNumber(1), {})));
}

}  // namespace
}  // namespace carobshift
