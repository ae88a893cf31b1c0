// A request that crashes every engine that runs it, against real processes.

#include <catch2/catch.hpp>
#include <string>

#include "testing/caller.h"
#include "testing/cluster.h"

namespace carobshift {
namespace {

constexpr int kSuspected = 203;
constexpr char kPoison[] = "a dossier that crashes engines";

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

// The request kills the engine under it together with all that runs beside it,
// its caller sends it again, also to other entries, and engine after engine
// goes down until nobody is served.
TEST_CASE("a request that crashes engines is soon refused everywhere") {
  Cluster cluster({.entries = 3, .engines = 4});
  for (std::size_t i = 0; i < cluster.engines(); ++i)
    SetFaults(cluster.engine(i), {{"crash_on", kPoison}});
  Caller caller(cluster.EntryAddresses(), kClubKey);
  const CompletionCall poison{.prompt = kPoison, .max_tokens = 4};

  // Two crashes make it suspected, the third, alone, convicts it.
  for (int i = 0; i < 5; ++i) {
    const CompletionOutcome outcome =
        caller.CompleteAt(cluster.entry(0).address(), poison);
    INFO(outcome.error.dump());
    REQUIRE(outcome.WholeOrTypedError());
    REQUIRE_FALSE(outcome.whole);
  }
  CHECK(RunningEngines(cluster) == 1);

  for (std::size_t entry = 0; entry < cluster.entries(); ++entry) {
    // The gossip reaches every entry.
    REQUIRE(WaitUntil([&] {
      return cluster.State(entry).at("load").at("refused_requests") == 1;
    }));
    CompletionOutcome outcome = caller.CompleteAt(
        cluster.entry(entry).address(), {.prompt = "is anybody there?"});
    CHECK(outcome.whole);
    outcome = caller.CompleteAt(cluster.entry(entry).address(), poison);
    INFO("entry " << entry << " " << outcome.error.dump());
    CHECK(CodeOf(outcome) == kSuspected);
    CHECK(outcome.error.at("state") == "not_run");
    CHECK(outcome.error.at("retry_after_ms").get<int>() > 0);
  }
  CHECK(RunningEngines(cluster) == 1);
}

}  // namespace carobshift
