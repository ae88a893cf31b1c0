// Where the blocks of prompts are: on engines by their cache events, and in
// stores by this entry's own exports. What routing is told of a prompt, and
// what becomes of an import.
//
//   PromptCache cached = cache.View(prompt_identity, candidates, now);
//   query.cache = cached.view;
//   ...
//   std::optional<ImportGrant> grant = cache.BeginImport(stores, cached, ...);
//
// Thread-safe: one mutex, innermost; no I/O is done while it is held. Bounds:
// see block_directory.h and return_planner.h.

#ifndef CAROBSHIFT_SERVER_TABLES_CACHE_TABLE_H_
#define CAROBSHIFT_SERVER_TABLES_CACHE_TABLE_H_

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/cache/block_directory.h"
#include "carobshift/cache/return_planner.h"
#include "carobshift/external/store.h"
#include "carobshift/server/tables/endpoint_table.h"
#include "carobshift/server/tables/service_load.h"
#include "carobshift/telemetry/metrics.h"
#include "carobshift/telemetry/state_source.h"

namespace carobshift {

// What a prompt's blocks are found by.
struct PromptIdentity {
  AccountId account;
  std::optional<ConversationId> conversation;
  ModelName model;
  AdapterName adapter;
  const std::string* prompt = nullptr;
};

// What is cached of one prompt, for endpoints of one weight version.
struct PromptCache {
  WeightVersion version;
  CacheNamespace cache_namespace;
  std::vector<BlockHash> chain;
  CacheView view;
  // For the conversation; matches view.imports[0] if set.
  std::optional<ConversationKey> key;
  std::optional<StoredImport> stored;
};

class CacheTable : public StateSource {
 public:
  explicit CacheTable(std::string secret);

  // For the version that most candidates run; blocks of the others are not
  // looked at, as no request may use blocks across versions.
  [[nodiscard]] PromptCache View(const PromptIdentity& identity,
                                 const std::vector<EndpointInfo>& candidates,
                                 MonotonicTime now) const;

  // Pins the object and waits its turn on the link; nothing means recompute.
  // Blocks for at most the store client's timeout and kMaxImportWait.
  [[nodiscard]] std::optional<ImportGrant> BeginImport(
      StoreClient& stores,
      const PromptCache& cached,
      Milliseconds engine_time);
  void EndImport(const ImportGrant& grant,
                 ImportOutcome outcome,
                 MonotonicTime now);
  [[nodiscard]] NetAddress StoreAddress(const StoreId& store) const;

  // The answer has ended; the engine holds the prompt's blocks now.
  void OnTurnEnd(const PromptCache& cached,
                 const EndpointId& endpoint,
                 Bytes bytes_per_token,
                 MonotonicTime now);
  // A caller asked for addresses and named its conversation.
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
  [[nodiscard]] Moves NextMoves(MonotonicTime now);
  void OnExportEnd(const ExportMove& move,
                   const Result<BlockHandle>& answer,
                   MonotonicTime now);
  [[nodiscard]] std::optional<PinOrder> NextPrefetch();
  void OnPinEnd(const PinOrder& order, const Status& answer, MonotonicTime now);

  [[nodiscard]] nlohmann::json DumpState() const override;

 private:
  // The pin ahead of this object that still waits for a thread, if any.
  [[nodiscard]] std::optional<PinOrder> TakePrefetch(HandleId id);
  [[nodiscard]] std::optional<PinOrder> BeginPin(const PromptCache& cached,
                                                 MonotonicTime now);

  const std::string secret_;
  mutable std::mutex mutex_;
  BlockDirectory directory_{DirectoryOptions{}};
  ReturnPlanner planner_{ReturnPlannerOptions{}};
  std::vector<EndpointId> engines_;
  std::map<StoreId, NetAddress> stores_;
  std::deque<PinOrder> prefetches_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TABLES_CACHE_TABLE_H_
