// Fuzzes block reuse, account isolation and weight versions with engines and
// stores that fail at any moment. See cache_world.h for the oracle.

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "fuzz/cache_world.h"

namespace carobshift {
namespace {

constexpr int kSteps = 3000;
constexpr std::uint64_t kMutationSeeds = 100;

bool OracleDetects(CacheMutation mutation) {
  for (std::uint64_t seed = 1; seed <= kMutationSeeds; ++seed) {
    if (!CacheWorld(seed, mutation).Run(kSteps).violations.empty())
      return true;
  }
  return false;
}

}  // namespace

// Engines evict, restart and swap weights; stores crash during a write, fill up
// and restart; messages are delayed, lost, duplicated and reordered. Guards
// against the use of wrong blocks, which a user would notice only as a wrong
// answer.
TEST_CASE("no run uses freed, partly written, foreign or outdated blocks") {
  rc::prop("all facts of the oracle hold", [&](std::uint64_t seed) {
    const WorldReport report =
        CacheWorld(seed, CacheMutation::kNone).Run(kSteps);
    for (const std::string& violation : report.violations)
      RC_LOG() << violation << std::endl;
    RC_ASSERT(report.violations.empty());
  });
}

// Guards against a fuzz test that passes because nothing is ever exported or
// imported.
TEST_CASE("the simulation exports, imports and lists often") {
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

TEST_CASE("the oracle detects each removed mechanism") {
  CHECK(OracleDetects(CacheMutation::kNoSealCheck));
  CHECK(OracleDetects(CacheMutation::kNoGenerationCheck));
  CHECK(OracleDetects(CacheMutation::kNoChecksum));
  CHECK(OracleDetects(CacheMutation::kNoNamespaceInChain));
  CHECK(OracleDetects(CacheMutation::kNoGapDetection));
  CHECK(OracleDetects(CacheMutation::kNoPin));
}

}  // namespace carobshift
