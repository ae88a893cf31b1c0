// Blocks, isolation and versions under engines and stores that fail at any
// moment. See cache_world.h for the oracle.

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "fuzz/cache_world.h"

namespace carobshift {
namespace {

constexpr int kSteps = 3000;
constexpr std::uint64_t kMutationSeeds = 100;

bool IsCaught(CacheMutation mutation) {
  for (std::uint64_t seed = 1; seed <= kMutationSeeds; ++seed) {
    if (!CacheWorld(seed, mutation).Run(kSteps).violations.empty())
      return true;
  }
  return false;
}

}  // namespace

// Engines evict, restart and swap weights; stores die half way through a
// write, fill up and come back; messages are late, lost, doubled and out of
// order. A user would notice a mistake only as a wrong answer.
TEST_CASE("no run uses freed, partly written, foreign or outdated blocks") {
  rc::prop("all facts of the oracle hold", [&](std::uint64_t seed) {
    const WorldReport report =
        CacheWorld(seed, CacheMutation::kNone).Run(kSteps);
    for (const std::string& violation : report.violations)
      RC_LOG() << violation << std::endl;
    RC_ASSERT(report.violations.empty());
  });
}

// A world in which nothing is ever exported or imported would prove nothing.
TEST_CASE("the world exports, imports and lists often") {
  WorldReport sum;
  for (std::uint64_t seed = 1; seed <= kMutationSeeds; ++seed) {
    const WorldReport report =
        CacheWorld(seed, CacheMutation::kNone).Run(kSteps);
    sum.imports_done += report.imports_done;
    sum.exports_sealed += report.exports_sealed;
    sum.listings += report.listings;
  }
  CAPTURE(sum.imports_done, sum.exports_sealed, sum.listings);
  CHECK(sum.exports_sealed > kMutationSeeds);
  CHECK(sum.imports_done > kMutationSeeds);
  CHECK(sum.listings > kMutationSeeds);
}

TEST_CASE("the oracle notices each mechanism that is taken out") {
  CHECK(IsCaught(CacheMutation::kNoSealCheck));
  CHECK(IsCaught(CacheMutation::kNoGenerationCheck));
  CHECK(IsCaught(CacheMutation::kNoChecksum));
  CHECK(IsCaught(CacheMutation::kNoNamespaceInChain));
  CHECK(IsCaught(CacheMutation::kNoGapDetection));
  CHECK(IsCaught(CacheMutation::kNoPin));
}

}  // namespace carobshift
