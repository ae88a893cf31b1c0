// Tracks which engines and stores hold the cached blocks of prompts. Engines
// report theirs in cache events; objects in stores come from this entry's own
// exports. Tells routing what is cached of a prompt, and runs imports from
// start to end.
//
//   PromptCache cached = cache.View(prompt_identity, candidates, now);
//   query.cache = cached.view;
//   ...
//   std::optional<ImportGrant> grant = cache.BeginImport(stores, cached, ...);
//
// Thread-safe. The one mutex is a leaf lock, and no I/O is done while it is
// held. For bounds see block_directory.h and cache_transfer_planner.h.

#ifndef CAROBSHIFT_SERVER_TABLES_CACHE_TABLE_H_
#define CAROBSHIFT_SERVER_TABLES_CACHE_TABLE_H_

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/cache/block_directory.h"
#include "carobshift/cache/cache_transfer_planner.h"
#include "carobshift/external/store.h"
#include "carobshift/server/tables/endpoint_table.h"
#include "carobshift/server/tables/service_load.h"
#include "carobshift/telemetry/metrics.h"
#include "carobshift/telemetry/state_source.h"

namespace carobshift {

// Identifies the cached blocks of a prompt.
struct PromptIdentity {
  AccountId account;
  std::optional<ConversationId> conversation;
  ModelName model;
  AdapterName adapter;
  const std::string* prompt = nullptr;
};

// The cached and stored blocks of one prompt, for endpoints of one weight
// version.
struct PromptCache {
  WeightVersion version;
  CacheNamespace cache_namespace;
  std::vector<BlockHash> chain;
  CacheView view;
  // Set for a request of a conversation. `stored`, if set, describes the same
  // object as view.imports[0].
  std::optional<ConversationKey> key;
  std::optional<StoredImport> stored;
};

class CacheTable : public StateSource {
 public:
  explicit CacheTable(std::string secret);

  // Returns what is cached for the weight version that most candidates run.
  // Blocks of other versions are ignored, since a request may not use blocks
  // across versions.
  [[nodiscard]] PromptCache View(const PromptIdentity& identity,
                                 const std::vector<EndpointInfo>& candidates,
                                 MonotonicTime now) const;

  // Pins the stored object and waits for the transfer's turn on the store link.
  // Returns nothing if the engine should compute the prompt instead. Blocks for
  // at most the store client's timeout and kMaxImportWait.
  [[nodiscard]] std::optional<ImportGrant> BeginImport(
      StoreClient& stores,
      const PromptCache& cached,
      Milliseconds engine_time);
  void EndImport(const ImportGrant& grant,
                 ImportOutcome outcome,
                 MonotonicTime now);
  [[nodiscard]] NetAddress StoreAddress(const StoreId& store) const;

  // Call when an answer has ended. The engine now holds the prompt's blocks.
  void OnTurnEnd(const PromptCache& cached,
                 const EndpointId& endpoint,
                 Bytes bytes_per_token,
                 MonotonicTime now);
  // Call when a caller asks for addresses and names its conversation. May queue
  // a prefetch pin.
  void OnAddressLookup(const ConversationKey& key, MonotonicTime now);

  // For CacheTask.
  void SyncEngines(const std::vector<EndpointInfo>& engines, MonotonicTime now);
  void SyncStores(const std::vector<StoreSpec>& declared,
                  const std::vector<EndpointInfo>& instances);
  [[nodiscard]] std::optional<std::uint64_t> NextSequence(
      const EndpointId& engine) const;
  ApplyOutcome Apply(const EndpointId& engine, const CacheEventBatch& batch);
  void Relist(const EndpointId& engine, const CacheEventBatch& listing);
  [[nodiscard]] std::map<StoreId, NetAddress> StoreAddresses() const;
  void OnStoreStatus(const StoreId& store,
                     const Result<StoreStatus>& status,
                     MonotonicTime now);
  void WriteMetrics(Metrics& metrics, MonotonicTime now) const;

  // For ExportTask.
  [[nodiscard]] PlannedTransfers NextMoves(MonotonicTime now);
  void OnExportEnd(const ExportMove& move,
                   const Result<BlockHandle>& answer,
                   MonotonicTime now);
  [[nodiscard]] std::optional<PinOrder> NextPrefetch();
  void OnPinEnd(const PinOrder& order, const Status& answer, MonotonicTime now);

  [[nodiscard]] nlohmann::json DumpState() const override;

 private:
  // Removes and returns the queued prefetch pin of this object, if any.
  [[nodiscard]] std::optional<PinOrder> TakePrefetch(HandleId id);
  [[nodiscard]] std::optional<PinOrder> BeginPin(const PromptCache& cached,
                                                 MonotonicTime now);

  const std::string secret_;
  mutable std::mutex mutex_;
  BlockDirectory directory_{DirectoryOptions{}};
  CacheTransferPlanner planner_{CacheTransferPlannerOptions{}};
  std::vector<EndpointId> engines_;
  std::map<StoreId, NetAddress> stores_;
  std::deque<PinOrder> prefetches_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TABLES_CACHE_TABLE_H_
