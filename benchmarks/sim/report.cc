#include "benchmarks/sim/report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace carobshift {

namespace {

// One metric of the output.
struct Metric {
  std::string_view name;
  std::string_view unit;
  double (*value)(const RunResult&);
};

constexpr std::array kMetrics = {
    Metric{"first_token_p50", "s",
           [](const RunResult& r) { return r.during.p50; }},
    Metric{"first_token_p95", "s",
           [](const RunResult& r) { return r.during.p95; }},
    Metric{"first_token_p99", "s",
           [](const RunResult& r) { return r.during.p99; }},
    Metric{"in_deadline", "share",
           [](const RunResult& r) { return r.during.in_deadline; }},
    Metric{"small_p95", "s",
           [](const RunResult& r) { return r.during_small.p95; }},
    Metric{"small_in_deadline", "share",
           [](const RunResult& r) { return r.during_small.in_deadline; }},
    Metric{"short_p95", "s",
           [](const RunResult& r) { return r.during_short.p95; }},
    Metric{"dossier_p95", "s",
           [](const RunResult& r) { return r.during_dossier.p95; }},
    Metric{"recomputed", "share",
           [](const RunResult& r) { return r.recomputed_share; }},
    Metric{"link", "GB", [](const RunResult& r) { return r.link_gigabytes; }},
    Metric{"refusals", "count", [](const RunResult& r) { return r.refusals; }},
    Metric{"truthful", "share",
           [](const RunResult& r) { return r.justified_refusal_share; }},
    Metric{"attempts_per_need", "ratio",
           [](const RunResult& r) { return r.attempts_per_request; }},
    Metric{"sends_per_need", "ratio",
           [](const RunResult& r) { return r.sends_per_request; }},
    Metric{"jain", "index", [](const RunResult& r) { return r.jain; }},
    Metric{"engine_crashes", "count",
           [](const RunResult& r) { return double{1} * r.engine_crashes; }},
    Metric{"recovery", "s",
           [](const RunResult& r) { return r.recovery_seconds; }},
};

std::string Number(double value) {
  std::array<char, 32> buffer{};
  const char* format = std::abs(value) >= 100 ? "%.0f" : "%.3g";
  std::snprintf(buffer.data(), buffer.size(), format, value);
  return buffer.data();
}

constexpr std::array<std::string_view, 4> kPlotted = {
    "burst", "hot_account", "slow_endpoint", "overload"};
constexpr std::array<std::string_view, 9> kColors = {
    "#0b6e4f", "#c1440e", "#e0a100", "#7b3fa0", "#1f6fb2",
    "#888888", "#d43f8d", "#000000", "#5b8c2a"};
constexpr double kPlotWidth = 640;
constexpr double kPlotHeight = 320;
constexpr double kMargin = 50;
constexpr double kLegendWidth = 150;
constexpr double kLowestSeconds = 0.05;

std::string Text(double x, double y, const std::string& text) {
  return "<text x=\"" + Number(x) + "\" y=\"" + Number(y) + "\">" + text +
         "</text>\n";
}

std::string Line(const std::string& points, std::string_view color) {
  return "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" +
         std::string(color) + "\" points=\"" + points + "\"/>\n";
}

double YOfSeconds(double seconds) {
  const double share =
      std::log(std::max(seconds, kLowestSeconds) / kLowestSeconds) /
      std::log(kUnansweredSeconds / kLowestSeconds);
  return kMargin + (1 - share) * (kPlotHeight - 2 * kMargin);
}

double XOfSecond(double second, double duration) {
  return kMargin + second / duration * (kPlotWidth - 2 * kMargin);
}

}  // namespace

std::string MetricLines(const ScenarioRows& rows) {
  std::string out;
  for (const VariantRow& row : rows.rows) {
    for (const Metric& metric : kMetrics) {
      out += std::string(rows.deployment->name) + "/" +
             std::string(rows.scenario->name) + "/" + std::string(row.variant) +
             "/" + std::string(metric.name) + " " +
             Number(metric.value(row.result)) + " " + std::string(metric.unit) +
             "\n";
    }
  }
  return out;
}

std::string MarkdownTable(const ScenarioRows& rows) {
  std::string out = "\n### " + std::string(rows.deployment->name) + ", " +
                    std::string(rows.scenario->name) + ", seed " +
                    std::to_string(rows.seed) + "\n\n| |";
  for (const VariantRow& row : rows.rows)
    out += " " + std::string(row.variant) + " |";
  out += "\n|---|";
  for (std::size_t i = 0; i < rows.rows.size(); ++i)
    out += "---|";
  out += "\n";
  for (const Metric& metric : kMetrics) {
    out += "| " + std::string(metric.name) + " (" + std::string(metric.unit) +
           ") |";
    for (const VariantRow& row : rows.rows)
      out += " " + Number(metric.value(row.result)) + " |";
    out += "\n";
  }
  return out;
}

bool IsPlotted(const ScenarioRows& rows) {
  return std::ranges::find(kPlotted, rows.scenario->name) != kPlotted.end();
}

std::string PlotName(const ScenarioRows& rows) {
  return std::string(rows.deployment->name) + "-" +
         std::string(rows.scenario->name) + ".svg";
}

std::string SvgPlot(const ScenarioRows& rows) {
  std::string out =
      "<svg xmlns=\"http://www.w3.org/2000/svg\" font-family=\"sans-serif\" "
      "font-size=\"11\" width=\"" +
      Number(kPlotWidth + kLegendWidth) + "\" height=\"" + Number(kPlotHeight) +
      "\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  out += Text(kMargin, 20,
              std::string(rows.deployment->name) + ", " +
                  std::string(rows.scenario->name) +
                  ": first token, 95th percentile by second of arrival (s)");
  const double duration = rows.scenario->duration;
  for (const double tick : {0.05, 0.2, 0.59, 2.0, 8.0, 30.0}) {
    const std::string y = Number(YOfSeconds(tick));
    out += Line(Number(kMargin) + "," + y + " " + Number(kPlotWidth - kMargin) +
                    "," + y,
                "#dddddd");
    out += Text(8, YOfSeconds(tick) + 4, Number(tick));
  }
  for (const int mark : {rows.scenario->begin, rows.scenario->end})
    out += Text(XOfSecond(mark, duration), kPlotHeight - kMargin + 16,
                std::to_string(mark) + " s");
  std::size_t number = 0;
  for (const VariantRow& row : rows.rows) {
    std::string points;
    for (std::size_t i = 0; i < row.result.p95_by_second.size(); ++i)
      points += Number(XOfSecond(static_cast<double>(i), duration)) + "," +
                Number(YOfSeconds(row.result.p95_by_second[i])) + " ";
    const std::string_view color = kColors[number % kColors.size()];
    out += Line(points, color);
    const double y = kMargin + 16 * static_cast<double>(number++);
    out += Line(Number(kPlotWidth - 30) + "," + Number(y - 4) + " " +
                    Number(kPlotWidth - 10) + "," + Number(y - 4),
                color);
    out += Text(kPlotWidth, y, std::string(row.variant));
  }
  return out + "</svg>\n";
}

}  // namespace carobshift
