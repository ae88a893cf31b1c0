#include "carobshift/cache/block_directory.h"

#include <catch2/catch.hpp>
#include <string>

namespace carobshift {
namespace {

constexpr auto kStored = CacheEvent::Kind::kStored;
constexpr auto kEvicted = CacheEvent::Kind::kEvicted;

std::vector<BlockHash> Chain(std::size_t blocks, std::uint64_t seed = 1) {
  std::vector<BlockHash> chain;
  for (std::size_t i = 0; i < blocks; ++i)
    chain.push_back({seed, (seed << 56) + (i + 1) * 0x9e3779b97f4a7c15});
  return chain;
}

CacheEventBatch Batch(std::uint64_t first,
                      const std::vector<BlockHash>& blocks,
                      CacheEvent::Kind kind = kStored) {
  CacheEventBatch batch{7, first, first + blocks.size(), {}};
  for (const BlockHash& block : blocks)
    batch.events.push_back({first++, kind, block});
  return batch;
}

const EndpointId kFirst("first");
const EndpointId kSecond("second");
const WeightVersion kVersion("1");

void TrackListed(BlockDirectory& directory, const EndpointId& endpoint) {
  REQUIRE(directory.Track(endpoint, kVersion));
  REQUIRE(directory.ApplyListing(endpoint, Batch(0, {})) ==
          ApplyOutcome::kApplied);
}

}  // namespace

TEST_CASE("a lookup gives each endpoint's longest prefix, best first") {
  BlockDirectory directory(DirectoryOptions{});
  TrackListed(directory, kFirst);
  TrackListed(directory, kSecond);
  const auto chain = Chain(5);
  const std::vector<BlockHash> two(chain.begin(), chain.begin() + 2);
  CHECK(directory.Apply(kFirst, Batch(0, two)) == ApplyOutcome::kApplied);
  CHECK(directory.Apply(kSecond, Batch(0, chain)) == ApplyOutcome::kApplied);
  // A later block has no value without those before it.
  CHECK(directory.Apply(kFirst, Batch(2, {chain[4]})) ==
        ApplyOutcome::kApplied);
  const auto hits = directory.Lookup(chain);
  REQUIRE(hits.size() == 2);
  CHECK(hits[0].endpoint == kSecond);
  CHECK(hits[0].blocks == 5);
  CHECK(hits[1].blocks == 2);
  CHECK(directory.PrefixLength(kFirst, chain) == 2);
  CHECK(directory.Apply(kSecond, Batch(5, {chain[1]}, kEvicted)) ==
        ApplyOutcome::kApplied);
  CHECK(directory.PrefixLength(kSecond, chain) == 1);
  CHECK(directory.Lookup(Chain(5, 2)).empty());
}

// Guards against routing a prompt to an endpoint for blocks that it has
// evicted, which makes the caller wait for a recompute. The engine buffers a
// limited number of events; a late poll misses some, possibly evictions.
TEST_CASE("after a gap nothing is said of an endpoint until it is listed") {
  BlockDirectory directory(DirectoryOptions{});
  TrackListed(directory, kFirst);
  const auto chain = Chain(3);
  CHECK(directory.Apply(kFirst, Batch(0, chain)) == ApplyOutcome::kApplied);
  SECTION("between batches") {
    CHECK(directory.Apply(kFirst, Batch(4, Chain(1, 3))) ==
          ApplyOutcome::kNeedsListing);
  }
  SECTION("within a batch") {
    CacheEventBatch batch = Batch(3, Chain(3, 3));
    batch.events.erase(batch.events.begin() + 1);
    CHECK(directory.Apply(kFirst, batch) == ApplyOutcome::kNeedsListing);
  }
  SECTION("a restart") {
    CacheEventBatch batch = Batch(3, Chain(1, 3));
    batch.incarnation = 8;
    CHECK(directory.Apply(kFirst, batch) == ApplyOutcome::kNeedsListing);
  }
  CHECK(directory.Lookup(chain).empty());
  CHECK_FALSE(directory.NextSequence(kFirst).has_value());
  CHECK(directory.Stats().unknown_endpoints == 1);
  CHECK(directory.ApplyListing(kFirst, Batch(9, {chain[0]})) ==
        ApplyOutcome::kApplied);
  CHECK(directory.PrefixLength(kFirst, chain) == 1);
  CHECK(directory.NextSequence(kFirst) == 10);
}

// Guards against an old "stored" event that restores an evicted block. It comes
// about when the answers to two polls arrive out of order.
TEST_CASE("old, doubled and overlapping batches change nothing twice") {
  BlockDirectory directory(DirectoryOptions{});
  TrackListed(directory, kFirst);
  const auto chain = Chain(2);
  const CacheEventBatch stored = Batch(0, chain);
  CHECK(directory.Apply(kFirst, stored) == ApplyOutcome::kApplied);
  CacheEventBatch overlap = stored;
  overlap.events.push_back({2, kEvicted, chain[1]});
  overlap.next_sequence = 3;
  CHECK(directory.Apply(kFirst, overlap) == ApplyOutcome::kApplied);
  CHECK(directory.Apply(kFirst, stored) == ApplyOutcome::kStale);
  CHECK(directory.ApplyListing(kFirst, Batch(0, {chain[1]})) ==
        ApplyOutcome::kStale);
  CHECK(directory.PrefixLength(kFirst, chain) == 1);
}

TEST_CASE("a swap of weights and a departure forget the endpoint's blocks") {
  BlockDirectory directory(DirectoryOptions{});
  TrackListed(directory, kFirst);
  const auto chain = Chain(2);
  CHECK(directory.Apply(kFirst, Batch(0, chain)) == ApplyOutcome::kApplied);
  SECTION("swap") {
    CHECK(directory.Track(kFirst, WeightVersion("2")));
  }
  SECTION("departure") {
    directory.Forget(kFirst);
  }
  CHECK(directory.Lookup(chain).empty());
  CHECK(directory.Stats().blocks == 0);
  // The next endpoint in the slot must not inherit them.
  directory.Forget(kFirst);
  TrackListed(directory, kSecond);
  CHECK(directory.Lookup(chain).empty());
}

TEST_CASE("memory stays bounded however many blocks come and go") {
  DirectoryOptions options;
  options.max_blocks_per_endpoint = 100;
  BlockDirectory directory(options);
  TrackListed(directory, kFirst);
  std::size_t after_first_round = 0;
  std::uint64_t next = 0;
  for (std::uint64_t round = 1; round <= 200; ++round) {
    const auto blocks = Chain(150, round);
    REQUIRE(directory.Apply(kFirst, Batch(next, blocks)) ==
            ApplyOutcome::kApplied);
    CHECK(directory.Stats().blocks == 100);
    next += blocks.size();
    REQUIRE(directory.Apply(kFirst, Batch(next, blocks, kEvicted)) ==
            ApplyOutcome::kApplied);
    next += blocks.size();
    CHECK(directory.Stats().blocks == 0);
    if (round == 20)
      after_first_round = directory.Stats().memory_bytes;
  }
  CHECK(directory.Stats().memory_bytes <= 2 * after_first_round);
  CHECK(directory.Stats().dropped_over_limit == 200 * 50);
}

// Guards against holders of a reused epoch, which would name blocks of hours
// ago. A relist increments the endpoint's epoch, which wraps around after many
// relists.
TEST_CASE("blocks of forgotten epochs never come back") {
  BlockDirectory directory(DirectoryOptions{});
  TrackListed(directory, kFirst);
  const auto chain = Chain(1);
  REQUIRE(directory.ApplyListing(kFirst, Batch(0, chain)) ==
          ApplyOutcome::kApplied);
  for (int i = 0; i < (1 << 19) + 8; ++i) {
    REQUIRE(directory.ApplyListing(kFirst, Batch(1, {})) ==
            ApplyOutcome::kApplied);
    REQUIRE(directory.PrefixLength(kFirst, chain) == 0);
  }
}

}  // namespace carobshift
