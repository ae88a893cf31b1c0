// Plans all KV cache transfers between engines and stores for the conversations
// of one gateway instance: what to export at the end of a turn, what to import
// when the caller returns, what to evict from a full store and what to pin
// ahead of a return.
//
//   planner.OnTurnEnd(turn, now);
//   // Off the request path.
//   PlannedTransfers moves = planner.NextTransfers(now);
//   planner.OnExportEnd(move.id, move.transfer, answer, now);
//   ...
//   std::optional<StoredImport> option =
//       planner.BestImport(key, ns, chain, now);
//   std::optional<PinOrder> pin = planner.BeginPin(*option, ns, chain, now);
//   planner.OnPinEnd(*pin, store.Pin(...), now);
//   std::optional<ImportGrant> grant =
//       planner.BeginImport(*option, ns, chain, engine_time, now);
//   ... GenerateRequest.import = grant->handle ...
//   planner.EndImport(*grant, outcome, now);
//
// The reasons for the design are in export_policy.h for the choices,
// stored_object_tracker.h for safety, store_table.h for slow, full and dead
// stores, and link_budget.h for the link. Each failure on the way costs a
// recompute and nothing else.
//
// kExportDelay avoids an export per turn while a conversation is active, and is
// short compared with the minutes for which an engine keeps blocks; under
// memory pressure there is no delay. An eviction examines a sample of
// kVictimSample objects, so that its cost does not depend on the size of the
// store. With kSupersedeShare, a further export must cover a tenth more tokens
// than the stored object.

#ifndef CAROBSHIFT_CACHE_CACHE_TRANSFER_PLANNER_H_
#define CAROBSHIFT_CACHE_CACHE_TRANSFER_PLANNER_H_

#include <optional>
#include <span>
#include <vector>

#include "carobshift/cache/conversation_table.h"
#include "carobshift/cache/export_policy.h"
#include "carobshift/cache/export_queue.h"
#include "carobshift/cache/store_table.h"
#include "carobshift/cache/stored_object_tracker.h"

namespace carobshift {

inline constexpr Milliseconds kExportDelay{20000};
inline constexpr std::size_t kVictimSample = 64;
inline constexpr double kSupersedeShare = 1.1;
inline constexpr std::size_t kMaxMovesAtOnce = 16;

struct CacheTransferPlannerOptions {
  const ExportStrategy* strategy = &ExportStrategyNamed("value per byte");
  ConversationTableOptions conversations;
  StoredObjectTrackerOptions guard;
  // Prefill speed of one engine, for the estimated cost of a recompute.
  double prefill_tokens_per_second = 8000;
  // Time for which engines keep the blocks of an idle conversation.
  Seconds engine_residence{600};
  // Returns after a longer idle time have no value.
  Seconds horizon{604800};
};

struct ExportMove {
  HandleId id;
  TransferId transfer;
  EndpointId endpoint;
  CacheNamespace cache_namespace;
  std::vector<BlockHash> blocks;
  StoreId store;
  Bytes bytes_per_token = 0;
  Bytes bytes = 0;
};

struct PlannedTransfers {
  std::vector<ExportMove> exports;
  // Objects that were forgotten already and that the store may free.
  std::vector<BlockHandle> drops;
};

struct StoredImport {
  HandleId id;
  StoreId store;
  // Number of tokens that the import covers.
  Tokens tokens = 0;
  Bytes bytes = 0;
  // Expected time of the transfer, including the wait for the link's budget.
  Milliseconds transfer{0};
};

struct ImportGrant {
  HandleId id;
  TransferId transfer;
  BlockHandle handle;
  // The request with the handle must not be sent before this time has passed,
  // because the link's budget is in use until then.
  Milliseconds wait{0};
  // An attempt that has not begun to answer by this time must be cancelled.
  // Soon after, the store may free the object while the engine still reads it.
  MonotonicTime use_until;
};

enum class ImportOutcome {
  kImported,
  // The engine had the blocks already or was never reached. The outcome implies
  // nothing about the object.
  kNotTried,
  // The attempt ended before the engine answered.
  kInterrupted,
  // The engine had to compute tokens that the handle covers.
  kRejected,
};

struct PlannerStats {
  std::size_t conversations = 0;
  std::size_t objects = 0;
  std::size_t candidates = 0;
  std::uint64_t exports_ordered = 0;
  std::uint64_t exports_sealed = 0;
  std::uint64_t exports_not_worth = 0;
  std::uint64_t candidates_dropped = 0;
  std::uint64_t evictions = 0;
  std::uint64_t imports = 0;
  std::uint64_t imports_rejected = 0;
  std::uint64_t prefetches = 0;
};

// Thread-compatible. The owner guards it with one lock.
class CacheTransferPlanner {
 public:
  explicit CacheTransferPlanner(const CacheTransferPlannerOptions& options);

