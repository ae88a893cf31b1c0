// Simulates routing, admission and retries under load in virtual time and
// prints the results that callers see, one line "name value unit" each:
//
//   load_driver [--scenario NAME] [--variant NAME] [--shape NAME]
//               [--seed N] [--markdown] [--plots DIRECTORY]

#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <string>

#include "benchmarks/sim/report.h"

namespace carobshift {
namespace {

int Main(int argc, char** argv) {
  cxxopts::Options options("load_driver", "decisions under load, measured");
  options.add_options()("scenario", "only this one",
                        cxxopts::value<std::string>()->default_value(""))(
      "variant", "only this one",
      cxxopts::value<std::string>()->default_value(""))(
      "shape", "only this one",
      cxxopts::value<std::string>()->default_value(""))(
      "seed", "of the arrivals",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "markdown", "tables instead of lines")(
      "plots", "write SVG plots into this directory",
      cxxopts::value<std::string>()->default_value(""));
  const auto flags = options.parse(argc, argv);
  const auto seed = flags["seed"].as<std::uint64_t>();
  const bool markdown = flags.count("markdown") > 0;
  const auto wanted = [&](const char* flag, std::string_view name) {
    const auto value = flags[flag].as<std::string>();
    return value.empty() || value == name;
  };
  for (const Deployment& deployment : Deployments()) {
    for (const Scenario& scenario : Scenarios()) {
      if (!wanted("shape", deployment.name) ||
          !wanted("scenario", scenario.name))
        continue;
      ScenarioRows rows{&deployment, &scenario, seed, {}};
      for (const Variant& variant : Variants()) {
        if (wanted("variant", variant.name))
          rows.rows.push_back(
              {variant.name, Simulate(deployment, scenario, variant, seed)});
      }
      std::cout << (markdown ? MarkdownTable(rows) : MetricLines(rows))
                << std::flush;
      const auto directory = flags["plots"].as<std::string>();
      if (!directory.empty() && IsPlotted(rows))
        std::ofstream(directory + "/" + PlotName(rows)) << SvgPlot(rows);
    }
  }
  return 0;
}

}  // namespace
}  // namespace carobshift

int main(int argc, char** argv) {
  return carobshift::Main(argc, argv);
}
