#include "testing/demo_report.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>

namespace carobshift {
namespace {

using nlohmann::json;

constexpr double kMicrosecondsPerMs = 1000;
constexpr double kBytesPerMb = 1e6;

std::string Format(const char* format, auto... values) {
  char line[256];
  std::snprintf(line, sizeof(line), format, values...);
  return line;
}

double ToMs(Microseconds time) {
  return static_cast<double>(time.count()) / kMicrosecondsPerMs;
}

}  // namespace

double DemoPhase::MedianMs() const {
  if (first_tokens.empty())
    return 0;
  std::vector<Microseconds> sorted = first_tokens;
  std::sort(sorted.begin(), sorted.end());
  return ToMs(sorted[sorted.size() / 2]);
}

double DemoPhase::WorstMs() const {
  if (first_tokens.empty())
    return 0;
  return ToMs(*std::max_element(first_tokens.begin(), first_tokens.end()));
}

double DemoPhase::RecomputedShare() const {
  if (prompt_tokens == 0)
    return 0;
  return 1 - static_cast<double>(cached_tokens) /
                 static_cast<double>(prompt_tokens);
}

std::string TableOf(const DemoReport& report) {
  std::string out =
      Format("%-30s %8s %9s %9s %11s %9s %9s\n", "phase", "answers",
             "first p50", "worst", "recomputed", "imported", "link MB");
  for (const DemoPhase& phase : report.phases) {
    constexpr double kPercent = 100;
    out += Format("%-30s %8d %6.1f ms %6.1f ms %10.1f%% %9lld %9.2f\n",
                  phase.name.c_str(), phase.complete, phase.MedianMs(),
                  phase.WorstMs(), kPercent * phase.RecomputedShare(),
                  static_cast<long long>(phase.imported_tokens),
                  static_cast<double>(phase.link_bytes) / kBytesPerMb);
  }
  out += Format("booking sent %d times: %d equal answers, %d run(s)\n",
                report.booking_attempts, report.booking_answers,
                report.booking_runs);
  out += Format(
      "entry killed under load: %d whole answers, %d typed or connection "
      "errors, %d wrong\n",
      report.answers_during_kill, report.typed_errors_during_kill,
      report.wrong_during_kill);
  return out + Format("took %.1f s\n", report.seconds);
}

std::string JsonOf(const DemoReport& report) {
  json phases = json::array();
  for (const DemoPhase& phase : report.phases) {
    phases.push_back({{"name", phase.name},
                      {"first_token_median_ms", phase.MedianMs()},
                      {"first_token_worst_ms", phase.WorstMs()},
                      {"recomputed_share", phase.RecomputedShare()},
                      {"imported_tokens", phase.imported_tokens},
                      {"link_bytes", phase.link_bytes},
                      {"whole", phase.complete},
                      {"wrong", phase.wrong},
                      {"errors", phase.errors}});
  }
  const json all = {{"phases", std::move(phases)},
                    {"booking",
                     {{"attempts", report.booking_attempts},
                      {"equal_answers", report.booking_answers},
                      {"runs", report.booking_runs}}},
                    {"entry_killed",
                     {{"whole", report.answers_during_kill},
                      {"errors", report.typed_errors_during_kill},
                      {"wrong", report.wrong_during_kill}}},
                    {"seconds", report.seconds}};
  constexpr int kIndent = 2;
  return all.dump(kIndent) + "\n";
}

std::string SvgOf(const DemoReport& report) {
  constexpr int kRowHeight = 28;
  constexpr int kLabelWidth = 240;
  constexpr double kBarWidth = 360;
  double longest = 1;
  for (const DemoPhase& phase : report.phases)
    longest = std::max(longest, phase.MedianMs());
  const int height = kRowHeight * (static_cast<int>(report.phases.size()) + 1);
  std::ostringstream svg;
  svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"700\" height=\""
      << height << "\" font-family=\"sans-serif\" font-size=\"13\">\n"
      << "<text x=\"8\" y=\"18\">Median time to first token</text>\n";
  int y = kRowHeight;
  for (const DemoPhase& phase : report.phases) {
    const double width = kBarWidth * phase.MedianMs() / longest;
    svg << "<text x=\"8\" y=\"" << y + 16 << "\">" << phase.name
        << "</text>\n<rect x=\"" << kLabelWidth << "\" y=\"" << y + 3
        << "\" width=\"" << Format("%.1f", width)
        << "\" height=\"18\" fill=\"#4a7ebb\"/>\n<text x=\""
        << Format("%.1f", kLabelWidth + width + 6) << "\" y=\"" << y + 16
        << "\">" << Format("%.1f ms", phase.MedianMs()) << "</text>\n";
    y += kRowHeight;
  }
  svg << "</svg>\n";
  return svg.str();
}

}  // namespace carobshift
