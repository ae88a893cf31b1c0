// What a stored object is worth, and the strategies that decide by it: which
// conversations to export and which objects a full store gives up.
//
//   const ExportStrategy& ours = ExportStrategyNamed("value per byte");
//   if (ours.export_score(valuation) > 0) ...
//
// Load pattern: callers return after minutes to days, most contexts are evicted
// from the engines by then, and stores and links carry only a part of them.
// Without a store each return is computed again. With "always export" the link
// carries every turn of every conversation, among them those that never
// return; with least recently used, a long gap alone makes a costly dossier
// the first to go. benchmarks/returning_driver runs all four over the same
// arrivals; docs/DECISIONS-CACHE.md has the figures.
//
// Pure functions and tables; thread-safe.

#ifndef CAROBSHIFT_CACHE_EXPORT_POLICY_H_
#define CAROBSHIFT_CACHE_EXPORT_POLICY_H_

#include <span>
#include <string_view>

#include "carobshift/base/units.h"

namespace carobshift {

struct Valuation {
  // That the conversation returns after the engine has evicted its blocks and
  // before the horizon ends.
  double return_probability = 0;
  // The same by the time that the object has to be kept for it.
  double returns_per_second = 0;
  // Prefill time saved then, beyond what an older object saves already.
  Milliseconds saved{0};
  Bytes bytes = 0;
  // Time the transfer holds the link, and how full the link is (0 to 1).
  Milliseconds link_time{0};
  double link_pressure = 0;
  // Since the conversation was last seen.
  Seconds idle{0};
  // Since the object was sealed; 0 for a candidate.
  Seconds stored_for{0};
};

// One row per strategy. A higher score goes first; an export score of 0 or
// less means that the export isn't worth its cost.
struct ExportStrategy {
  std::string_view name;
  // Whether exports wait until the conversation has paused for
  // kExportDelay; see return_planner.h.
  bool waits_for_pause = false;
  double (*export_score)(const Valuation&) = nullptr;
  // The lowest goes first when a store needs room.
  double (*keep_score)(const Valuation&) = nullptr;
};

// "no store", "always export", "least recently used", "value per byte".
[[nodiscard]] std::span<const ExportStrategy> ExportStrategies();

// The row of that name; the name must be one of the table's.
[[nodiscard]] const ExportStrategy& ExportStrategyNamed(std::string_view name);

// True if importing is expected to be no slower than recomputing.
[[nodiscard]] bool ShouldImport(Milliseconds import_time,
                                Milliseconds recompute_time);

}  // namespace carobshift

#endif  // CAROBSHIFT_CACHE_EXPORT_POLICY_H_
