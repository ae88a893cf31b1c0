#include "carobshift/cache/export_policy.h"

#include <algorithm>
#include <array>

namespace carobshift {
namespace {

// The cost of one millisecond of a full link, in milliseconds of prefill. An
// idle link costs nothing. A full link delays imports, each of which blocks a
// caller, and the link of one store serves several engines.
constexpr double kLinkPrice = 0.2;
// An import must be expected to take less than this fraction of the recompute,
// because its estimate lags behind. The overhead covers the pin and the
// connection that precede it.
constexpr double kImportAdvantage = 0.9;
constexpr Milliseconds kImportOverhead{10};

// Expected saving per second for each byte occupied in the store.
double ExpectedSavingPerByte(const Valuation& valuation) {
  const double saved = static_cast<double>(valuation.saved.count());
  return valuation.returns_per_second * saved /
         static_cast<double>(std::max<Bytes>(1, valuation.bytes));
}

double ScoreNever(const Valuation&) {
  return 0.0;
}

double ScoreAlways(const Valuation&) {
  return 1.0;
}

double ScoreByValue(const Valuation& valuation) {
  const double saving = valuation.return_probability *
                        static_cast<double>(valuation.saved.count());
  const double link_cost = valuation.link_pressure * kLinkPrice *
                           static_cast<double>(valuation.link_time.count());
  if (saving <= link_cost)
    return 0.0;
  return ExpectedSavingPerByte(valuation);
}

double KeepYoungest(const Valuation& valuation) {
  return -static_cast<double>(valuation.stored_for.count());
}

double KeepMostRecentlyUsed(const Valuation& valuation) {
  return -static_cast<double>(valuation.idle.count());
}

constexpr std::array<ExportStrategy, 4> kStrategies = {{
    {"no store", false, ScoreNever, KeepYoungest},
    {"always export", false, ScoreAlways, KeepYoungest},
    {"least recently used", false, ScoreAlways, KeepMostRecentlyUsed},
    {"value per byte", true, ScoreByValue, ExpectedSavingPerByte},
}};

}  // namespace

std::span<const ExportStrategy> ExportStrategies() {
  return kStrategies;
}

const ExportStrategy& ExportStrategyNamed(std::string_view name) {
  const auto it = std::find_if(
      kStrategies.begin(), kStrategies.end(),
      [&](const ExportStrategy& strategy) { return strategy.name == name; });
  return it == kStrategies.end() ? kStrategies.back() : *it;
}

bool ShouldImport(Milliseconds import_time, Milliseconds recompute_time) {
  const double limit =
      static_cast<double>(recompute_time.count()) * kImportAdvantage;
  return static_cast<double>((import_time + kImportOverhead).count()) <= limit;
}

}  // namespace carobshift
