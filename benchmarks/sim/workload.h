// Generates the arrivals of one scenario. All variants of a comparison see the
// same arrivals.
//
//   const Scenario* scenario = FindScenario("hot_account");
//   std::vector<LogicalRequest> requests =
//       MakeArrivals(deployment, *scenario, seed);

#ifndef BENCHMARKS_SIM_WORKLOAD_H_
#define BENCHMARKS_SIM_WORKLOAD_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "benchmarks/sim/event_loop.h"

namespace carobshift {

inline constexpr int kAccounts = 10;
// Accounts 0 to 2 are large.
inline constexpr int kLargeAccounts = 3;

// Size and request mix of one of the two simulated deployments. A dossier is a
// prompt with a long document, a question a short prompt.
struct Deployment {
  std::string_view name;
  int engines = 12;
  int entries = 7;
  // Arrivals per second under normal load: about 40% of the engines' capacity.
  double rate = 30;
  double dossier_share = 0.15;
  Tokens dossier_tokens = 12000;
  Tokens question_tokens = 700;
  Tokens decode_tokens = 80;
  // Duration of a weight swap.
  int swap_seconds = 2;
};

[[nodiscard]] std::span<const Deployment> Deployments();

// One request as the user sees it, independent of how many times the caller
// sends it.
struct LogicalRequest {
  std::uint64_t id = 0;
  MonotonicTime arrival{};
  int account = 0;
  std::uint64_t prefix = 0;
  Tokens prefix_tokens = 0;
  Tokens prompt_tokens = 0;
  Tokens decode_tokens = 0;
  bool dossier = false;
  // Time from a send to its first token. Users accept a longer wait for the
  // review of a dossier.
  [[nodiscard]] Milliseconds deadline() const {
    return dossier ? Milliseconds(10000) : Milliseconds(2000);
  }
  // A caller without a first token after this time sends the request again.
  [[nodiscard]] Milliseconds first_token_timeout() const {
    return 2 * deadline();
  }
  // The request crashes every engine that runs it.
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
  // The fault and the load factor apply from `begin` to `end`, in seconds.
  int begin = 20;
  int end = 40;
  int duration = 90;
  double load_factor = 1;
  // Load factor of account 5, a small account.
  double hot_account_factor = 1;
  // Share of requests with one common long prefix.
  double hot_prefix_share = 0;
  // Factor on account 0's share of dossiers; if it isn't 1, the share of all
  // other accounts is halved.
  double dossier_factor = 1;
  int poison_requests = 0;
};

[[nodiscard]] std::span<const Scenario> Scenarios();
[[nodiscard]] const Scenario* FindScenario(std::string_view name);

[[nodiscard]] std::vector<LogicalRequest> MakeArrivals(
    const Deployment& deployment,
    const Scenario& scenario,
    std::uint64_t seed);

}  // namespace carobshift

#endif  // BENCHMARKS_SIM_WORKLOAD_H_
