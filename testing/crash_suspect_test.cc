// Crash suspicion (carobshift/retry/crash_suspects.h) with real processes.

#include <catch2/catch.hpp>
#include <string>

#include "testing/caller.h"
#include "testing/cluster.h"

namespace carobshift {
namespace {

constexpr int kRequestSuspectedCode = 203;
constexpr char kCrashingPrompt[] = "a dossier that crashes engines";

int RunningEngines(Cluster& cluster) {
  int running = 0;
  for (std::size_t i = 0; i < cluster.engines(); ++i)
    running += cluster.engine(i).running() ? 1 : 0;
  return running;
}

int CodeOf(const CompletionOutcome& outcome) {
  return outcome.error.is_object() ? outcome.error.value("code", 0) : 0;
}

}  // namespace

// Guards against a crash that spreads through the fleet: a request kills its
// engine and everything that runs there, its caller resends it, also to other
// entries, and one engine after another goes down until no request is served.
TEST_CASE("a request that crashes engines is soon refused everywhere") {
  Cluster cluster({.entries = 3, .engines = 4});
  for (std::size_t i = 0; i < cluster.engines(); ++i)
    SetFaults(cluster.engine(i), {{"crash_on", kCrashingPrompt}});
  Caller caller(cluster.EntryAddresses(), kAccountKey);
  const CompletionCall crashing_call{.prompt = kCrashingPrompt,
                                     .max_tokens = 4};

  // After two crashes the request is suspected and runs alone; the third crash,
  // alone, gets it refused everywhere.
  for (int i = 0; i < 5; ++i) {
    const CompletionOutcome outcome =
        caller.CompleteAt(cluster.entry(0).address(), crashing_call);
    INFO(outcome.error.dump());
    REQUIRE(outcome.CompleteOrTypedError());
    REQUIRE_FALSE(outcome.complete);
  }
  CHECK(RunningEngines(cluster) == 1);

  for (std::size_t entry = 0; entry < cluster.entries(); ++entry) {
    // Wait until gossip has reached this entry.
    REQUIRE(WaitUntil([&] {
      return cluster.State(entry).at("load").at("refused_requests") == 1;
    }));
    CompletionOutcome outcome = caller.CompleteAt(
        cluster.entry(entry).address(), {.prompt = "is anybody there?"});
    CHECK(outcome.complete);
    outcome = caller.CompleteAt(cluster.entry(entry).address(), crashing_call);
    INFO("entry " << entry << " " << outcome.error.dump());
    CHECK(CodeOf(outcome) == kRequestSuspectedCode);
    CHECK(outcome.error.at("state") == "not_run");
    CHECK(outcome.error.at("retry_after_ms").get<int>() > 0);
  }
  CHECK(RunningEngines(cluster) == 1);
}

}  // namespace carobshift
