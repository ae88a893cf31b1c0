#include "benchmarks/returning/conversation_workload.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <random>

namespace carobshift {
namespace {

constexpr std::array<double, 3> kMedianGaps = {300, 3 * 3600, 1.2 * 86400};
constexpr double kGapSpread = 0.7;
constexpr double kEndShare = 1.0 / 12;
constexpr double kDossierShare = 0.1;
constexpr double kQuestionTokens = 3000;
constexpr double kDossierTokens = 14000;
constexpr double kTokenSpread = 0.5;
constexpr Tokens kMaxPrompt = 24000;
constexpr Tokens kMinGrowth = 64;
constexpr Tokens kMaxGrowth = 512;
constexpr double kMeanQueueMicros = 20000;
constexpr Seconds kPeakBegin{18 * 3600};
constexpr Seconds kPeakLength{600};
constexpr double kPeakFactor = 30;

using Random = std::mt19937_64;

double LogNormal(Random& random, double median, double spread) {
  return std::lognormal_distribution(std::log(median), spread)(random);
}

Tokens FirstPrompt(Random& random) {
  const bool dossier = std::bernoulli_distribution(kDossierShare)(random);
  const double median = dossier ? kDossierTokens : kQuestionTokens;
  const auto tokens =
      static_cast<Tokens>(LogNormal(random, median, kTokenSpread));
  return std::min(tokens, kMaxPrompt);
}

Microseconds Wait(Random& random) {
  return Microseconds(static_cast<std::int64_t>(
      std::exponential_distribution(1 / kMeanQueueMicros)(random)));
}

bool IsPeak(MonotonicTime at) {
  const auto in_day = at.time_since_epoch() % Seconds(86400);
  return in_day >= kPeakBegin && in_day < kPeakBegin + kPeakLength;
}

MonotonicTime After(MonotonicTime at, double seconds) {
  return at + Microseconds(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace

std::vector<Turn> MakeTurns(const ReturningScenario& scenario,
                            std::uint64_t seed) {
  Random random(seed);
  std::vector<Turn> turns;
  int next_conversation = 0;
  const MonotonicTime begin{};
  const MonotonicTime end = begin + scenario.warm_up + scenario.measured;
  for (int i = 0; i < scenario.conversations; ++i) {
    const double median_gap =
        kMedianGaps[static_cast<std::size_t>(i) % kMedianGaps.size()];
    MonotonicTime at =
        After(begin, std::uniform_real_distribution(0.0, median_gap)(random));
    Turn turn{at, next_conversation++, 1, FirstPrompt(random), Wait(random)};
    while (turn.at < end) {
      turns.push_back(turn);
      turn.at = After(turn.at, LogNormal(random, median_gap, kGapSpread));
      turn.wait = Wait(random);
      ++turn.number;
      turn.prompt_tokens +=
          std::uniform_int_distribution<Tokens>(kMinGrowth, kMaxGrowth)(random);
      const bool ended = std::bernoulli_distribution(kEndShare)(random) ||
                         turn.prompt_tokens > kMaxPrompt;
      if (ended) {
        turn.conversation = next_conversation++;
        turn.number = 1;
        turn.prompt_tokens = FirstPrompt(random);
      }
    }
  }
  MonotonicTime at = begin;
  while (at < end) {
    const double rate =
        scenario.one_offs_per_second * (IsPeak(at) ? kPeakFactor : 1);
    at = After(at, std::exponential_distribution(rate)(random));
    turns.push_back({at, next_conversation++, 1, FirstPrompt(random), {}});
  }
  std::stable_sort(turns.begin(), turns.end(),
                   [](const Turn& a, const Turn& b) { return a.at < b.at; });
  return turns;
}

}  // namespace carobshift
