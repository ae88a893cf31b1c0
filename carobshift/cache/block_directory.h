// Tracks which endpoint holds which KV cache blocks, as reported by the
// engines' cache events.
//
//   BlockDirectory directory(DirectoryOptions{});
//   directory.Track(endpoint, version);
//   if (directory.Apply(endpoint, batch) == ApplyOutcome::kNeedsListing)
//     directory.ApplyListing(endpoint, engine.ListBlocks(address).value());
//   std::vector<EndpointPrefix> hits = directory.Lookup(chain);
//
// Engines store and evict blocks continuously and report it late and with gaps.
// Each request looks up its whole chain. Without the directory a returning
// prompt is routed to an arbitrary endpoint and recomputed. Without gap
// detection the directory would keep naming evicted blocks, and requests would
// be routed to endpoints that must recompute them; the number of cached tokens
// would fall far below the predicted one.
//
// The directory is a hint. A wrong entry costs a recompute and never a wrong
// answer, because the engine looks up its own blocks by the same chain hash.
//
// Sizing: an engine with 64 GB of KV cache at 128 KiB per token holds about
// 8,200 blocks of 64 tokens, and kDefaultMaxBlocksPerEndpoint is twice that.
// 360 endpoints then hold 3 million blocks. A block with one holder takes 12
// bytes in a table that is at most 70% full, which is 22 to 32 bytes as
// measured by cache_benchmark, or 64 MB for 360 endpoints of 8,192 blocks.

#ifndef CAROBSHIFT_CACHE_BLOCK_DIRECTORY_H_
#define CAROBSHIFT_CACHE_BLOCK_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/cache/block_chain.h"
#include "carobshift/cache/internal/holder_table.h"
#include "carobshift/cache/mutation.h"
#include "carobshift/external/engine.h"

namespace carobshift {

inline constexpr std::size_t kDefaultMaxBlocksPerEndpoint = 16384;
inline constexpr std::size_t kMaxDirectoryEndpoints = 4096;

struct DirectoryOptions {
  // Blocks beyond this limit are not recorded. The endpoint then appears to
  // hold less than it does, which costs at most a recompute.
  std::size_t max_blocks_per_endpoint = kDefaultMaxBlocksPerEndpoint;
  // For tests only.
  CacheMutation mutation = CacheMutation::kNone;
};

enum class ApplyOutcome {
  kApplied,
  // The batch ends before the known state; nothing changed.
  kStale,
  // Events were lost or the engine restarted. The caller has to list the
  // engine's blocks.
  kNeedsListing,
  kUnknownEndpoint,
};

// The longest prefix of a chain that an endpoint holds.
struct EndpointPrefix {
  EndpointId endpoint;
  std::size_t blocks = 0;
};

struct DirectoryStats {
  std::size_t endpoints = 0;
  std::size_t unknown_endpoints = 0;
  std::size_t blocks = 0;
  std::size_t memory_bytes = 0;
  std::uint64_t gaps = 0;
  std::uint64_t dropped_over_limit = 0;
};

// Thread-compatible. The owner guards it with one lock.
class BlockDirectory {
 public:
  explicit BlockDirectory(const DirectoryOptions& options);
  BlockDirectory(const BlockDirectory&) = delete;
  BlockDirectory& operator=(const BlockDirectory&) = delete;

  // Starts tracking an endpoint, or updates its weight version. A changed
  // version forgets the endpoint's blocks, because the engine dropped them with
  // the weights. Returns false if kMaxDirectoryEndpoints are tracked already.
  bool Track(const EndpointId& endpoint, const WeightVersion& version);
  // Stops tracking the endpoint and forgets its blocks immediately.
  void Forget(const EndpointId& endpoint);

  // Applies the answer to FetchEvents. Batches may arrive late, repeatedly and
  // in any order.
  ApplyOutcome Apply(const EndpointId& endpoint, const CacheEventBatch& batch);
  // Replaces all known blocks of the endpoint by the answer to ListBlocks.
  // Returns kStale for a listing that is older than the known state.
  ApplyOutcome ApplyListing(const EndpointId& endpoint,
                            const CacheEventBatch& listing);

  // Returns the endpoints that hold at least the first block, longest prefix
  // first. Endpoints whose contents are unknown are omitted.
  [[nodiscard]] std::vector<EndpointPrefix> Lookup(
      std::span<const BlockHash> chain) const;
  // Returns the number of leading blocks of `chain` that this endpoint holds.
  [[nodiscard]] std::size_t PrefixLength(
      const EndpointId& endpoint,
      std::span<const BlockHash> chain) const;

  // Returns the sequence number from which the next FetchEvents continues, or
  // nullopt if the endpoint has to be listed first.
  [[nodiscard]] std::optional<std::uint64_t> NextSequence(
      const EndpointId& endpoint) const;
  [[nodiscard]] DirectoryStats Stats() const;

 private:
  struct Slot {
    EndpointId endpoint;
    WeightVersion version;
    bool tracked = false;
    bool known = false;
    std::uint32_t epoch = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t next_sequence = 0;
    std::size_t blocks = 0;
  };

  [[nodiscard]] bool IsLive(std::uint32_t holder) const;
  [[nodiscard]] std::uint32_t HolderOf(std::size_t slot) const;
  [[nodiscard]] Slot* Find(const EndpointId& endpoint);
  [[nodiscard]] const Slot* Find(const EndpointId& endpoint) const;
  void ForgetBlocks(Slot& slot);
  void ApplyEvent(Slot& slot, const CacheEvent& event);
  ApplyOutcome MarkUnknown(Slot& slot);

  DirectoryOptions options_;
  std::vector<Slot> slots_;
  std::unordered_map<EndpointId, std::size_t> index_;
  std::vector<std::size_t> free_slots_;
  HolderTable table_;
  std::uint64_t gaps_ = 0;
  std::uint64_t dropped_over_limit_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CACHE_BLOCK_DIRECTORY_H_
