// Generates the turns of returning conversations: the time and the prompt
// length of each turn.
//
//   std::vector<Turn> turns = MakeTurns(scenario, seed);
//
// A third of the conversations pauses for minutes (median 5), a third for hours
// (median 3) and a third for days (median 1.2). A conversation keeps its
// median: guides ask through a day, and dossiers are resumed after days. Nine
// in ten prompts are questions (median 3,000 tokens), one in ten is a dossier,
// a prompt with a long document (median 14,000, at most 24,000). After each
// turn a conversation ends with a probability of one in twelve and a new one
// replaces it.

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
  // Queueing delay at the engine before the prefill.
  Microseconds wait{0};
};

// Returns the turns sorted by time.
[[nodiscard]] std::vector<Turn> MakeTurns(const ReturningScenario& scenario,
                                          std::uint64_t seed);

}  // namespace carobshift

#endif  // BENCHMARKS_RETURNING_CONVERSATION_WORKLOAD_H_
