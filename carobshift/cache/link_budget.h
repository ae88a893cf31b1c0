// Limits the transfers to and from one store to the declared bandwidth of its
// link and prioritizes imports over exports.
//
//   LinkBudget budget(store.link_bytes_per_second);
//   if (budget.TryTake(TransferKind::kExport, bytes, now))
//     // order the export
//
// At the end of a busy hour far more exports are pending than the link can
// carry, while callers wait for imports on the same link. Without a budget the
// exports saturate the link, and every import takes several times as long as
// the recompute that it replaces.
//
// The bucket refills at 90% of the budget, holds one second of it and lets an
// object of up to five seconds create a debt. The amount admitted in any minute
// is therefore at most 0.9 * 60 + 1 + 5 = 60 seconds' worth, which is the
// budget. Exports leave half of the bucket to imports.

#ifndef CAROBSHIFT_CACHE_LINK_BUDGET_H_
#define CAROBSHIFT_CACHE_LINK_BUDGET_H_

#include <optional>

#include "carobshift/base/units.h"

namespace carobshift {

enum class TransferKind { kImport, kExport };

inline constexpr double kRefillShare = 0.9;
inline constexpr double kBurstSeconds = 1.0;
inline constexpr double kLargestObjectSeconds = 5.0;
// An import that would wait longer for the link than the limit for a first
// token is recomputed instead.
inline constexpr Milliseconds kMaxImportWait{590};

// A token bucket of bytes. Thread-compatible. The `now` arguments must not
// decrease.
class LinkBudget {
 public:
  explicit LinkBudget(Bytes bytes_per_second);

  // Takes `bytes` for an import that starts after the returned wait. Takes
  // nothing and returns nullopt if the wait would exceed kMaxImportWait.
  [[nodiscard]] std::optional<Milliseconds> BookImport(Bytes bytes,
                                                       MonotonicTime now);
  // Takes `bytes` and returns true if the budget allows the transfer to start
  // now.
  [[nodiscard]] bool TryTake(TransferKind kind, Bytes bytes, MonotonicTime now);
  // Returns the time until TryTake would succeed if nothing else is taken, or
  // Milliseconds::max for an object above the largest size, for which it never
  // succeeds.
  [[nodiscard]] Milliseconds WaitFor(TransferKind kind,
                                     Bytes bytes,
                                     MonotonicTime now) const;
  // Returns the bytes of a transfer that never started to the budget.
  void Return(Bytes bytes);

  [[nodiscard]] Bytes bytes_per_second() const { return bytes_per_second_; }
  [[nodiscard]] Bytes taken(TransferKind kind) const {
    return kind == TransferKind::kImport ? taken_imports_ : taken_exports_;
  }
  // Returns 0 for an idle link and 1 for one whose bucket is empty.
  [[nodiscard]] double pressure(MonotonicTime now) const;

 private:
  [[nodiscard]] double LevelAt(MonotonicTime now) const;
  [[nodiscard]] double LevelNeeded(TransferKind kind, Bytes bytes) const;
  [[nodiscard]] double capacity() const;

  Bytes bytes_per_second_;
  double level_;
  MonotonicTime level_updated_at_;
  Bytes taken_imports_ = 0;
  Bytes taken_exports_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CACHE_LINK_BUDGET_H_
