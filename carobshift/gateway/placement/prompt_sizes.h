// Tracks the mean size of the prompts of each kind and compares a prompt with
// it. A prompt's size is the memory that it needs at an engine, in tokens.
//
//   PromptSizes sizes;
//   sizes.OnPrompt("review", 12'000);
//   const SizeBand band = sizes.BandOf("review", 30'000);  // kLargest
//
// Thread-compatible. Holds one number for each kind; a kind is a route's name.

#ifndef CAROBSHIFT_GATEWAY_PLACEMENT_PROMPT_SIZES_H_
#define CAROBSHIFT_GATEWAY_PLACEMENT_PROMPT_SIZES_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace carobshift {

// Size of a prompt as a share of the mean of its kind.
enum class SizeBand {
  // Up to 0.5.
  kSmall,
  // Up to 1.
  kUnderMean,
  // Up to 1.5.
  kOverMean,
  kLargest,
};

[[nodiscard]] std::string_view SizeBandName(SizeBand band);

class PromptSizes {
 public:
  // Weight of a prompt in the moving average; about 50 prompts determine it.
  static constexpr double kSmoothingFactor = 0.02;

  // Call once for each prompt that arrives, whether it is served or not.
  void OnPrompt(const std::string& kind, double tokens);
  // Returns 0 for a kind without prompts.
  [[nodiscard]] double Mean(const std::string& kind) const;
  // Returns the memory that a prompt of the kind's mean size would need if a
  // prompt of `tokens` needs `need`, as the rest of it is cached.
  [[nodiscard]] double NeedOfMean(const std::string& kind,
                                  double tokens,
                                  double need) const;
  [[nodiscard]] SizeBand BandOf(const std::string& kind, double tokens) const;
  // Removes the kinds for which `is_kind` returns false.
  void RetainKinds(const std::function<bool(const std::string&)>& is_kind);

 private:
  std::map<std::string, double> means_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_PLACEMENT_PROMPT_SIZES_H_