  StoreTable& stores() { return stores_; }
  [[nodiscard]] const StoreTable& stores() const { return stores_; }
  [[nodiscard]] const ConversationTable& conversations() const {
    return conversations_;
  }
  [[nodiscard]] const StoredObjectTracker& objects() const {
    return object_tracker_;
  }
  [[nodiscard]] PlannerStats Stats() const;

  void OnTurnEnd(TurnEnd turn, MonotonicTime now);
  // Makes the endpoint's export candidates due immediately, because it is short
  // of KV memory or leaving.
  void OnMemoryPressure(const EndpointId& endpoint, MonotonicTime now);
  // Sets the residence time that the owner measured, e.g. blocks held divided
  // by evictions per second.
  void SetEngineResidence(Seconds residence) {
    options_.engine_residence = residence;
  }

  // Returns the exports and drops to order now, within the link budgets and the
  // free space of the stores. The caller orders all of them at once: an export
  // that waited for a thread would be measured as a slow link.
  [[nodiscard]] PlannedTransfers NextTransfers(
      MonotonicTime now,
      std::size_t max_exports = kMaxMovesAtOnce);
  void OnExportEnd(HandleId id,
                   TransferId transfer,
                   const Result<BlockHandle>& answer,
                   MonotonicTime now);

  // Returns the stored object that saves most for this prompt, or nullopt if no
  // store is usable now. Routing decides whether to import it; see
  // ShouldImport().
  [[nodiscard]] std::optional<StoredImport> BestImport(
      const ConversationKey& key,
      const CacheNamespace& cache_namespace,
      std::span<const BlockHash> chain,
      MonotonicTime now) const;
  // Returns the pin to order before the import, or nullopt if an existing pin
  // lasts long enough.
  [[nodiscard]] std::optional<PinOrder> BeginPin(
      const StoredImport& option,
      const CacheNamespace& cache_namespace,
      std::span<const BlockHash> chain,
      MonotonicTime now);
  void OnPinEnd(const PinOrder& order, const Status& answer, MonotonicTime now);
  // Takes the transfer from the link's budget and grants the handle. The caller
  // recomputes if the result is nullopt. `engine_time` is the expected time to
  // the first token without the transfer; it is excluded from the measured rate
  // of the link.
  [[nodiscard]] std::optional<ImportGrant> BeginImport(
      const StoredImport& option,
      const CacheNamespace& cache_namespace,
      std::span<const BlockHash> chain,
      Milliseconds engine_time,
      MonotonicTime now);
  void EndImport(const ImportGrant& grant,
                 ImportOutcome outcome,
                 MonotonicTime now);

  // Handles a caller that requests addresses and names its conversation.
  // Returns a pin order for the conversation's object, so that it is not
  // evicted before the caller's request.
  [[nodiscard]] std::optional<PinOrder> OnAddressLookup(
      const ConversationKey& key,
      MonotonicTime now);

  void OnStoreStatus(const StoreId& store,
                     const Result<StoreStatus>& status,
                     MonotonicTime now);
  void OnStoreRemoved(const StoreId& store);

 private:
  [[nodiscard]] Milliseconds RecomputeTime(Tokens tokens) const;
  [[nodiscard]] Tokens StoredTokens(const TurnEnd& turn) const;
  // Sets the fields of `value` that depend on the conversation's expected
  // return.
  void Forecast(const Conversation& conversation,
                MonotonicTime now,
                Valuation& value) const;
  [[nodiscard]] Valuation ValueCandidate(const ExportCandidate& candidate,
                                         const StoreId& store,
                                         MonotonicTime now) const;
  [[nodiscard]] Valuation ValueObject(const TrackedObject& object,
                                      MonotonicTime now) const;
  [[nodiscard]] double BestScore(const ExportCandidate& candidate,
                                 std::span<const StoreId> stores,
                                 MonotonicTime now) const;
  // Orders the export to the first store that accepts it now.
  bool TryExport(const ExportCandidate& candidate,
                 std::span<const StoreId> stores,
                 MonotonicTime now,
                 PlannedTransfers& moves);
  bool MakeRoom(const StoreId& store,
                Bytes bytes,
                double score,
                MonotonicTime now,
                PlannedTransfers& moves);
  void DropObject(HandleId id, PlannedTransfers& moves);
  void DropSuperseded(const TrackedObject& fresh, MonotonicTime now);
  // Returns the due candidates that are worth an export now, best first.
  [[nodiscard]] std::vector<ExportQueue::Iterator> RankDue(
      std::span<const StoreId> stores,
      MonotonicTime now);
  void DropOrphans(MonotonicTime now, PlannedTransfers& moves);
  [[nodiscard]] bool IsPastResidence(const ExportCandidate& candidate,
                                     MonotonicTime now) const;
  void SyncForgotten();

  CacheTransferPlannerOptions options_;
  StoreTable stores_;
  ConversationTable conversations_;
  StoredObjectTracker object_tracker_;
  ExportQueue queue_;
  HandleId sample_cursor_;
  // Drops that the next call to NextTransfers returns.
  std::vector<HandleId> pending_drops_;
  PlannerStats stats_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CACHE_CACHE_TRANSFER_PLANNER_H_
