// Tracks the state of each KV cache store: its generation, its free space, the
// measured rate of its link, and whether it is in backoff.
//
//   StoreTable stores;
//   stores.Declare(spec.id, spec.link_bytes_per_second);
//   StoreChange change = stores.OnStatus(id, store.FetchStatus(address), now);
//   std::optional<Milliseconds> t = stores.ImportTime(id, bytes, now);
//
// Stores die, fill up and slow down without notice, and their status is polled,
// so it lags. Without the measured rate, transfers over a link that has slowed
// to a tenth of its budget would still be planned with the full budget, and
// each import would block its caller ten times longer than a recompute. Without
// backoff a dead store would cost each returning prompt a timeout.
//
// The rate falls immediately to the rate of a slow transfer, also while a
// transfer is overdue, but rises by only a quarter of the difference per
// transfer: a rate that is too low costs a recompute, one that is too high
// makes a caller wait. While the link is unused the rate rises by half per
// minute, so that a recovered link is tried again within a few minutes. The
// backoff of 5 s is longer than the period of a status poll and shorter than
// the time that a caller's retry takes.

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

inline constexpr Milliseconds kStoreBackoff{5000};
// Number of consecutive failures after which a store counts as dead.
inline constexpr int kDeadAfterFailures = 3;
// Maximum number of transfers that are examined for being overdue; later ones
// are ignored.
inline constexpr std::size_t kMaxExaminedTransfers = 64;

enum class StoreChange { kNone, kRestarted, kDied };
enum class TransferEnd {
  kMoved,
  kFailed,
  // No byte used the link. The bytes are returned to the budget.
  kNotStarted,
};

using TransferId = StrongType<struct TransferIdTag, std::uint64_t>;

struct StartedTransfer {
  TransferId id;
  // The transfer must not start before this time has passed. 0 for exports.
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
  // Adds a store or changes its budget. Its free space counts as 0 until the
  // first status.
  void Declare(const StoreId& store, Bytes link_bytes_per_second);
  void Remove(const StoreId& store);

  // Applies the answer to a status poll.
  StoreChange OnStatus(const StoreId& store,
                       const Result<StoreStatus>& status,
                       MonotonicTime now);
  // Records that the store answered kStoreFull to an export.
  void OnFull(const StoreId& store, MonotonicTime now);
  // Records that a transfer or pin failed because of the store.
  void OnFailure(const StoreId& store, MonotonicTime now);
  // Records that an object was dropped, so that its space counts as free before
  // the next poll reports it.
  void OnDropped(const StoreId& store, Bytes bytes);

  // Takes the transfer from the link's budget. Returns nullopt if an export
  // would have to wait at all or an import longer than kMaxImportWait.
  // `non_transfer_time` is the part of the time until End() that the link does
  // not account for.
  [[nodiscard]] std::optional<StartedTransfer> Begin(
      const StoreId& store,
      TransferKind kind,
      Bytes bytes,
      MonotonicTime now,
      Milliseconds non_transfer_time = Milliseconds(0));
  // Ends a transfer. The link's rate is updated from transfers that moved all
  // their bytes.
  void End(TransferId transfer, TransferEnd end, MonotonicTime now);

  // Returns the expected time of an import that is ordered now, including the
  // wait for the budget and for transfers in progress, or nullopt if the store
  // is not usable.
  [[nodiscard]] std::optional<Milliseconds> ImportTime(const StoreId& store,
                                                       Bytes bytes,
                                                       MonotonicTime now) const;
  [[nodiscard]] std::optional<Milliseconds> ExportWait(const StoreId& store,
                                                       Bytes bytes,
                                                       MonotonicTime now) const;
  // Returns the bytes that can still be written. May be negative if the status
  // lags.
  [[nodiscard]] Bytes Room(const StoreId& store) const;
  // Returns the stores that accept exports now, the one with the fastest link
  // first.
  [[nodiscard]] std::vector<StoreId> StoresForExport(MonotonicTime now) const;
  // Returns the pressure on the link from 0 to 1, and 1 for an unknown store.
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
    MonotonicTime backoff_until;
    MonotonicTime full_until;
  };

  [[nodiscard]] const Store* FindUsable(const StoreId& id,
                                        MonotonicTime now) const;
  [[nodiscard]] double RateOf(const StoreId& id,
                              const Store& store,
                              MonotonicTime now) const;
  // Returns the expected seconds until the transfers in progress have ended.
  [[nodiscard]] double Backlog(const StoreId& id,
                               double rate,
                               MonotonicTime now) const;
  static void UpdateMeasuredRate(Store& store, double rate, MonotonicTime now);

  std::map<StoreId, Store> stores_;
  std::map<TransferId, Transfer> transfers_;
  std::uint64_t next_transfer_ = 1;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CACHE_STORE_TABLE_H_
