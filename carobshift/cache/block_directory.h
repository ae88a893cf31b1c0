// Which endpoint holds which blocks, as far as their cache events tell.
//
//   BlockDirectory directory(DirectoryOptions{});
//   directory.Track(endpoint, version);
//   if (directory.Apply(endpoint, batch) == ApplyOutcome::kNeedsListing)
//     directory.Relist(endpoint, engine.ListBlocks(address).value());
//   std::vector<EndpointPrefix> hits = directory.Lookup(chain);
//
// Load pattern: every engine stores and evicts blocks all the time and tells
// of it late and with gaps; each request looks up its whole chain. Without the
// directory a returning prompt goes to an endpoint by chance and is computed
// again. Without the gap rule the directory would go on naming blocks that are
// long evicted, and routing would send work to endpoints that must recompute
// it; one would notice cached tokens far below the promised ones.
//
// The directory is a hint. A wrong entry costs a recompute, never a wrong
// answer: the engine looks its own blocks up by the same chain hash.
//
// Grounds for the figures: an engine with 64 GB of KV cache at 128 KiB a token
// holds about 8,200 blocks of 64 tokens; kDefaultMaxBlocksPerEndpoint is twice
// that. 360 endpoints then hold 3 million blocks; a block of one holder takes
// 12 bytes in a table that is at most 70% full: 22 to 32 bytes measured by
// cache_benchmark, 64 MB for 360 endpoints of 8,192 blocks.

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
  // Blocks above this are not entered; the endpoint then looks emptier than
  // it is, which costs at most a recompute.
  std::size_t max_blocks_per_endpoint = kDefaultMaxBlocksPerEndpoint;
  // For tests only.
  CacheMutation mutation = CacheMutation::kNone;
};

enum class ApplyOutcome {
  kApplied,
  // The batch ended before what is known already; nothing changed.
  kOld,
  // Events are lost or the engine restarted: list its blocks.
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

// Thread-compatible; the owner guards it with one lock.
class BlockDirectory {
 public:
  explicit BlockDirectory(const DirectoryOptions& options);
  BlockDirectory(const BlockDirectory&) = delete;
  BlockDirectory& operator=(const BlockDirectory&) = delete;

  // Starts to follow an endpoint, or notes the weight version it runs. A
  // version other than the noted one forgets the endpoint's blocks: the engine
  // dropped them with the weights. At most kMaxDirectoryEndpoints are
  // followed; false beyond that.
  bool Track(const EndpointId& endpoint, const WeightVersion& version);
  // Stops following; its blocks are gone at once.
  void Forget(const EndpointId& endpoint);

  // Takes the answer to FetchEvents. Batches may come late, twice and in any
  // order.
  ApplyOutcome Apply(const EndpointId& endpoint, const CacheEventBatch& batch);
  // Takes the answer to ListBlocks, which replaces all that was known. A
  // listing older than what is known is kOld.
  ApplyOutcome Relist(const EndpointId& endpoint,
                      const CacheEventBatch& listing);

  // Endpoints with at least the first block, longest prefix first. An endpoint
  // whose part is unknown is never among them.
  [[nodiscard]] std::vector<EndpointPrefix> Lookup(
      std::span<const BlockHash> chain) const;
  // Blocks at the front of `chain` that this endpoint holds.
  [[nodiscard]] std::size_t PrefixOn(const EndpointId& endpoint,
                                     std::span<const BlockHash> chain) const;

  // Where the next FetchEvents reads on; nothing if the endpoint has to be
  // listed first.
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
