#include "carobshift/gateway/placement/prompt_sizes.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

TEST_CASE("a prompt's size is judged within its kind") {
  PromptSizes sizes;
  for (int i = 0; i < 400; ++i) {
    sizes.OnPrompt("review", i % 2 == 0 ? 6000 : 18'000);
    sizes.OnPrompt("question", 800);
  }
  CHECK(sizes.Mean("review") == Approx(12'000).epsilon(0.05));
  CHECK(sizes.BandOf("review", 5000) == SizeBand::kSmall);
  CHECK(sizes.BandOf("review", 9000) == SizeBand::kUnderMean);
  CHECK(sizes.BandOf("review", 15'000) == SizeBand::kOverMean);
  CHECK(sizes.BandOf("review", 30'000) == SizeBand::kLargest);
  CHECK(sizes.BandOf("question", 5000) == SizeBand::kLargest);
}

TEST_CASE("the first prompt of a kind is of its mean size") {
  PromptSizes sizes;
  CHECK(sizes.Mean("review") == 0);
  sizes.OnPrompt("review", 7000);
  CHECK(sizes.Mean("review") == 7000);
  CHECK(sizes.BandOf("review", 7000) == SizeBand::kUnderMean);
}

TEST_CASE("the need of a mean prompt leaves out the share that is there") {
  PromptSizes sizes;
  sizes.OnPrompt("review", 12'000);
  CHECK(sizes.NeedOfMean("review", 24'000, 24'000) == 12'000);
  CHECK(sizes.NeedOfMean("review", 6000, 6000) == 12'000);
  CHECK(sizes.NeedOfMean("review", 24'000, 6000) == 3000);
  CHECK(sizes.NeedOfMean("question", 800, 500) == 500);
}

TEST_CASE("kinds that no route names any more are forgotten") {
  PromptSizes sizes;
  sizes.OnPrompt("review", 7000);
  sizes.OnPrompt("question", 800);
  sizes.RetainKinds([](const std::string& kind) { return kind == "review"; });
  CHECK(sizes.Mean("review") == 7000);
  CHECK(sizes.Mean("question") == 0);
}

}  // namespace
}  // namespace carobshift
