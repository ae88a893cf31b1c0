// Values stored KV cache objects and defines the strategies that decide which
// conversations to export and which objects to evict from a full store.
//
//   const ExportStrategy& strategy = ExportStrategyNamed("value per byte");
//   if (strategy.export_score(valuation) > 0) ...
//
// Callers return after minutes to days. By then the engines have evicted most
// contexts, and stores and links can carry only part of them. Without a store
// each return is recomputed. With "always export" the link carries every turn
// of every conversation, including those that never return. With "least
// recently used" a long gap alone makes a context that is expensive to
// recompute the first to be evicted. benchmarks/returning_driver runs all four
// strategies over the same arrivals; docs/DECISIONS-CACHE.md has the figures.
//
// Pure functions and tables; thread-safe.

#ifndef CAROBSHIFT_CACHE_EXPORT_POLICY_H_
#define CAROBSHIFT_CACHE_EXPORT_POLICY_H_

#include <span>
#include <string_view>

#include "carobshift/base/units.h"

namespace carobshift {

struct Valuation {
  // Probability that the conversation returns after the engine has evicted its
  // blocks and before the horizon ends.
  double return_probability = 0;
  // The same probability, divided by the time for which the object has to be
  // kept until the return.
  double returns_per_second = 0;
  // Prefill time saved by the return, beyond what an older object saves
  // already.
  Milliseconds saved{0};
  Bytes bytes = 0;
  // Time for which the transfer occupies the link, and how full the link is (0
  // to 1).
  Milliseconds link_time{0};
  double link_pressure = 0;
  // Time since the conversation was last active.
  Seconds idle{0};
  // Time since the object was sealed; 0 for an export candidate.
  Seconds stored_for{0};
};

// One row per strategy. Candidates with higher export scores are exported
// first. An export score of 0 or less means that the export is not worth its
// cost.
struct ExportStrategy {
  std::string_view name;
  // Whether exports are delayed until the conversation has been idle for
  // kExportDelay; see cache_transfer_planner.h.
  bool delays_export = false;
  double (*export_score)(const Valuation&) = nullptr;
  // The object with the lowest score is evicted first when a store needs space.
  double (*keep_score)(const Valuation&) = nullptr;
};

// Returns all strategies: "no store", "always export", "least recently used",
// "value per byte".
[[nodiscard]] std::span<const ExportStrategy> ExportStrategies();

// Returns the strategy of that name, which must be one of ExportStrategies().
[[nodiscard]] const ExportStrategy& ExportStrategyNamed(std::string_view name);

// Returns true if importing is expected to be no slower than recomputing.
[[nodiscard]] bool ShouldImport(Milliseconds import_time,
                                Milliseconds recompute_time);

}  // namespace carobshift

#endif  // CAROBSHIFT_CACHE_EXPORT_POLICY_H_
