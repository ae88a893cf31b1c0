// Measures the costs of the directory at 12, 90 and 360 endpoints and of the
// conversation table at 600 and 10,000 conversations, and the bytes per entry.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "carobshift/cache/block_directory.h"
#include "carobshift/cache/cache_transfer_planner.h"

namespace carobshift {
namespace {

constexpr std::size_t kBlocksPerEndpoint = 8192;
constexpr std::size_t kChainBlocks = 64;
constexpr std::uint64_t kSeed = 20261202;

EndpointId Endpoint(std::size_t i) {
  return EndpointId("engine-" + std::to_string(i));
}

// Returns chains of 64 blocks that fill the endpoint. The first chain is held
// by all endpoints, like a common system prompt.
std::vector<BlockHash> BlocksOf(std::size_t endpoint) {
  std::mt19937_64 random(kSeed + endpoint + 1);
  std::mt19937_64 shared(kSeed);
  std::vector<BlockHash> blocks;
  for (std::size_t i = 0; i < kBlocksPerEndpoint; ++i) {
    std::mt19937_64& source = i < kChainBlocks ? shared : random;
    blocks.push_back({source(), source()});
  }
  return blocks;
}

CacheEventBatch Batch(std::uint64_t first,
                      const std::vector<BlockHash>& blocks,
                      CacheEvent::Kind kind) {
  CacheEventBatch batch{1, first, first + blocks.size(), {}};
  for (const BlockHash& block : blocks)
    batch.events.push_back({first++, kind, block});
  return batch;
}

void Fill(BlockDirectory& directory, std::size_t endpoints) {
  for (std::size_t i = 0; i < endpoints; ++i) {
    (void)directory.Track(Endpoint(i), WeightVersion("1"));
    directory.ApplyListing(Endpoint(i),
                           Batch(0, BlocksOf(i), CacheEvent::Kind::kStored));
  }
}

std::vector<BlockHash> Slice(const std::vector<BlockHash>& blocks,
                             std::size_t from) {
  const auto begin = blocks.begin() + static_cast<std::ptrdiff_t>(from);
  return {begin, begin + kChainBlocks};
}

// Looks up a conversation that one endpoint holds.
void BM_DirectoryLookup(benchmark::State& state) {
  const auto endpoints = static_cast<std::size_t>(state.range(0));
  BlockDirectory directory(DirectoryOptions{});
  Fill(directory, endpoints);
  const auto chain = Slice(BlocksOf(endpoints / 2), 10 * kChainBlocks);
  for (auto _ : state)
    benchmark::DoNotOptimize(directory.Lookup(chain));
  const DirectoryStats stats = directory.Stats();
  state.counters["bytes_per_block"] = static_cast<double>(stats.memory_bytes) /
                                      static_cast<double>(stats.blocks);
  state.counters["megabytes"] = static_cast<double>(stats.memory_bytes) / 1e6;
}
BENCHMARK(BM_DirectoryLookup)->Arg(12)->Arg(90)->Arg(360);

// Looks up the common system prompt, which all endpoints hold.
void BM_DirectoryLookupShared(benchmark::State& state) {
  const auto endpoints = static_cast<std::size_t>(state.range(0));
  BlockDirectory directory(DirectoryOptions{});
  Fill(directory, endpoints);
  const auto chain = Slice(BlocksOf(0), 0);
  for (auto _ : state)
    benchmark::DoNotOptimize(directory.Lookup(chain));
}
BENCHMARK(BM_DirectoryLookupShared)->Arg(12)->Arg(90)->Arg(360);

// Cost of one event: evicts a chain and stores it again, divided by the number
// of events.
void BM_DirectoryEvent(benchmark::State& state) {
  const auto endpoints = static_cast<std::size_t>(state.range(0));
  BlockDirectory directory(DirectoryOptions{});
  Fill(directory, endpoints);
  const auto chain = Slice(BlocksOf(0), 10 * kChainBlocks);
  std::uint64_t next = kBlocksPerEndpoint;
  std::int64_t events = 0;
  for (auto _ : state) {
    state.PauseTiming();
    const auto evicted = Batch(next, chain, CacheEvent::Kind::kEvicted);
    next += chain.size();
    const auto stored = Batch(next, chain, CacheEvent::Kind::kStored);
    next += chain.size();
    state.ResumeTiming();
    directory.Apply(Endpoint(0), evicted);
    directory.Apply(Endpoint(0), stored);
    events += static_cast<std::int64_t>(2 * chain.size());
  }
  state.SetItemsProcessed(events);
}
BENCHMARK(BM_DirectoryEvent)->Arg(12)->Arg(90)->Arg(360);

void BM_DirectoryRelist(benchmark::State& state) {
  BlockDirectory directory(DirectoryOptions{});
  Fill(directory, static_cast<std::size_t>(state.range(0)));
  const auto listing = Batch(0, BlocksOf(0), CacheEvent::Kind::kStored);
  for (auto _ : state)
    directory.ApplyListing(Endpoint(0), listing);
}
BENCHMARK(BM_DirectoryRelist)->Arg(12)->Arg(360);

ConversationKey Key(std::int64_t i) {
  return {AccountId("account-" + std::to_string(i % 100)),
          ConversationId("conversation-" + std::to_string(i))};
}

// Returns the bytes currently allocated from the heap.
std::size_t AllocatedBytes() {
  return mallinfo2().uordblks;
}

void BM_ConversationTurn(benchmark::State& state) {
  const std::int64_t count = state.range(0);
  const std::size_t before = AllocatedBytes();
  ConversationTable table(ConversationTableOptions{});
  MonotonicTime now{Seconds(1)};
  for (std::int64_t i = 0; i < count; ++i) {
    benchmark::DoNotOptimize(table.OnTurn(Key(i), now));
    benchmark::DoNotOptimize(
        table.AddHandle(Key(i), HandleId(static_cast<std::uint64_t>(i))));
  }
  const std::size_t after = AllocatedBytes();
  state.counters["bytes_per_conversation"] =
      static_cast<double>(after - before) / static_cast<double>(count);
  std::int64_t next = 0;
  for (auto _ : state) {
    now += Milliseconds(1);
    benchmark::DoNotOptimize(table.OnTurn(Key(next++ % count), now));
  }
}
BENCHMARK(BM_ConversationTurn)->Arg(600)->Arg(10000);

// Measures the import option of a returning prompt and the bookkeeping of the
// whole turn.
void BM_PlannerBestImport(benchmark::State& state) {
  const std::int64_t count = state.range(0);
  const std::size_t before = AllocatedBytes();
  CacheTransferPlanner planner{CacheTransferPlannerOptions{}};
  const StoreId store("store");
  planner.stores().Declare(store, 1000000000000);
  MonotonicTime now{Seconds(1)};
  planner.OnStoreStatus(store, StoreStatus{1, 0, 1LL << 60, 0, 0}, now);
  const CacheNamespace ns(
      "0123456789abcdef0123456789abcdef0123456789abcdef"
      "0123456789abcdef");
  std::vector<BlockHash> chain;
  for (std::uint64_t i = 0; i < kChainBlocks; ++i)
    chain.push_back({i, i});
  for (std::int64_t i = 0; i < count; ++i) {
    planner.OnTurnEnd({Key(i), Endpoint(0), ns, chain, 1}, now);
    planner.OnMemoryPressure(Endpoint(0), now);
    for (const ExportMove& move : planner.NextTransfers(now).exports) {
      planner.OnExportEnd(
          move.id, move.transfer,
          BlockHandle{store, 1, 1, "object-0123456789", chain.back(),
                      static_cast<Tokens>(kChainBlocks) * kBlockTokens,
                      move.bytes},
          now);
    }
    now += Milliseconds(1);
  }
  state.counters["bytes_per_conversation"] =
      static_cast<double>(AllocatedBytes() - before) /
      static_cast<double>(count);
  state.counters["objects"] = static_cast<double>(planner.Stats().objects);
  std::int64_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        planner.BestImport(Key(next++ % count), ns, chain, now));
  }
}
BENCHMARK(BM_PlannerBestImport)->Arg(600)->Arg(10000);

}  // namespace
}  // namespace carobshift
BENCHMARK_MAIN();
