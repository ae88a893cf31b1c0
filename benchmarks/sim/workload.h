// The arrivals of one scenario: the same for every variant that it compares.
//
//   const Scenario* scenario = FindScenario("hot_account");
//   std::vector<Need> needs = MakeArrivals(shape, *scenario, seed);

#ifndef BENCHMARKS_SIM_WORKLOAD_H_
#define BENCHMARKS_SIM_WORKLOAD_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "benchmarks/sim/event_loop.h"

namespace carobshift {

inline constexpr int kAccounts = 10;
// The first three are the large ones.
inline constexpr int kLargeAccounts = 3;

// One of the two deployments.
struct Shape {
  std::string_view name;
  int engines = 12;
  int entries = 7;
  // Arrivals a second in quiet times: about 40% of what the engines serve.
  double rate = 30;
  double dossier_share = 0.15;
  Tokens dossier_tokens = 12000;
  Tokens question_tokens = 700;
  Tokens decode_tokens = 80;
  // Seconds that a weight swap takes.
  int swap_seconds = 2;
};

[[nodiscard]] std::span<const Shape> Shapes();

// What somebody wants from a service, whatever number of requests it takes.
struct Need {
  std::uint64_t id = 0;
  MonotonicTime arrival{};
  int account = 0;
  std::uint64_t prefix = 0;
  Tokens prefix_tokens = 0;
  Tokens prompt_tokens = 0;
  Tokens decode_tokens = 0;
  bool dossier = false;
  // From a request to its first token. A review of a dossier is worth a wait.
  [[nodiscard]] Milliseconds deadline() const {
    return dossier ? Milliseconds(10000) : Milliseconds(2000);
  }
  // A caller who hears nothing for this long asks again.
  [[nodiscard]] Milliseconds patience() const { return 2 * deadline(); }
  // Crashes each engine that runs it.
  bool poison = false;
};

enum class Fault {
  kNone,
  kSlowEngine,
  kStalledEngine,
  kHalfGone,
  kWeightSwap,
  kLinkAtTenth
};

struct Scenario {
  std::string_view name;
  Fault fault = Fault::kNone;
  // Between begin and end, in seconds, the fault holds and the load is
  // multiplied.
  int begin = 20;
  int end = 40;
  int duration = 90;
  double load_factor = 1;
  // Times the usual load of account 5, a small one.
  double hot_account_factor = 1;
  // Of all needs, those that share one long prefix.
  double hot_prefix_share = 0;
  // Times the usual share of dossiers, all from account 0.
  double dossier_factor = 1;
  int poison_needs = 0;
};

[[nodiscard]] std::span<const Scenario> Scenarios();
[[nodiscard]] const Scenario* FindScenario(std::string_view name);

[[nodiscard]] std::vector<Need> MakeArrivals(const Shape& shape,
                                             const Scenario& scenario,
                                             std::uint64_t seed);

}  // namespace carobshift

#endif  // BENCHMARKS_SIM_WORKLOAD_H_
