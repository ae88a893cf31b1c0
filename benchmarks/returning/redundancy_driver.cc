// Whether redundancy for stored blocks is worth it: none, a second copy, or
// parity within the zone (each object in two halves and their XOR on three
// places), weighed by link bytes and by the share recomputed although a store
// dies. Prints "name value unit":
//
//   redundancy_driver [SEED]
//
// Redundant bytes take the place of other objects, so each way runs with the
// room that is left to data, and none with the death itself. Three things are
// in favour of redundancy: a store dies every two days, its repair takes no
// time, and redundant exports don't compete for the link.

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
  bool survives = false;
};

constexpr std::array<Redundancy, 3> kWays = {{
    {"none", 1.0, 0.0, false},
    {"second_copy", 2.0, 1.0, true},
    {"parity_2_1", 1.5, 2.0, true},
}};
constexpr double kGigabyte = 1e9;

void Weigh(ReturningScenario scenario,
           const Redundancy& way,
           std::uint64_t seed) {
  const auto all_room = static_cast<double>(scenario.store_capacity);
  scenario.store_capacity = static_cast<Bytes>(all_room / way.written);
  scenario.store_dies = !way.survives;
  const ReturningReport report =
      SimulateReturns(scenario, "value per byte", seed);
  // What the dead store held is read elsewhere and written again.
  const double repair =
      way.survives ? all_room / kGigabyte * (way.read_for_repair + 1) : 0;
  const double moved =
      report.exported_gb * way.written + report.imported_gb + repair;
  const std::string prefix =
      "redundancy/" + std::string(scenario.name) + "/" + std::string(way.name);
  std::printf("%s/recomputed_share %.4g ratio\n", prefix.c_str(),
              report.recomputed_share);
  std::printf("%s/first_token_p95 %.4g ms\n", prefix.c_str(),
              report.first_token_p95_ms);
  std::printf("%s/link %.5g GB\n", prefix.c_str(), moved);
  std::printf("%s/repair %.4g GB\n", prefix.c_str(), repair);
}

}  // namespace
}  // namespace carobshift

int main(int argc, char** argv) {
  using namespace carobshift;  // NOLINT(google-build-using-namespace)
  const std::uint64_t seed =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : kReturningSeed;
  // Stores with room to spare, with the usual room, and with little.
  const std::array<std::pair<const char*, double>, 3> rooms = {
      {{"ample_stores", 4.0}, {"usual_stores", 1.0}, {"small_stores", 0.25}}};
  for (const auto& [name, factor] : rooms) {
    ReturningScenario scenario;
    scenario.name = name;
    scenario.store_capacity = static_cast<Bytes>(
        static_cast<double>(scenario.store_capacity) * factor);
    for (const Redundancy& way : kWays)
      Weigh(scenario, way, seed);
  }
  return 0;
}
