#include "benchmarks/sim/variant.h"

#include <algorithm>
#include <array>

namespace carobshift {

namespace {

// The routing baselines run without health tracking of slow endpoints: that is
// part of the comparison.
constexpr std::array kVariants = {
    Variant{.name = "ours"},
    Variant{.name = "round_robin", .strategy = "round_robin", .health = false},
    Variant{.name = "least_loaded",
            .strategy = "least_loaded",
            .health = false},
    Variant{.name = "prefix_affinity",
            .strategy = "prefix_affinity",
            .health = false},
    Variant{.name = "no_fairness", .fair = false},
    Variant{.name = "no_limit", .limited = false},
    Variant{.name = "no_entry_share", .entry_share = false},
    Variant{.name = "unlimited_retries",
            .retry_budget = false,
            .suspects = false},
    Variant{.name = "plain_proxy",
            .strategy = "round_robin",
            .fair = false,
            .limited = false,
            .health = false,
            .retry_budget = false,
            .suspects = false},
};

}  // namespace

ServiceLoadOptions Variant::LoadOptions() const {
  ServiceLoadOptions options;
  options.admission.fair = fair;
  options.health.enabled = health;
  options.strategy = *FindRoutingStrategy(strategy);
  if (!limited) {
    options.admission.refuse = false;
    options.admission_control = false;
  }
  return options;
}

RetryBudgetOptions Variant::BudgetOptions() const {
  return {.unlimited = !retry_budget};
}

RetryPolicy Variant::Policy() const {
  RetryPolicy policy;
  if (!retry_budget)
    policy.max_attempts = 10;
  return policy;
}

CrashSuspectOptions Variant::SuspectOptions() const {
  return {.enabled = suspects};
}

std::span<const Variant> Variants() {
  return kVariants;
}

const Variant& FindVariant(std::string_view name) {
  return *std::ranges::find(kVariants, name, &Variant::name);
}

}  // namespace carobshift
