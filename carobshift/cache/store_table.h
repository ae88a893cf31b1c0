// What this entry knows of each KV cache store: its generation, its room, how
// fast its link really is, and whether it is to be left alone for a while.
//
//   StoreTable stores;
//   stores.Declare(spec.id, spec.link_bytes_per_second);
//   StoreChange change = stores.OnStatus(id, store.FetchStatus(address), now);
//   std::optional<Milliseconds> t = stores.ImportTime(id, bytes, now);
//
// Load pattern: stores die, fill up and slow down without notice, and their
// status is polled, so it lags. Without the measured rate a link at a tenth of
// its budget would go on being planned with the full budget, and each import
// would hold its caller ten times longer than a recompute. Without back-off a
// dead store would cost each returning prompt a timeout.
//
// Grounds for the figures: the rate falls to a slow transfer's own at once and
// also while one is overdue, but rises by a quarter of the difference per
// transfer: planning with too low a rate costs a recompute, with too high a
// one a caller's wait. Unused for a minute it rises by half, so that a link
// that has recovered is tried again within a few minutes. Back-off of 5 s:
// above a status poll's period, below the time that a caller's retry takes.

#ifndef CAROBSHIFT_CACHE_STORE_TABLE_H_
#define CAROBSHIFT_CACHE_STORE_TABLE_H_

#include <map>
#include <optional>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/result.h"
#include "carobshift/base/units.h"
#include "carobshift/cache/link_budget.h"
#include "carobshift/external/store.h"

namespace carobshift {

inline constexpr Milliseconds kStoreBackOff{5000};
// Failures in a row after which a store counts as dead.
inline constexpr int kDeadAfterFailures = 3;
// Transfers followed at once for being overdue; later ones are not followed.
inline constexpr std::size_t kMaxFollowedTransfers = 64;

enum class StoreChange { kNone, kRestarted, kDied };
enum class TransferEnd {
  kMoved,
  kFailed,
  // No byte used the link; the budget gets them back.
  kNotStarted,
};

using TransferId = StrongType<struct TransferIdTag, std::uint64_t>;

struct StartedTransfer {
  TransferId id;
  // The transfer must not start before this has passed. 0 for exports.
  Milliseconds wait{0};
};

struct StoreSummary {
  StoreId id;
  bool usable = false;
  std::uint64_t generation = 0;
  Bytes used = 0;
  Bytes capacity = 0;
  double bytes_per_second = 0;
  Bytes imported = 0;
  Bytes exported = 0;
};

// Thread-compatible.
class StoreTable {
 public:
  // Adds a store or changes its budget. Unknown room counts as none until the
  // first status.
  void Declare(const StoreId& store, Bytes link_bytes_per_second);
  void Remove(const StoreId& store);

  // Takes a status poll's answer.
  StoreChange OnStatus(const StoreId& store,
                       const Result<StoreStatus>& status,
                       MonotonicTime now);
  // The store answered kStoreFull to an export.
  void OnFull(const StoreId& store, MonotonicTime now);
  // A transfer or pin failed for a reason that lies with the store.
  void OnFailure(const StoreId& store, MonotonicTime now);
  // An object was dropped; its room is free before the next poll says so.
  void OnDropped(const StoreId& store, Bytes bytes);

  // Takes the transfer from the link's budget; nothing if an export has to
  // wait at all or an import longer than kMaxImportWait. `other_time` of the
  // time until End() is not the link's.
  [[nodiscard]] std::optional<StartedTransfer> Begin(
      const StoreId& store,
      TransferKind kind,
      Bytes bytes,
      MonotonicTime now,
      Milliseconds other_time = Milliseconds(0));
  // A rate is learned from transfers that moved all their bytes.
  void End(TransferId transfer, TransferEnd end, MonotonicTime now);

  // Expected time of an import that is ordered now, waiting for the budget and
  // for transfers under way included; nothing if the store is not to be used.
  [[nodiscard]] std::optional<Milliseconds> ImportTime(const StoreId& store,
                                                       Bytes bytes,
                                                       MonotonicTime now) const;
  [[nodiscard]] std::optional<Milliseconds> ExportWait(const StoreId& store,
                                                       Bytes bytes,
                                                       MonotonicTime now) const;
  // Bytes that can still be written; may be negative after a lagging status.
  [[nodiscard]] Bytes Room(const StoreId& store) const;
  // Stores that take exports now, the one with the fastest link first.
  [[nodiscard]] std::vector<StoreId> ForExport(MonotonicTime now) const;
  // 0 to 1; 1 also for an unknown store.
  [[nodiscard]] double LinkPressure(const StoreId& store,
                                    MonotonicTime now) const;
  [[nodiscard]] std::vector<StoreSummary> Summaries(MonotonicTime now) const;

 private:
  struct Transfer {
    StoreId store;
    TransferKind kind = TransferKind::kImport;
    Bytes bytes = 0;
    MonotonicTime began;
  };
  struct Store {
    explicit Store(Bytes rate)
        : budget(rate), measured_rate(static_cast<double>(rate)) {}
    LinkBudget budget;
    double measured_rate;
    MonotonicTime measured_at;
    std::optional<std::uint64_t> generation;
    Bytes used = 0;
    Bytes capacity = 0;
    Bytes pending = 0;
    int failures = 0;
    MonotonicTime leave_alone_until;
    MonotonicTime full_until;
  };

  [[nodiscard]] const Store* FindUsable(const StoreId& id,
                                        MonotonicTime now) const;
  [[nodiscard]] double RateOf(const StoreId& id,
                              const Store& store,
                              MonotonicTime now) const;
  // Seconds until the transfers under way have ended, by expectation.
  [[nodiscard]] double Backlog(const StoreId& id,
                               double rate,
                               MonotonicTime now) const;
  static void Learn(Store& store, double rate, MonotonicTime now);

  std::map<StoreId, Store> stores_;
  std::map<TransferId, Transfer> transfers_;
  std::uint64_t next_transfer_ = 1;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CACHE_STORE_TABLE_H_
