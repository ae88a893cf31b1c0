// Simulates the callers of one run, including their retries, and records the
// outcome of each logical request.
//
//   Callers callers(world, requests);
//   callers.Begin();

#ifndef BENCHMARKS_SIM_CALLER_H_
#define BENCHMARKS_SIM_CALLER_H_

#include <vector>

#include "benchmarks/sim/simulated_entry.h"

namespace carobshift {

// The outcome of one logical request. `first_token_seconds` is -1 if no first
// token arrived; `refusal_retries` counts resends after a refusal or failure.
struct RequestOutcome {
  double first_token_seconds = -1;
  int sends = 0;
  int refusal_retries = 0;
  bool done = false;
};

class Callers {
 public:
  Callers(World& world, const std::vector<LogicalRequest>& requests);

  // Schedules all arrivals on the event loop.
  void Begin();

  [[nodiscard]] const std::vector<RequestOutcome>& outcomes() const {
    return outcomes_;
  }

 private:
  void Send(std::size_t index);
  void OnFirstTokenTimeout(std::size_t index, int send);
  void OnEnd(std::size_t index, ResultCode code, Milliseconds retry_after);
  [[nodiscard]] std::string IdOf(std::size_t index, int send) const;
  [[nodiscard]] SimulatedEntry& EntryOf(std::size_t index) const;

  World& world_;
  const std::vector<LogicalRequest>& requests_;
  std::vector<RequestOutcome> outcomes_;
};

}  // namespace carobshift

#endif  // BENCHMARKS_SIM_CALLER_H_
