#include "carobshift/gateway/placement/prompt_sizes.h"

namespace carobshift {

std::string_view SizeBandName(SizeBand band) {
  switch (band) {
    case SizeBand::kSmall:
      return "small";
    case SizeBand::kUnderMean:
      return "under_mean";
    case SizeBand::kOverMean:
      return "over_mean";
    case SizeBand::kLargest:
      break;
  }
  return "largest";
}

void PromptSizes::OnPrompt(const std::string& kind, double tokens) {
  const auto [found, inserted] = means_.try_emplace(kind, tokens);
  if (!inserted)
    found->second += kSmoothingFactor * (tokens - found->second);
}

double PromptSizes::Mean(const std::string& kind) const {
  const auto found = means_.find(kind);
  return found == means_.end() ? 0 : found->second;
}

double PromptSizes::NeedOfMean(const std::string& kind,
                               double tokens,
                               double need) const {
  const double mean = Mean(kind);
  return mean > 0 && tokens > 0 ? need * mean / tokens : need;
}

SizeBand PromptSizes::BandOf(const std::string& kind, double tokens) const {
  constexpr double kSmallShare = 0.5;
  constexpr double kLargestShare = 1.5;
  const double mean = Mean(kind);
  if (tokens <= kSmallShare * mean)
    return SizeBand::kSmall;
  if (tokens <= mean)
    return SizeBand::kUnderMean;
  return tokens <= kLargestShare * mean ? SizeBand::kOverMean
                                        : SizeBand::kLargest;
}

void PromptSizes::RetainKinds(
    const std::function<bool(const std::string&)>& is_kind) {
  std::erase_if(
      means_, [&is_kind](const auto& entry) { return !is_kind(entry.first); });
}

}  // namespace carobshift
