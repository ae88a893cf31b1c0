// The turns of returning conversations: who comes back when, with how long a
// prompt.
//
//   std::vector<Turn> turns = MakeTurns(scenario, seed);
//
// A third of the conversations pauses for minutes (median 5), a third for
// hours (median 3), a third for days (median 1.2); each keeps its habit, as
// guides ask through a day and dossiers are taken up again after days. Nine in
// ten prompts are questions (median 3,000 tokens), one in ten is a dossier
// (median 14,000, at most 24,000). A conversation ends with one turn in twelve
// and another takes its place.

#ifndef BENCHMARKS_RETURNING_CONVERSATION_WORKLOAD_H_
#define BENCHMARKS_RETURNING_CONVERSATION_WORKLOAD_H_

#include <cstdint>
#include <vector>

#include "benchmarks/returning/returning_simulation.h"

namespace carobshift {

struct Turn {
  MonotonicTime at;
  int conversation = 0;
  // 1 for its first turn.
  int number = 1;
  Tokens prompt_tokens = 0;
  // Waiting at the engine before the prefill.
  Microseconds wait{0};
};

// In order of time.
[[nodiscard]] std::vector<Turn> MakeTurns(const ReturningScenario& scenario,
                                          std::uint64_t seed);

}  // namespace carobshift

#endif  // BENCHMARKS_RETURNING_CONVERSATION_WORKLOAD_H_
