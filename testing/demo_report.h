// What the demo prints and writes: a table, JSON and a bar chart as SVG.
//
//   DemoReport report;
//   report.phases.push_back(phase);
//   std::cout << TableOf(report);

#ifndef TESTING_DEMO_REPORT_H_
#define TESTING_DEMO_REPORT_H_

#include <string>
#include <vector>

#include "carobshift/base/units.h"

namespace carobshift {

// One pass over all conversations.
struct DemoPhase {
  std::string name;
  std::vector<Microseconds> first_tokens;
  Tokens prompt_tokens = 0;
  Tokens cached_tokens = 0;
  Tokens imported_tokens = 0;
  Bytes link_bytes = 0;
  int whole = 0;
  int wrong = 0;
  int errors = 0;

  // 0 if the phase has no answers.
  [[nodiscard]] double MedianMs() const;
  [[nodiscard]] double WorstMs() const;
  [[nodiscard]] double RecomputedShare() const;
};

struct DemoReport {
  std::vector<DemoPhase> phases;
  int booking_attempts = 0;
  int booking_answers = 0;
  int booking_runs = 0;
  int answers_during_kill = 0;
  int typed_errors_during_kill = 0;
  int wrong_during_kill = 0;
  double seconds = 0;
};

[[nodiscard]] std::string TableOf(const DemoReport& report);
[[nodiscard]] std::string JsonOf(const DemoReport& report);
// A bar for each phase's median time to first token.
[[nodiscard]] std::string SvgOf(const DemoReport& report);

}  // namespace carobshift

#endif  // TESTING_DEMO_REPORT_H_
