// The deterministic output of the stand-in engine. Prompt, model, weight
// version and adapter determine every token, so a test can detect a token that
// is missing, duplicated, from another request or from other weights.
//
//   const AnswerFunction answer(prompt, model, version, adapter);
//   REQUIRE(token == answer.Token(index));

#ifndef TESTING_ANSWER_FUNCTION_H_
#define TESTING_ANSWER_FUNCTION_H_

#include <algorithm>
#include <string>
#include <string_view>

#include "carobshift/base/digest.h"
#include "carobshift/base/units.h"

namespace carobshift {

// Thread-safe once constructed.
class AnswerFunction {
 public:
  AnswerFunction(std::string_view prompt,
                 std::string_view model,
                 std::string_view version,
                 std::string_view adapter)
      : seed_(FastHash(prompt)),
        unbounded_(prompt.find("[long]") != std::string_view::npos) {
    seed_ = FastHash(model, seed_);
    seed_ = FastHash(version, seed_);
    seed_ = FastHash(adapter, seed_);
  }

  // Returns the token at `index`. Every token has four bytes, the size at which
  // block boundaries count a token.
  [[nodiscard]] std::string Token(Tokens index) const {
    constexpr std::string_view kDigits = "0123456789abcdefghijklmnopqrstuv";
    std::uint64_t hash = FastHash(std::to_string(index), seed_);
    std::string token = " ";
    for (int i = 0; i < 3; ++i, hash >>= 5)
      token += kDigits[hash % kDigits.size()];
    return token;
  }

  // Returns the number of tokens in the answer: 24 to 63, but at most
  // `max_tokens`. A prompt that contains "[long]" gets exactly `max_tokens`.
  [[nodiscard]] Tokens Length(Tokens max_tokens) const {
    constexpr Tokens kShortest = 24;
    constexpr Tokens kSpread = 40;
    if (unbounded_)
      return max_tokens;
    return std::min(max_tokens,
                    kShortest + static_cast<Tokens>(seed_ % kSpread));
  }

  [[nodiscard]] std::string Text(Tokens max_tokens) const {
    std::string text;
    for (Tokens i = 0; i < Length(max_tokens); ++i)
      text += Token(i);
    return text;
  }

 private:
  std::uint64_t seed_;
  bool unbounded_;
};

}  // namespace carobshift

#endif  // TESTING_ANSWER_FUNCTION_H_
