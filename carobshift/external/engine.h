// A model engine, as the rest of the system sees it. One EngineClient serves
// all engines of a deployment; each call names the address.
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

// A sealed export in a store. Import checks all three fields.
struct BlockHandle {
  StoreId store;
  // Changes when the store restarts or reuses the place.
  std::uint64_t generation = 0;
  std::uint64_t checksum = 0;
  // Names the sealed object within the store and generation.
  std::string object;
  // The hash of the last block; the object holds the chain up to it.
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
  // The engine refuses (kVersionMismatch) if it runs another one.
  WeightVersion version;
  AdapterName adapter;
  std::string prompt;
  Tokens max_tokens = 16;
  // Lower runs first.
  int priority = 0;
  // Tokens already delivered to the caller; generation goes on after them.
  std::vector<std::string> delivered;
  // What to import before the prefill, if anything.
  std::optional<BlockHandle> import;
  NetAddress import_from;
  // The attempt is given up after this long without progress.
  Milliseconds progress_timeout{5000};
};

struct GenerateStart {
  WeightVersion version;
  Tokens prompt_tokens = 0;
  // Tokens whose blocks were reused: on the engine, or imported.
  Tokens cached_tokens = 0;
  Tokens imported_tokens = 0;
};

struct GenerateEnd {
  // All tokens of the answer, those before a resume included.
  Tokens total_tokens = 0;
  // "stop" or "length".
  std::string finish_reason;
};

// Receives one stream. Each call returns whether to go on; false cancels the
// run on the engine.
class TokenSink {
 public:
  virtual ~TokenSink() = default;
  [[nodiscard]] virtual bool OnStart(const GenerateStart& start) = 0;
  // `index` counts from 0 over the whole answer.
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
  // The service whose work the engine takes; empty if none.
  ServiceName role;
  int running = 0;
  int queued = 0;
  Tokens queued_prefill_tokens = 0;
  Bytes kv_used = 0;
  Bytes kv_capacity = 0;
  // Highest fencing number seen; 0 if the engine doesn't check.
  FencingNumber fencing;
};

struct CacheEvent {
  std::uint64_t sequence = 0;
  enum class Kind { kStored, kEvicted } kind = Kind::kStored;
  BlockHash block;
};

struct CacheEventBatch {
  std::uint64_t incarnation = 0;
  // A gap between this and the last batch's end means that events are lost.
  std::uint64_t first_sequence = 0;
  std::uint64_t next_sequence = 0;
  std::vector<CacheEvent> events;
};

enum class OrderKind { kLoad, kUnload, kSetRole, kDrain };

// Level-triggered: says how the engine should be, so a repeat does no harm.
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

  // Runs one attempt and feeds `sink` until the end, a false from the sink
  // (kCancelled) or a failure. kEndpointRefused, kVersionMismatch: the engine
  // said that it did not run it. kNoEndpoint: no byte reached it.
  // kEndpointFailed and kEndpointTimeout leave the outcome open.
  virtual Status Generate(const NetAddress& engine,
                          const GenerateRequest& request,
                          TokenSink& sink) = 0;

  virtual Result<EngineStatus> FetchStatus(const NetAddress& engine) = 0;

  // Events from `from_sequence` on, at once, perhaps none.
  virtual Result<CacheEventBatch> FetchEvents(const NetAddress& engine,
                                              std::uint64_t from_sequence) = 0;

  // All blocks the engine holds now, as stored events numbered up to the
  // sequence at which later events go on.
  virtual Result<CacheEventBatch> ListBlocks(const NetAddress& engine) = 0;

  // kStaleFencing if the engine checks and has seen a higher number.
  virtual Status Order(const NetAddress& engine, const EngineOrder& order) = 0;

  // Has the engine write blocks to a store and seal them; returns the handle
  // once sealed. kBlockRejected if it no longer holds them all.
  virtual Result<BlockHandle> Export(const NetAddress& engine,
                                     const ExportRequest& request) = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_EXTERNAL_ENGINE_H_
