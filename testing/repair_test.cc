// The fleet repairs and changes itself, through real processes: replicas lost,
// weight swaps, planned stops, leaving endpoints, a paused lease holder.

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "testing/background_load.h"
#include "testing/caller.h"
#include "testing/cluster.h"
#include "testing/http_client.h"

namespace carobshift {
namespace {

using nlohmann::json;

constexpr char kSlowSteps[] = "--step-us=10000";
constexpr Milliseconds kRepairLimit{20000};

json EngineStatusOf(Cluster& cluster, std::size_t i) {
  if (!cluster.engine(i).running())
    return json::object();
  const json status =
      HttpSend(cluster.engine(i).address(), "GET", "/status").Json();
  return status.is_object() ? status : json::object();
}

int CountEngines(Cluster& cluster,
                 const std::string& state,
                 const std::string& version) {
  int count = 0;
  for (std::size_t i = 0; i < cluster.engines(); ++i) {
    const json status = EngineStatusOf(cluster, i);
    if (status.value("state", "") == state &&
        (version.empty() || status.value("version", "") == version))
      ++count;
  }
  return count;
}

std::string WithReplicas(std::string text, int from, int to) {
  const std::string old_text = "replicas: " + std::to_string(from) + "\n";
  const std::size_t at = text.find(old_text);
  REQUIRE(at != std::string::npos);
  return text.replace(at, old_text.size(),
                      "replicas: " + std::to_string(to) + "\n");
}

// The entry that says it holds the lease, or the number of entries.
std::size_t LeaseHolder(Cluster& cluster, std::size_t except) {
  for (std::size_t i = 0; i < cluster.entries(); ++i) {
    if (i == except)
      continue;
    const json state = cluster.State(i);
    if (state.is_object() && state["lease"].value("held_here", false))
      return i;
  }
  return cluster.entries();
}

std::size_t CountOrders(const Process& entry) {
  const std::string output = entry.Output();
  std::size_t count = 0;
  for (std::size_t at = output.find("\"event\":\"order\"");
       at != std::string::npos; at = output.find("\"event\":\"order\"", at + 1))
    ++count;
  return count;
}

void CheckUninterrupted(const LoadCounts& counts) {
  for (const std::string& error : counts.errors)
    UNSCOPED_INFO(error);
  CHECK(counts.wrong == 0);
  CHECK(counts.cut_short == 0);
  CHECK(counts.typed_errors == 0);
  CHECK(counts.connection_errors == 0);
  CHECK(counts.whole > 0);
}

Milliseconds Since(MonotonicTime begin) {
  return std::chrono::duration_cast<Milliseconds>(MonotonicNow() - begin);
}

}  // namespace

// A replica's machine dies. Without repair the service would stay one replica
// short until an operator comes. First an operator's edit frees the spare.
TEST_CASE("an engine killed: a spare loads the model without an operator") {
  Cluster cluster({.entries = 3, .engines = 3});
  BackgroundLoad load(cluster, 4);
  REQUIRE(load.AwaitWhole(8));
  cluster.Publish("one-less", WithReplicas(cluster.DeclarationText("v1"), 3, 2),
                  0);
  REQUIRE(WaitUntil([&] { return CountEngines(cluster, "idle", "") == 1; },
                    kRepairLimit));
  std::size_t victim = 0;
  while (EngineStatusOf(cluster, victim).value("state", "") != "ready")
    ++victim;
  const MonotonicTime begin = MonotonicNow();
  cluster.engine(victim).Kill();
  CHECK(WaitUntil([&] { return CountEngines(cluster, "ready", "v1") == 2; },
                  kRepairLimit));
  WARN("engine killed to declared replicas back: " << Since(begin).count()
                                                   << " ms");
  const LoadCounts counts = load.Stop();
  CHECK(counts.wrong == 0);
  CHECK(counts.cut_short == 0);
  CHECK(counts.connection_errors == 0);
}

// Operators publish new weights at a busy hour. A swap that did not wait would
// cut off the streams on each engine in turn.
TEST_CASE("a weight swap under load interrupts no request") {
  Cluster cluster({.entries = 3,
                   .engines = 3,
                   .engine_flags = {kSlowSteps, "--load-ms=500"}});
  BackgroundLoad load(cluster, 6, {"v1", "v2"});
  REQUIRE(load.AwaitWhole(12));
  const MonotonicTime begin = MonotonicNow();
  cluster.Publish("swap", cluster.DeclarationText("v2"), 0);
  int least_ready = 3;
  const bool swapped = WaitUntil(
      [&] {
        least_ready = std::min(least_ready, CountEngines(cluster, "ready", ""));
        return CountEngines(cluster, "ready", "v2") == 3;
      },
      Milliseconds(60000));
  CHECK(swapped);
  WARN("weights of three engines swapped under load: " << Since(begin).count()
                                                       << " ms");
  CHECK(least_ready >= 1);
  REQUIRE(load.AwaitWhole(12));
  CheckUninterrupted(load.Stop());
}

// The platform replaces an entry's machine and tells the process to stop. Its
// callers hold address answers that name it, and streams are open.
TEST_CASE("SIGTERM of an entry under load interrupts no request") {
  Cluster cluster({.entries = 3, .engines = 2, .engine_flags = {kSlowSteps}});
  std::atomic<int> interrupted{0};
  std::atomic<int> whole{0};
  std::vector<std::jthread> callers;
  for (int i = 0; i < 6; ++i) {
    callers.emplace_back([&, i](const std::stop_token& stop) {
      Caller caller(cluster.EntryAddresses(), kClubKey);
      for (int n = 0; !stop.stop_requested(); ++n) {
        const auto addresses = caller.AskAddresses("c" + std::to_string(i) +
                                                   "-" + std::to_string(n));
        // The time to live that the cluster's entries give.
        const MonotonicTime expires = MonotonicNow() + Milliseconds(1000);
        while (!addresses.empty() && MonotonicNow() < expires &&
               !stop.stop_requested()) {
          const CompletionOutcome outcome = caller.CompleteAt(
              addresses.front(),
              {.prompt = "[long] stop " + std::to_string(n), .max_tokens = 40});
          ++(outcome.whole ? whole : interrupted);
        }
      }
    });
  }
  REQUIRE(WaitUntil([&] { return whole > 12; }));
  const MonotonicTime begin = MonotonicNow();
  cluster.entry(1).Signal(SIGTERM);
  CHECK(cluster.entry(1).WaitForExit(Milliseconds(30000)) == 0);
  WARN("SIGTERM to exit under load: " << Since(begin).count() << " ms");
  const int before = whole;
  CHECK(WaitUntil([&] { return whole > before + 6; }));
  for (std::jthread& caller : callers)
    caller.request_stop();
  callers.clear();
  CHECK(interrupted == 0);
}

// The platform lists an engine as leaving. Work that it gets now is cut off
// when it stops.
TEST_CASE("an endpoint marked leaving takes no new work after two seconds") {
  Cluster cluster({.entries = 3, .engines = 3});
  BackgroundLoad load(cluster, 6);
  REQUIRE(load.AwaitWhole(12));
  cluster.Relist("engine-0", {{"state", "leaving"}});
  const MonotonicTime begin = MonotonicNow();
  // Streams that began before end within the two seconds as well: they take
  // some hundred milliseconds.
  REQUIRE(WaitUntil([&] { return Since(begin) >= Milliseconds(2000); }));
  int seen_running = 0;
  REQUIRE(WaitUntil([&] {
    seen_running += EngineStatusOf(cluster, 0).value("running", 0);
    return Since(begin) >= Milliseconds(5000);
  }));
  CHECK(seen_running == 0);
  CheckUninterrupted(load.Stop());
}

// A prompt crashes each engine that runs it, and its caller turns to another
// entry with it each time. If each entry had to find out for itself, every one
// of them would cost three engines.
TEST_CASE("a crashing request is known to the other entries") {
  Cluster cluster({.entries = 3, .engines = 6});
  for (std::size_t i = 0; i < cluster.engines(); ++i)
    SetFaults(cluster.engine(i), {{"crash_on", "poison"}});
  const Caller caller(cluster.EntryAddresses(), kClubKey);
  for (std::size_t i = 0; i < 2 * cluster.entries(); ++i) {
    const CompletionOutcome outcome = caller.CompleteAt(
        cluster.entry(i % cluster.entries()).address(), {.prompt = "poison"});
    CHECK_FALSE(outcome.wrong);
    CHECK(outcome.error.is_object());
    // Callers come back after a while; the gossip has a second.
    const MonotonicTime begin = MonotonicNow();
    REQUIRE(WaitUntil([&] { return Since(begin) >= Milliseconds(1000); }));
  }
  int alive = 0;
  for (std::size_t i = 0; i < cluster.engines(); ++i)
    alive += cluster.engine(i).running() ? 1 : 0;
  CHECK(alive >= 3);
}

// The holder's machine stops it for longer than its lease and lets it go on
// later, unaware. An edit is published meanwhile, so that there is something to
// order for the successor, and for the old holder if it still believed.
TEST_CASE("a lease holder stopped past its lease orders nothing afterwards") {
  Cluster cluster({.entries = 3, .engines = 3});
  std::size_t old_holder = cluster.entries();
  REQUIRE(WaitUntil([&] {
    old_holder = LeaseHolder(cluster, cluster.entries());
    return old_holder < cluster.entries();
  }));
  const std::size_t orders_before = CountOrders(cluster.entry(old_holder));
  const MonotonicTime begin = MonotonicNow();
  cluster.entry(old_holder).Signal(SIGSTOP);
  cluster.Publish("swap", cluster.DeclarationText("v2"), 0);
  std::size_t successor = cluster.entries();
  REQUIRE(WaitUntil(
      [&] {
        successor = LeaseHolder(cluster, old_holder);
        return successor < cluster.entries();
      },
      kRepairLimit));
  WARN("lease holder stopped to successor: " << Since(begin).count() << " ms");
  cluster.entry(old_holder).Signal(SIGCONT);
  CHECK(WaitUntil([&] { return CountEngines(cluster, "ready", "v2") == 3; },
                  Milliseconds(60000)));
  WARN("lease holder stopped to weights swapped: " << Since(begin).count()
                                                   << " ms");
  CHECK(CountOrders(cluster.entry(old_holder)) == orders_before);
  CHECK(CountOrders(cluster.entry(successor)) >= 3);
  CHECK_FALSE(cluster.State(old_holder)["lease"].value("held_here", true));
}

}  // namespace carobshift
