// The variants that the driver compares: the full system ("ours"), and the
// system with one mechanism replaced by a simpler standard one.
//
//   for (const Variant& variant : Variants()) ...

#ifndef BENCHMARKS_SIM_VARIANT_H_
#define BENCHMARKS_SIM_VARIANT_H_

#include <span>
#include <string_view>

#include "carobshift/retry/crash_suspects.h"
#include "carobshift/retry/retry_budget.h"
#include "carobshift/retry/retry_policy.h"
#include "carobshift/server/tables/service_load.h"

namespace carobshift {

struct Variant {
  std::string_view name;
  std::string_view strategy = "ours";
  bool fair = true;
  // If false, every request is sent to an engine at once and none is refused.
  bool limited = true;
  // If false, each entry claims all free capacity that it sees, as if it were
  // the only entry.
  bool entry_share = true;
  bool health = true;
  bool retry_budget = true;
  bool suspects = true;

  [[nodiscard]] ServiceLoadOptions LoadOptions() const;
  [[nodiscard]] RetryBudgetOptions BudgetOptions() const;
  [[nodiscard]] RetryPolicy Policy() const;
  [[nodiscard]] CrashSuspectOptions SuspectOptions() const;
};

[[nodiscard]] std::span<const Variant> Variants();
[[nodiscard]] const Variant& FindVariant(std::string_view name);

}  // namespace carobshift

#endif  // BENCHMARKS_SIM_VARIANT_H_
