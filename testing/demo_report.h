// The results of the demo, and their output as a table, as JSON and as an SVG
// bar chart.
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

// Results of one request to each conversation.
struct DemoPhase {
  std::string name;
  std::vector<Microseconds> first_tokens;
  Tokens prompt_tokens = 0;
  Tokens cached_tokens = 0;
  Tokens imported_tokens = 0;
  Bytes link_bytes = 0;
  int complete = 0;
  int wrong = 0;
  int errors = 0;

  // These return 0 if the phase has no answers.
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
// Draws one bar per phase with its median time to first token.
[[nodiscard]] std::string SvgOf(const DemoReport& report);

}  // namespace carobshift

#endif  // TESTING_DEMO_REPORT_H_
