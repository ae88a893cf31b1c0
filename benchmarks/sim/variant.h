// The rows that the driver compares: ours, and ours with one mechanism
// replaced by the usual simpler one.
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
  // Without it everything is sent to the engines at once, nothing refused.
  bool limited = true;
  // Without it each entry takes all that it sees free, as if it were alone.
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
