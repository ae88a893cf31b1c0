#include "carobshift/cache/return_planner.h"

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

// A planner with one store, and the moves played through at once.
struct Bench {
  explicit Bench(std::string_view strategy = "value per byte",
                 Bytes capacity = 100 * kRate)
      : planner(Options(strategy)) {
    planner.stores().Declare(kStore, kRate);
    planner.OnStoreStatus(kStore, StoreStatus{1, 0, capacity, 0, 0}, kStart);
  }

  static ReturnPlannerOptions Options(std::string_view strategy) {
    ReturnPlannerOptions options;
    options.strategy = &ExportStrategyNamed(strategy);
    return options;
  }

  Moves Run(MonotonicTime now) {
    Moves moves = planner.NextMoves(now);
    for (const ExportMove& move : moves.exports) {
      planner.OnExportEnd(move.id, move.transfer, Seal(move),
                          now + Milliseconds(64));
    }
    return moves;
  }

  ReturnPlanner planner;
};

}  // namespace

TEST_CASE("a paused conversation is exported and imported on its return") {
  Bench bench;
  bench.planner.OnTurnEnd(Turn(1), kStart);
  CHECK(bench.Run(kStart + Seconds(1)).exports.empty());
  const MonotonicTime paused = kStart + kExportDelay;
  REQUIRE(bench.Run(paused).exports.size() == 1);
  CHECK(bench.Run(paused + Seconds(1)).exports.empty());

  const MonotonicTime back = kStart + Seconds(7200);
  const auto chain = Chain(1, 120);
  const auto option =
      bench.planner.BestImport(Key(1), Namespace(), chain, back);
  REQUIRE(option.has_value());
  CHECK(option->tokens == 6400);
  CHECK(ShouldImport(option->transfer, Milliseconds(800)));
  CHECK_FALSE(bench.planner.BeginImport(*option, Namespace(), chain,
                                        Milliseconds(0), back));
  const auto pin = bench.planner.BeginPin(*option, Namespace(), chain, back);
  REQUIRE(pin.has_value());
  bench.planner.OnPinEnd(*pin, Status(), back);
  const auto grant = bench.planner.BeginImport(*option, Namespace(), chain,
                                               Milliseconds(0), back);
  REQUIRE(grant.has_value());
  bench.planner.EndImport(*grant, ImportOutcome::kImported, back);
  // Another conversation finds nothing, with the very same prompt.
  CHECK_FALSE(bench.planner.BestImport(Key(2), Namespace(), chain, back));
}

TEST_CASE("an engine short of memory is not waited for") {
  Bench bench;
  bench.planner.OnTurnEnd(Turn(1), kStart);
  bench.planner.OnMemoryPressure(kEngine, kStart);
  CHECK(bench.Run(kStart).exports.size() == 1);
}

TEST_CASE("a longer turn replaces its older object") {
  Bench bench;
  bench.planner.OnTurnEnd(Turn(1), kStart);
  const MonotonicTime first = kStart + kExportDelay;
  REQUIRE(bench.Run(first).exports.size() == 1);
  bench.planner.OnTurnEnd(Turn(1, 105), first);
  CHECK(bench.Run(first + kExportDelay).exports.empty());
  bench.planner.OnTurnEnd(Turn(1, 200), first + kExportDelay);
  const MonotonicTime second = first + 2 * kExportDelay;
  REQUIRE(bench.Run(second).exports.size() == 1);
  CHECK(bench.Run(second + Seconds(1)).drops.size() == 1);
  CHECK(bench.planner.Stats().objects == 1);
}

// The store is full. What is least likely to be asked for again, for its size,
// has to give way; an object that an import has pinned never does.
TEST_CASE("a full store gives up the lowest value, never a pinned object") {
  const Bytes one = 100 * kBlockTokens * kBytesPerTokenOnLink;
  Bench bench("value per byte", 2 * one);
  MonotonicTime now = kStart;
  std::size_t exported = 0;
  for (const int id : {1, 2}) {
    bench.planner.OnTurnEnd(Turn(id), now);
    now += kExportDelay;
    exported += bench.Run(now).exports.size();
  }
  REQUIRE(exported == 2);
  // 1 returns three times an hour for a day, 2 does not.
  for (int turn = 0; turn < 72; ++turn) {
    now += Seconds(1200);
    bench.planner.OnTurnEnd(Turn(1), now);
    CHECK(bench.Run(now + kExportDelay).exports.empty());
  }
  bench.planner.OnTurnEnd(Turn(3), now);
  now += kExportDelay;
  const auto pin = bench.planner.OnAddressLookup(Key(2), now);
  REQUIRE(pin.has_value());
  bench.planner.OnPinEnd(*pin, Status(), now);
  CHECK(bench.Run(now).drops.empty());
  const Moves moves = bench.Run(now + kMinPin);
  REQUIRE(moves.drops.size() == 1);
  CHECK(moves.drops[0].last_block == Chain(2).back());
  CHECK(moves.exports.size() == 1);
  CHECK(bench.planner.BestImport(Key(1), Namespace(), Chain(1), now));
}

// A store is killed, or comes back empty. Each return then costs a recompute;
// none may wait for the dead store or name what it held.
TEST_CASE("a lost store offers no import") {
  Bench bench;
  bench.planner.OnTurnEnd(Turn(1), kStart);
  MonotonicTime now = kStart + kExportDelay;
  REQUIRE(bench.Run(now).exports.size() == 1);
  SECTION("silent") {
    bench.planner.OnStoreStatus(kStore,
                                Error{ResultCode::kStoreUnavailable, ""}, now);
  }
  SECTION("restarted") {
    bench.planner.OnStoreStatus(kStore, StoreStatus{2, 0, 100 * kRate, 0, 0},
                                now);
    CHECK(bench.planner.Stats().objects == 0);
  }
  CHECK_FALSE(bench.planner.BestImport(Key(1), Namespace(), Chain(1), now));
}

TEST_CASE("no strategy gives nothing, and \"no store\" exports nothing") {
  Bench bench("no store");
  bench.planner.OnTurnEnd(Turn(1), kStart);
  CHECK(bench.Run(kStart + kExportDelay).exports.empty());
  CHECK(bench.planner.Stats().exports_not_worth == 1);
}

}  // namespace carobshift
