// Simulates every scenario of returning prompts with every export strategy, all
// from one seed, and prints lines "name value unit":
//
//   returning_driver [SEED]

#include <cstdio>
#include <cstdlib>
#include <string>

#include "benchmarks/returning/returning_scenarios.h"
#include "carobshift/cache/export_policy.h"

namespace carobshift {
namespace {

void Print(const std::string& prefix, const ReturningReport& report) {
  const auto line = [&](const char* name, double value, const char* unit) {
    std::printf("%s/%s %.4g %s\n", prefix.c_str(), name, value, unit);
  };
  line("returns", static_cast<double>(report.returns), "count");
  line("recomputed_share", report.recomputed_share, "ratio");
  line("first_token_p50", report.first_token_p50_ms, "ms");
  line("first_token_p95", report.first_token_p95_ms, "ms");
  line("imported", report.imported_gb, "GB");
  line("exported", report.exported_gb, "GB");
  line("busiest_link_minute", report.busiest_minute, "of_budget");
  line("imports", static_cast<double>(report.imports), "count");
  line("evictions", static_cast<double>(report.evictions), "count");
  line("imports_slower_than_recompute",
       static_cast<double>(report.slower_imports), "count");
  line("lost_by_slow_imports", report.lost_seconds, "s");
}

std::string Underscored(std::string_view text) {
  std::string out(text);
  for (char& c : out) {
    if (c == ' ')
      c = '_';
  }
  return out;
}

}  // namespace
}  // namespace carobshift

int main(int argc, char** argv) {
  using namespace carobshift;  // NOLINT(google-build-using-namespace)
  const std::uint64_t seed =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : kReturningSeed;
  std::printf("returning/seed %llu id\n",
              static_cast<unsigned long long>(seed));
  for (const ReturningScenario& scenario : ReturningScenarios()) {
    for (const ExportStrategy& strategy : ExportStrategies()) {
      Print("returning/" + std::string(scenario.name) + "/" +
                Underscored(strategy.name),
            SimulateReturns(scenario, strategy.name, seed));
    }
  }
  return 0;
}
