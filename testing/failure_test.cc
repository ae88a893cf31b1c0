// Faults of single processes under streaming load: each caller gets its
// complete answer or a typed error, and no wrong token.

#include <catch2/catch.hpp>
#include <csignal>
#include <string>

#include "testing/background_load.h"
#include "testing/caller.h"
#include "testing/cluster.h"
#include "testing/http_client.h"
#include "testing/relay.h"

namespace carobshift {
namespace {

constexpr char kSlowSteps[] = "--step-us=10000";
constexpr char kShortProgressTimeout[] = "    progress_timeout_ms: 500\n";

// Returns the engine that is running a request, or the number of engines if
// none is.
std::size_t BusyEngine(Cluster& cluster) {
  for (std::size_t i = 0; i < cluster.engines(); ++i) {
    const nlohmann::json status =
        HttpSend(cluster.engine(i).address(), "GET", "/status").Json();
    if (status.is_object() && status.value("running", 0) > 0)
      return i;
  }
  return cluster.engines();
}

void CheckCounts(const LoadCounts& counts) {
  for (const std::string& error : counts.errors)
    UNSCOPED_INFO(error);
  CHECK(counts.wrong == 0);
  CHECK(counts.truncated == 0);
  CHECK(counts.complete > 0);
}

}  // namespace

// Guards against a stream that stops in the middle, or restarts from the first
// token, when an engine dies while it streams an answer.
TEST_CASE("an engine killed mid-stream: the answer goes on elsewhere") {
  Cluster cluster({.engines = 2, .engine_flags = {kSlowSteps}});
  const Caller caller(cluster.EntryAddresses(), kAccountKey);
  CompletionCall call{.prompt = "[long] who plays with whom", .max_tokens = 80};
  call.on_token = [&](Tokens count) {
    if (count == 20)
      cluster.engine(BusyEngine(cluster)).Kill();
    return true;
  };
  const CompletionOutcome outcome =
      caller.CompleteAt(cluster.entry(0).address(), call);
  INFO(outcome.error.dump());
  CHECK_FALSE(outcome.wrong);
  CHECK(outcome.complete);
  CHECK(outcome.tokens == 80);
}

// Guards against a truncated answer that looks complete: the last engine of a
// service dies mid-stream, and without a typed error the caller would take the
// part for the complete answer.
TEST_CASE("no engine left mid-stream: the caller gets a typed final error") {
  Cluster cluster({.engines = 1, .engine_flags = {kSlowSteps}});
  const Caller caller(cluster.EntryAddresses(), kAccountKey);
  CompletionCall call{.prompt = "[long] the last engine", .max_tokens = 80};
  call.on_token = [&](Tokens count) {
    if (count == 20)
      cluster.engine(0).Kill();
    return true;
  };
  const CompletionOutcome outcome =
      caller.CompleteAt(cluster.entry(0).address(), call);
  CHECK_FALSE(outcome.wrong);
  CHECK_FALSE(outcome.complete);
  REQUIRE(outcome.error.is_object());
  CHECK(outcome.error.at("state") == "ran");
}

// An entry dies with open streams. Its callers see their connections close and
// retry at another entry; callers of the other entries are not affected.
TEST_CASE("an entry killed mid-stream: callers finish at another") {
  Cluster cluster({.entries = 3, .engines = 2});
  BackgroundLoad load(cluster, 6);
  REQUIRE(load.WaitForComplete(12));
  cluster.entry(1).Kill();
  REQUIRE(load.WaitForComplete(24));
  const LoadCounts counts = load.Stop();
  CheckCounts(counts);
  CHECK(counts.typed_errors == 0);
}

// Guards against blackholed connections: a router loses its connection table,
// and open connections to an engine stop transferring without a reset while new
// ones work. Callers on them would wait forever, and each reuse of a pooled
// connection would lose one more request.
TEST_CASE("silent connections to an engine are given up and replaced") {
  Cluster cluster(
      {.entries = 1, .engines = 2, .service_fields = kShortProgressTimeout});
  Relay relay(cluster.engine(0).address());
  Relay other(cluster.engine(1).address());
  cluster.UpdateInstance("engine-0", {{"address", relay.address().ToString()}});
  cluster.UpdateInstance("engine-1", {{"address", other.address().ToString()}});
  BackgroundLoad load(cluster, 4);
  REQUIRE(WaitUntil([&] {
    return relay.connections_accepted() + other.connections_accepted() > 4;
  }));
  REQUIRE(load.WaitForComplete(20));
  relay.BlackholeOpenConnections();
  other.BlackholeOpenConnections();
  REQUIRE(load.WaitForComplete(40));
  const LoadCounts counts = load.Stop();
  CheckCounts(counts);
  CHECK(counts.connection_errors == 0);
  Milliseconds longest{0};
  for (const Milliseconds latency : counts.latencies)
    longest = std::max(longest, latency);
  CHECK(longest < Milliseconds(3000));
}

// Guards against a crashing prompt that its caller resends. Without crash
// suspicion it would take down the whole fleet; with it, it costs three engines
// (see carobshift/retry/crash_suspects.h).
TEST_CASE("a request that crashes engines is refused before it ends them all") {
  Cluster cluster({.entries = 1, .engines = 5});
  for (std::size_t i = 0; i < cluster.engines(); ++i)
    SetFaults(cluster.engine(i), {{"crash_on", "poison"}});
  const Caller caller(cluster.EntryAddresses(), kAccountKey);
  constexpr int kResends = 6;
  for (int i = 0; i < kResends; ++i) {
    const CompletionOutcome outcome =
        caller.CompleteAt(cluster.entry(0).address(), {.prompt = "poison"});
    CHECK_FALSE(outcome.wrong);
    CHECK(outcome.error.is_object());
  }
  int alive = 0;
  for (std::size_t i = 0; i < cluster.engines(); ++i)
    alive += cluster.engine(i).running() ? 1 : 0;
  CHECK(alive >= 2);
  const CompletionOutcome other =
      caller.CompleteAt(cluster.entry(0).address(), {.prompt = "harmless"});
  INFO(other.error.dump());
  CHECK(other.complete);
}

// Guards against output of the wrong weights: an engine reports another weight
// version than the entry asked for, as after a swap that the entry has not seen
// yet.
TEST_CASE("a version that doesn't fit never reaches the caller") {
  Cluster cluster({.entries = 1, .engines = 2});
  SetFaults(cluster.engine(0), {{"wrong_version", "v0"}});
  const Caller caller(cluster.EntryAddresses(), kAccountKey);
  constexpr int kCalls = 8;
  for (int i = 0; i < kCalls; ++i) {
    const CompletionOutcome outcome = caller.CompleteAt(
        cluster.entry(0).address(), {.prompt = "call " + std::to_string(i)});
    INFO(outcome.error.dump());
    CHECK(outcome.CompleteOrTypedError());
    CHECK((outcome.version.empty() || outcome.version == "v1"));
  }
}

// Guards against failed requests when KV stores fail while engines write to
// them and read from them. One store is killed, the other hangs.
TEST_CASE("stores killed under load cost a recompute and nothing else") {
  Cluster cluster({.entries = 1,
                   .engines = 2,
                   .stores = 2,
                   .engine_flags = {"--cache-blocks=30"}});
  Caller caller(cluster.EntryAddresses(), kAccountKey);
  constexpr int kRounds = 4;
  constexpr int kConversations = 4;
  constexpr std::size_t kPromptBytes = 3000;
  std::vector<std::string> texts;
  for (int i = 0; i < kConversations; ++i) {
    texts.push_back(std::to_string(i));
    while (texts.back().size() < kPromptBytes)
      texts.back() += " hole " + std::to_string(texts.back().size());
  }
  for (int round = 0; round < kRounds; ++round) {
    for (int i = 0; i < kConversations; ++i) {
      const auto at = static_cast<std::size_t>(i);
      const CompletionOutcome outcome = caller.Complete(
          {.prompt = texts[at], .conversation = "c" + std::to_string(i)});
      INFO(outcome.error.dump());
      REQUIRE(outcome.complete);
      texts[at] += outcome.text;
      if (round == 1 && i == 1)
        cluster.store(0).Kill();
      if (round == 2 && i == 2)
        cluster.store(1).Signal(SIGSTOP);
    }
  }
}

// Guards against a dependency of the request path on the log: the log hangs for
// longer than the lease and then recovers. Requests continue meanwhile, and an
// edit published afterwards takes effect.
TEST_CASE("log silent for longer than the lease: requests go on") {
  Cluster cluster({.entries = 2, .engines = 2});
  BackgroundLoad load(cluster, 4);
  REQUIRE(load.WaitForComplete(8));
  cluster.log().Signal(SIGSTOP);
  constexpr Milliseconds kOutage{4000};
  const MonotonicTime end = MonotonicNow() + kOutage;
  while (MonotonicNow() < end)
    REQUIRE(load.WaitForComplete(4));
  cluster.log().Signal(SIGCONT);
  const std::uint64_t version =
      cluster.Publish("after-outage", cluster.DeclarationText("v1") + "\n", 0);
  CHECK(WaitUntil([&] {
    for (std::size_t i = 0; i < cluster.entries(); ++i) {
      if (cluster.State(i)["config"]["version"] != version)
        return false;
    }
    return true;
  }));
  const LoadCounts counts = load.Stop();
  CheckCounts(counts);
  CHECK(counts.typed_errors == 0);
  CHECK(counts.connection_errors == 0);
}

// An engine and an entry die at the same time while the log is down.
TEST_CASE("two faults at once during a log outage") {
  Cluster cluster({.entries = 3, .engines = 3});
  BackgroundLoad load(cluster, 6);
  REQUIRE(load.WaitForComplete(12));
  cluster.log().Signal(SIGSTOP);
  cluster.engine(0).Kill();
  cluster.entry(0).Kill();
  REQUIRE(load.WaitForComplete(24));
  cluster.log().Signal(SIGCONT);
  CheckCounts(load.Stop());
}

// An availability zone fails: its entry, its engines, its plain service and its
// store are killed.
TEST_CASE("a whole availability zone killed") {
  Cluster cluster(
      {.entries = 3, .engines = 4, .plain_services = 2, .stores = 2});
  BackgroundLoad load(cluster, 6);
  REQUIRE(load.WaitForComplete(12));
  cluster.entry(0).Kill();
  cluster.engine(0).Kill();
  cluster.engine(3).Kill();
  cluster.plain_service(0).Kill();
  cluster.store(0).Kill();
  REQUIRE(load.WaitForComplete(24));
  const LoadCounts counts = load.Stop();
  CheckCounts(counts);
  const Caller caller(cluster.EntryAddresses(), kOtherAccountKey);
  // The other plain service is used once the entries have detected that this
  // one is gone.
  int attempt = 0;
  CHECK(WaitUntil([&] {
    const std::string booking = "zone " + std::to_string(++attempt);
    const BookingOutcome outcome =
        caller.BookAt(cluster.entry(1).address(), booking, "");
    if (outcome.run_state == "not_run")
      CHECK(cluster.Runs(booking) == 0);
    return outcome.status == 200;
  }));
}

}  // namespace carobshift
