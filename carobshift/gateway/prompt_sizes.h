// What prompts of a kind need of an engine's memory on the average, and how one
// of them compares with it.
//
//   PromptSizes sizes;
//   sizes.OnPrompt("review", 12'000);
//   const SizeBand band = sizes.BandOf("review", 30'000);  // kLargest
//
// Thread-compatible. State: one number a kind; a kind is a route's name.

#ifndef CAROBSHIFT_GATEWAY_PROMPT_SIZES_H_
#define CAROBSHIFT_GATEWAY_PROMPT_SIZES_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace carobshift {

// Of a prompt within its kind, by its share of the kind's mean.
enum class SizeBand {
  // Up to a half.
  kSmall,
  // Up to the mean.
  kUnderMean,
  // Up to one and a half.
  kOverMean,
  kLargest,
};

[[nodiscard]] std::string_view SizeBandName(SizeBand band);

class PromptSizes {
 public:
  // Of each prompt in the mean; about fifty form it.
  static constexpr double kGain = 0.02;

  // Each prompt that comes, whether it is served or not, once.
  void OnPrompt(const std::string& kind, double tokens);
  // 0 for a kind of which none has come.
  [[nodiscard]] double Mean(const std::string& kind) const;
  // What a prompt of the kind's mean size would need where one of `tokens`
  // needs `need`, as the rest of it is there.
  [[nodiscard]] double NeedOfMean(const std::string& kind,
                                  double tokens,
                                  double need) const;
  [[nodiscard]] SizeBand BandOf(const std::string& kind, double tokens) const;
  // Forgets the kinds that no longer are any.
  void Keep(const std::function<bool(const std::string&)>& is_kind);

 private:
  std::map<std::string, double> means_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_PROMPT_SIZES_H_
