// The driver's output: lines, Markdown tables and SVG plots.
//
//   std::cout << MetricLines(rows);

#ifndef BENCHMARKS_SIM_REPORT_H_
#define BENCHMARKS_SIM_REPORT_H_

#include <string>
#include <string_view>
#include <vector>

#include "benchmarks/sim/simulation.h"

namespace carobshift {

struct VariantRow {
  std::string_view variant;
  RunResult result;
};

// All variants over the same arrivals.
struct ScenarioRows {
  const Shape* shape = nullptr;
  const Scenario* scenario = nullptr;
  std::uint64_t seed = 0;
  std::vector<VariantRow> rows;
};

// "shape/scenario/variant/metric value unit", one a line.
[[nodiscard]] std::string MetricLines(const ScenarioRows& rows);
[[nodiscard]] std::string MarkdownTable(const ScenarioRows& rows);

// Whether the scenario is one of the four that matter most.
[[nodiscard]] bool IsPlotted(const ScenarioRows& rows);
[[nodiscard]] std::string PlotName(const ScenarioRows& rows);
// The 95th percentile of the first token by second of arrival, logarithmic.
[[nodiscard]] std::string SvgPlot(const ScenarioRows& rows);

}  // namespace carobshift

#endif  // BENCHMARKS_SIM_REPORT_H_
