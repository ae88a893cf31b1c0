// The callers of one run, and what each of their needs received.
//
//   Callers callers(world, needs);
//   callers.Begin();

#ifndef BENCHMARKS_SIM_CALLER_H_
#define BENCHMARKS_SIM_CALLER_H_

#include <vector>

#include "benchmarks/sim/simulated_entry.h"

namespace carobshift {

// What became of one need; -1 if it never got a first token.
struct Received {
  double first_token_seconds = -1;
  int sends = 0;
  int returns = 0;
  bool done = false;
};

class Callers {
 public:
  Callers(World& world, const std::vector<Need>& needs);

  // Schedules all arrivals.
  void Begin();

  [[nodiscard]] const std::vector<Received>& received() const {
    return received_;
  }

 private:
  void Send(std::size_t index);
  void OnSilence(std::size_t index, int send);
  void OnEnd(std::size_t index, ResultCode code, Milliseconds retry_after);
  [[nodiscard]] std::string IdOf(std::size_t index, int send) const;
  [[nodiscard]] SimulatedEntry& EntryOf(std::size_t index) const;

  World& world_;
  const std::vector<Need>& needs_;
  std::vector<Received> received_;
};

}  // namespace carobshift

#endif  // BENCHMARKS_SIM_CALLER_H_
