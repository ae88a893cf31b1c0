#include "carobshift/cache/cache_transfer_planner.h"

#include <catch2/catch.hpp>
#include <string>

namespace carobshift {
namespace {

constexpr Bytes kBytesPerTokenOnLink = 1000;
constexpr Bytes kRate = 100000000;
const StoreId kStore("store-1");
const EndpointId kEngine("engine-1");
const MonotonicTime kStart{Seconds(1000)};

CacheNamespace Namespace() {
  return MakeCacheNamespace("s", AccountId("a"), ModelName("m"),
                            WeightVersion("1"), AdapterName(""));
}

ConversationKey Key(int id) {
  return {AccountId("a"), ConversationId(std::to_string(id))};
}

std::vector<BlockHash> Chain(int id, std::size_t blocks = 100) {
  return BlockChain(Namespace(), std::string(blocks * kBlockBytes,
                                             static_cast<char>('a' + id % 26)) +
                                     std::to_string(id));
}

TurnEnd Turn(int id, std::size_t blocks = 100) {
  return {Key(id), kEngine, Namespace(), Chain(id, blocks),
          kBytesPerTokenOnLink};
}

BlockHandle Seal(const ExportMove& move) {
  return {move.store,
          1,
          move.id.value(),
          std::to_string(move.id.value()),
          move.blocks.back(),
          static_cast<Tokens>(move.blocks.size()) * kBlockTokens,
          move.bytes};
}

// A planner with one store. Exports complete as soon as they are ordered.
struct PlannerFixture {
  explicit PlannerFixture(std::string_view strategy = "value per byte",
                          Bytes capacity = 100 * kRate)
      : planner(Options(strategy)) {
    planner.stores().Declare(kStore, kRate);
    planner.OnStoreStatus(kStore, StoreStatus{1, 0, capacity, 0, 0}, kStart);
  }

  static CacheTransferPlannerOptions Options(std::string_view strategy) {
    CacheTransferPlannerOptions options;
    options.strategy = &ExportStrategyNamed(strategy);
    return options;
  }

  PlannedTransfers Run(MonotonicTime now) {
    PlannedTransfers moves = planner.NextTransfers(now);
    for (const ExportMove& move : moves.exports) {
      planner.OnExportEnd(move.id, move.transfer, Seal(move),
                          now + Milliseconds(64));
    }
    return moves;
  }

