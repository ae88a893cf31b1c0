// Compares redundancy schemes for stored blocks: none, a second copy, and
// parity within the zone (two halves of each object and their XOR on three
// stores). Reports the link bytes and the share of tokens that is recomputed
// when a store fails. Prints "name value unit":
//
//   redundancy_driver [SEED]
//
// Redundant bytes displace other objects, so each scheme runs with the capacity
// that is left for data, and only "none" runs with the store failure. Three
// assumptions favor redundancy: a store fails every two days, its repair takes
// no time, and redundant exports don't compete for the link.

#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "benchmarks/returning/returning_scenarios.h"

namespace carobshift {
namespace {

struct Redundancy {
  const char* name;
  // Bytes written for each byte of an object.
  double written = 1;
  // Bytes read from other stores to restore a lost byte.
  double read_for_repair = 0;
  bool survives_failure = false;
};

constexpr std::array<Redundancy, 3> kSchemes = {{
    {"none", 1.0, 0.0, false},
    {"second_copy", 2.0, 1.0, true},
    {"parity_2_1", 1.5, 2.0, true},
}};
constexpr double kGigabyte = 1e9;

void Evaluate(ReturningScenario scenario,
              const Redundancy& scheme,
              std::uint64_t seed) {
  const auto total_capacity = static_cast<double>(scenario.store_capacity);
  scenario.store_capacity = static_cast<Bytes>(total_capacity / scheme.written);
  scenario.store_dies = !scheme.survives_failure;
  const ReturningReport report =
      SimulateReturns(scenario, "value per byte", seed);
  // The contents of the failed store are read elsewhere and written again.
  const double repair =
      scheme.survives_failure
          ? total_capacity / kGigabyte * (scheme.read_for_repair + 1)
          : 0;
  const double link_bytes =
      report.exported_gb * scheme.written + report.imported_gb + repair;
  const std::string prefix = "redundancy/" + std::string(scenario.name) + "/" +
                             std::string(scheme.name);
  std::printf("%s/recomputed_share %.4g ratio\n", prefix.c_str(),
              report.recomputed_share);
  std::printf("%s/first_token_p95 %.4g ms\n", prefix.c_str(),
              report.first_token_p95_ms);
  std::printf("%s/link %.5g GB\n", prefix.c_str(), link_bytes);
  std::printf("%s/repair %.4g GB\n", prefix.c_str(), repair);
}

}  // namespace
}  // namespace carobshift

int main(int argc, char** argv) {
  using namespace carobshift;  // NOLINT(google-build-using-namespace)
  const std::uint64_t seed =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : kReturningSeed;
  // Stores with four times the usual capacity, the usual capacity, and a
  // quarter of it.
  const std::array<std::pair<const char*, double>, 3> capacities = {
      {{"ample_stores", 4.0}, {"usual_stores", 1.0}, {"small_stores", 0.25}}};
  for (const auto& [name, factor] : capacities) {
    ReturningScenario scenario;
    scenario.name = name;
    scenario.store_capacity = static_cast<Bytes>(
        static_cast<double>(scenario.store_capacity) * factor);
    for (const Redundancy& scheme : kSchemes)
      Evaluate(scenario, scheme, seed);
  }
  return 0;
}
