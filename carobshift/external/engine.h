// EngineClient is the interface to model engines. One client serves all engines
// of a deployment; each call takes the engine's address.
//
//   class Printer : public TokenSink { ... };
//   Printer printer;
//   Status done = engine.Generate(address, request, printer);
//
// Implementations are thread-safe; calls block.

#ifndef CAROBSHIFT_EXTERNAL_ENGINE_H_
#define CAROBSHIFT_EXTERNAL_ENGINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/result.h"
#include "carobshift/base/units.h"
#include "carobshift/cache/block_chain.h"

namespace carobshift {

// Identifies a sealed object of KV cache blocks in a store. An import verifies
// store, generation and checksum.
struct BlockHandle {
  StoreId store;
  // Changes when the store restarts or reuses the object's space.
  std::uint64_t generation = 0;
  std::uint64_t checksum = 0;
  // Name of the object within the store and generation.
  std::string object;
  // Hash of the last block; the object holds the chain of blocks up to it.
  BlockHash last_block;
  Tokens tokens = 0;
  Bytes bytes = 0;
  friend bool operator==(const BlockHandle&, const BlockHandle&) = default;
};

struct GenerateRequest {
  RequestId request;
  AttemptNumber attempt{1};
  CacheNamespace cache_namespace;
  ModelName model;
  // An engine with another version rejects the request (kVersionMismatch).
  WeightVersion version;
  AdapterName adapter;
  std::string prompt;
  Tokens max_tokens = 16;
  // Requests with a lower value run first.
  int priority = 0;
  // Tokens already delivered to the caller; generation continues after them.
  std::vector<std::string> delivered;
  // Blocks to import before the prefill, if any.
  std::optional<BlockHandle> import;
  NetAddress import_from;
  // The attempt is abandoned after this long without progress.
  Milliseconds progress_timeout{5000};
};

struct GenerateStart {
  WeightVersion version;
  Tokens prompt_tokens = 0;
  // Tokens whose blocks were reused from the engine's cache or an import.
  Tokens cached_tokens = 0;
  Tokens imported_tokens = 0;
};

struct GenerateEnd {
  // Tokens of the whole reply, including those before a resume.
  Tokens total_tokens = 0;
  // Either "stop" or "length".
  std::string finish_reason;
};

// Receives the tokens of one run. Each function returns whether to continue;
// false cancels the run on the engine.
class TokenSink {
 public:
  virtual ~TokenSink() = default;
  [[nodiscard]] virtual bool OnStart(const GenerateStart& start) = 0;
  // `index` counts from 0 over the whole reply.
  [[nodiscard]] virtual bool OnToken(Tokens index, std::string_view text) = 0;
  [[nodiscard]] virtual bool OnEnd(const GenerateEnd& end) = 0;
};

enum class EngineState { kIdle, kLoading, kReady, kLeaving };

struct EngineStatus {
  // Changes when the engine process restarts.
  std::uint64_t incarnation = 0;
  EngineState state = EngineState::kIdle;
  ModelName model;
  WeightVersion version;
  std::vector<AdapterName> adapters;
  // The service for which the engine takes requests; empty if none.
  ServiceName role;
  int running = 0;
  int queued = 0;
  Tokens queued_prefill_tokens = 0;
  Bytes kv_used = 0;
  Bytes kv_capacity = 0;
  // Highest fencing number received; 0 if the engine doesn't check it.
  FencingNumber fencing;
};

struct CacheEvent {
  std::uint64_t sequence = 0;
  enum class Kind { kStored, kEvicted } kind = Kind::kStored;
  BlockHash block;
};

struct CacheEventBatch {
  std::uint64_t incarnation = 0;
  // If this is higher than the previous batch's next_sequence, events were
  // lost.
  std::uint64_t first_sequence = 0;
  std::uint64_t next_sequence = 0;
  std::vector<CacheEvent> events;
};

enum class OrderKind { kLoad, kUnload, kSetRole, kDrain };

// Level-triggered: describes the desired state of the engine, so repeating an
// order is harmless.
struct EngineOrder {
  FencingNumber fencing;
  OrderKind kind = OrderKind::kLoad;
  ModelName model;
  WeightVersion version;
  std::vector<AdapterName> adapters;
  ServiceName role;
};

struct ExportRequest {
  CacheNamespace cache_namespace;
  std::vector<BlockHash> blocks;
  StoreId store;
  NetAddress store_address;
  Bytes bytes_per_token = 0;
};

class EngineClient {
 public:
  virtual ~EngineClient() = default;

  // Runs one attempt and passes its tokens to `sink` until the end, until the
  // sink returns false (kCancelled), or until a failure. kEndpointRefused and
  // kVersionMismatch: the engine reported that it did not run the request.
  // kNoEndpoint: no byte reached the engine. With kEndpointFailed and
  // kEndpointTimeout the outcome is unknown.
  virtual Status Generate(const NetAddress& engine,
                          const GenerateRequest& request,
                          TokenSink& sink) = 0;

  virtual Result<EngineStatus> FetchStatus(const NetAddress& engine) = 0;

  // Returns the events from `from_sequence` on without waiting; the batch may
  // be empty.
  virtual Result<CacheEventBatch> FetchEvents(const NetAddress& engine,
                                              std::uint64_t from_sequence) = 0;

  // Returns all blocks that the engine holds, as stored events. Later events
  // continue at the batch's `next_sequence`.
  virtual Result<CacheEventBatch> ListBlocks(const NetAddress& engine) = 0;

  // Returns kStaleFencing if the engine checks fencing numbers and has received
  // a higher one.
  virtual Status Order(const NetAddress& engine, const EngineOrder& order) = 0;

  // Makes the engine write blocks to a store and seal them; returns the handle
  // of the sealed object. Returns kBlockRejected if the engine no longer holds
  // all of them.
  virtual Result<BlockHandle> Export(const NetAddress& engine,
                                     const ExportRequest& request) = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_EXTERNAL_ENGINE_H_
