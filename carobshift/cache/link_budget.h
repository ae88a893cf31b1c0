// Keeps the transfers towards one store within the link's declared budget, and
// imports before exports.
//
//   LinkBudget budget(store.link_bytes_per_second);
//   if (budget.TryTake(TransferKind::kExport, bytes, now))
//     // order the export
//
// Load pattern: the end of a busy hour offers far more exports than the link
// carries, while callers wait for imports on the same link. Without a budget
// the exports fill the link and every import takes several times as long as
// the recompute that it was to save.
//
// Grounds for the figures: the bucket refills at 90% of the budget, holds one
// second of it and lets an object of up to five seconds go into debt, so what
// is admitted in any minute is at most 0.9 * 60 + 1 + 5 = 60 seconds' worth:
// the budget. Exports leave half of the bucket to imports.

#ifndef CAROBSHIFT_CACHE_LINK_BUDGET_H_
#define CAROBSHIFT_CACHE_LINK_BUDGET_H_

#include <optional>

#include "carobshift/base/units.h"

namespace carobshift {

enum class TransferKind { kImport, kExport };

inline constexpr double kRefillShare = 0.9;
inline constexpr double kBurstSeconds = 1.0;
inline constexpr double kLargestObjectSeconds = 5.0;
// A caller that has to wait longer for its import's turn on the link than a
// first token may take is better off with a recompute.
inline constexpr Milliseconds kMaxImportWait{590};

// A token bucket of bytes. Thread-compatible. Times given must not go back.
class LinkBudget {
 public:
  explicit LinkBudget(Bytes bytes_per_second);

  // Takes `bytes` for an import that starts after the returned wait; nothing if
  // that is longer than kMaxImportWait.
  [[nodiscard]] std::optional<Milliseconds> BookImport(Bytes bytes,
                                                       MonotonicTime now);
  // Takes `bytes` if the budget allows that transfer to start now.
  [[nodiscard]] bool TryTake(TransferKind kind, Bytes bytes, MonotonicTime now);
  // How long until TryTake would succeed if nothing else takes; nothing ever
  // moves an object above the largest size, for which it is Milliseconds::max.
  [[nodiscard]] Milliseconds WaitFor(TransferKind kind,
                                     Bytes bytes,
                                     MonotonicTime now) const;
  // Gives back what a transfer that never started had taken.
  void Return(Bytes bytes);

  [[nodiscard]] Bytes bytes_per_second() const { return bytes_per_second_; }
  [[nodiscard]] Bytes taken(TransferKind kind) const {
    return kind == TransferKind::kImport ? taken_imports_ : taken_exports_;
  }
  // 0 for an idle link, 1 for one whose bucket is empty.
  [[nodiscard]] double pressure(MonotonicTime now) const;

 private:
  [[nodiscard]] double LevelAt(MonotonicTime now) const;
  [[nodiscard]] double LevelNeeded(TransferKind kind, Bytes bytes) const;
  [[nodiscard]] double capacity() const;

  Bytes bytes_per_second_;
  double level_;
  MonotonicTime as_of_;
  Bytes taken_imports_ = 0;
  Bytes taken_exports_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CACHE_LINK_BUDGET_H_
