// Formats results of load_driver as metric lines, Markdown tables and SVG
// plots.
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

// The results of all variants for the same arrivals.
struct ScenarioRows {
  const Deployment* deployment = nullptr;
  const Scenario* scenario = nullptr;
  std::uint64_t seed = 0;
  std::vector<VariantRow> rows;
};

// Returns lines "shape/scenario/variant/metric value unit".
[[nodiscard]] std::string MetricLines(const ScenarioRows& rows);
[[nodiscard]] std::string MarkdownTable(const ScenarioRows& rows);

// Whether the scenario is one of the four with a plot: burst, hot_account,
// slow_endpoint, overload.
[[nodiscard]] bool IsPlotted(const ScenarioRows& rows);
[[nodiscard]] std::string PlotName(const ScenarioRows& rows);
// Plots the 95th percentile of the first token by second of arrival, on a
// logarithmic scale.
[[nodiscard]] std::string SvgPlot(const ScenarioRows& rows);

}  // namespace carobshift

#endif  // BENCHMARKS_SIM_REPORT_H_