  CacheTransferPlanner planner;
};

}  // namespace

TEST_CASE("a paused conversation is exported and imported on its return") {
  PlannerFixture fixture;
  fixture.planner.OnTurnEnd(Turn(1), kStart);
  CHECK(fixture.Run(kStart + Seconds(1)).exports.empty());
  const MonotonicTime paused = kStart + kExportDelay;
  REQUIRE(fixture.Run(paused).exports.size() == 1);
  CHECK(fixture.Run(paused + Seconds(1)).exports.empty());

  const MonotonicTime back = kStart + Seconds(7200);
  const auto chain = Chain(1, 120);
  const auto option =
      fixture.planner.BestImport(Key(1), Namespace(), chain, back);
  REQUIRE(option.has_value());
  CHECK(option->tokens == 6400);
  CHECK(ShouldImport(option->transfer, Milliseconds(800)));
  CHECK_FALSE(fixture.planner.BeginImport(*option, Namespace(), chain,
                                          Milliseconds(0), back));
  const auto pin = fixture.planner.BeginPin(*option, Namespace(), chain, back);
  REQUIRE(pin.has_value());
  fixture.planner.OnPinEnd(*pin, Status(), back);
  const auto grant = fixture.planner.BeginImport(*option, Namespace(), chain,
                                                 Milliseconds(0), back);
  REQUIRE(grant.has_value());
  fixture.planner.EndImport(*grant, ImportOutcome::kImported, back);
  // Another conversation with the same prompt finds nothing.
  CHECK_FALSE(fixture.planner.BestImport(Key(2), Namespace(), chain, back));
}

TEST_CASE("memory pressure on an engine skips the export delay") {
  PlannerFixture fixture;
  fixture.planner.OnTurnEnd(Turn(1), kStart);
  fixture.planner.OnMemoryPressure(kEngine, kStart);
  CHECK(fixture.Run(kStart).exports.size() == 1);
}

TEST_CASE("a longer turn replaces its older object") {
  PlannerFixture fixture;
  fixture.planner.OnTurnEnd(Turn(1), kStart);
  const MonotonicTime first = kStart + kExportDelay;
  REQUIRE(fixture.Run(first).exports.size() == 1);
  fixture.planner.OnTurnEnd(Turn(1, 105), first);
  CHECK(fixture.Run(first + kExportDelay).exports.empty());
  fixture.planner.OnTurnEnd(Turn(1, 200), first + kExportDelay);
  const MonotonicTime second = first + 2 * kExportDelay;
  REQUIRE(fixture.Run(second).exports.size() == 1);
  CHECK(fixture.Run(second + Seconds(1)).drops.size() == 1);
  CHECK(fixture.planner.Stats().objects == 1);
}

// Guards against a full store that evicts the wrong object. The object with the
// lowest expected return for its size is evicted, and never one that an import
// has pinned.
TEST_CASE("a full store gives up the lowest value, never a pinned object") {
  const Bytes one = 100 * kBlockTokens * kBytesPerTokenOnLink;
  PlannerFixture fixture("value per byte", 2 * one);
  MonotonicTime now = kStart;
  std::size_t exported = 0;
  for (const int id : {1, 2}) {
    fixture.planner.OnTurnEnd(Turn(id), now);
    now += kExportDelay;
    exported += fixture.Run(now).exports.size();
  }
  REQUIRE(exported == 2);
  // Conversation 1 returns three times an hour for a day, conversation 2 does
  // not.
  for (int turn = 0; turn < 72; ++turn) {
    now += Seconds(1200);
    fixture.planner.OnTurnEnd(Turn(1), now);
    CHECK(fixture.Run(now + kExportDelay).exports.empty());
  }
  fixture.planner.OnTurnEnd(Turn(3), now);
  now += kExportDelay;
  const auto pin = fixture.planner.OnAddressLookup(Key(2), now);
  REQUIRE(pin.has_value());
  fixture.planner.OnPinEnd(*pin, Status(), now);
  CHECK(fixture.Run(now).drops.empty());
  const PlannedTransfers moves = fixture.Run(now + kMinPin);
  REQUIRE(moves.drops.size() == 1);
  CHECK(moves.drops[0].last_block == Chain(2).back());
  CHECK(moves.exports.size() == 1);
  CHECK(fixture.planner.BestImport(Key(1), Namespace(), Chain(1), now));
}

// Guards against a return that waits for a dead store or names an object that a
// restarted store no longer holds. Each return costs a recompute only.
TEST_CASE("a lost store offers no import") {
  PlannerFixture fixture;
  fixture.planner.OnTurnEnd(Turn(1), kStart);
  MonotonicTime now = kStart + kExportDelay;
  REQUIRE(fixture.Run(now).exports.size() == 1);
  SECTION("silent") {
    fixture.planner.OnStoreStatus(
        kStore, Error{ResultCode::kStoreUnavailable, ""}, now);
  }
  SECTION("restarted") {
    fixture.planner.OnStoreStatus(kStore, StoreStatus{2, 0, 100 * kRate, 0, 0},
                                  now);
    CHECK(fixture.planner.Stats().objects == 0);
  }
  CHECK_FALSE(fixture.planner.BestImport(Key(1), Namespace(), Chain(1), now));
}

TEST_CASE("no strategy gives nothing, and \"no store\" exports nothing") {
  PlannerFixture fixture("no store");
  fixture.planner.OnTurnEnd(Turn(1), kStart);
  CHECK(fixture.Run(kStart + kExportDelay).exports.empty());
  CHECK(fixture.planner.Stats().exports_not_worth == 1);
}

}  // namespace carobshift
