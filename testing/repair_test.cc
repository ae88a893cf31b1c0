// Automatic repair and planned changes of the fleet with real processes: lost
// replicas, weight swaps, planned stops, leaving endpoints, and a paused lease
// holder.

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

// Returns the entry that reports to hold the lease, or the number of entries if
// none does. Skips `except`.
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
  CHECK(counts.truncated == 0);
  CHECK(counts.typed_errors == 0);
  CHECK(counts.connection_errors == 0);
  CHECK(counts.complete > 0);
}

Milliseconds ElapsedSince(MonotonicTime begin) {
  return std::chrono::duration_cast<Milliseconds>(MonotonicNow() - begin);
}

}  // namespace

// Guards against a service that stays one replica short after a replica died
// until an operator acts. The test first frees a spare engine by an edit that
// lowers the replica count.
TEST_CASE("an engine killed: a spare loads the model without an operator") {
  Cluster cluster({.entries = 3, .engines = 3});
  BackgroundLoad load(cluster, 4);
  REQUIRE(load.WaitForComplete(8));
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
  WARN("engine killed to declared replicas back: "
       << ElapsedSince(begin).count() << " ms");
  const LoadCounts counts = load.Stop();
  CHECK(counts.wrong == 0);
  CHECK(counts.truncated == 0);
  CHECK(counts.connection_errors == 0);
}

// Guards against a weight swap that cuts off streams: new weights are published
// under load, and each engine must finish its streams before it loads.
TEST_CASE("a weight swap under load interrupts no request") {
  Cluster cluster({.entries = 3,
                   .engines = 3,
                   .engine_flags = {kSlowSteps, "--load-ms=500"}});
  BackgroundLoad load(cluster, 6, {"v1", "v2"});
  REQUIRE(load.WaitForComplete(12));
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
  WARN("weights of three engines swapped under load: "
       << ElapsedSince(begin).count() << " ms");
  CHECK(least_ready >= 1);
  REQUIRE(load.WaitForComplete(12));
  CheckUninterrupted(load.Stop());
}

// Guards against a planned stop that interrupts requests: an entry gets SIGTERM
// while callers hold address responses that name it and have open streams.
TEST_CASE("SIGTERM of an entry under load interrupts no request") {
  Cluster cluster({.entries = 3, .engines = 2, .engine_flags = {kSlowSteps}});
  std::atomic<int> interrupted{0};
  std::atomic<int> complete{0};
  std::vector<std::jthread> callers;
  for (int i = 0; i < 6; ++i) {
    callers.emplace_back([&, i](const std::stop_token& stop) {
      Caller caller(cluster.EntryAddresses(), kAccountKey);
      for (int n = 0; !stop.stop_requested(); ++n) {
        const auto addresses = caller.FetchAddresses("c" + std::to_string(i) +
                                                     "-" + std::to_string(n));
        // The TTL of address responses in Cluster.
        const MonotonicTime expires = MonotonicNow() + Milliseconds(1000);
        while (!addresses.empty() && MonotonicNow() < expires &&
               !stop.stop_requested()) {
          const CompletionOutcome outcome = caller.CompleteAt(
              addresses.front(),
              {.prompt = "[long] stop " + std::to_string(n), .max_tokens = 40});
          ++(outcome.complete ? complete : interrupted);
        }
      }
    });
  }
  REQUIRE(WaitUntil([&] { return complete > 12; }));
  const MonotonicTime begin = MonotonicNow();
  cluster.entry(1).Signal(SIGTERM);
  CHECK(cluster.entry(1).WaitForExit(Milliseconds(30000)) == 0);
  WARN("SIGTERM to exit under load: " << ElapsedSince(begin).count() << " ms");
  const int before = complete;
  CHECK(WaitUntil([&] { return complete > before + 6; }));
  for (std::jthread& caller : callers)
    caller.request_stop();
  callers.clear();
  CHECK(interrupted == 0);
}

// Guards against new work on an engine that the platform lists as leaving. Such
// work would be cut off when the engine stops.
TEST_CASE("an endpoint marked leaving takes no new work after two seconds") {
  Cluster cluster({.entries = 3, .engines = 3});
  BackgroundLoad load(cluster, 6);
  REQUIRE(load.WaitForComplete(12));
  cluster.UpdateInstance("engine-0", {{"state", "leaving"}});
  const MonotonicTime begin = MonotonicNow();
  // Streams that started earlier also end within the two seconds; they take
  // some hundred milliseconds.
  REQUIRE(WaitUntil([&] { return ElapsedSince(begin) >= Milliseconds(2000); }));
  int seen_running = 0;
  REQUIRE(WaitUntil([&] {
    seen_running += EngineStatusOf(cluster, 0).value("running", 0);
    return ElapsedSince(begin) >= Milliseconds(5000);
  }));
  CHECK(seen_running == 0);
  CheckUninterrupted(load.Stop());
}

// Guards against crash suspicion that stays local to one entry. A prompt
// crashes each engine that runs it, and its caller resends it to another entry
// each time. If each entry had to detect this by itself, each would lose three
// engines.
TEST_CASE("a crashing request is known to the other entries") {
  Cluster cluster({.entries = 3, .engines = 6});
  for (std::size_t i = 0; i < cluster.engines(); ++i)
    SetFaults(cluster.engine(i), {{"crash_on", "poison"}});
  const Caller caller(cluster.EntryAddresses(), kAccountKey);
  for (std::size_t i = 0; i < 2 * cluster.entries(); ++i) {
    const CompletionOutcome outcome = caller.CompleteAt(
        cluster.entry(i % cluster.entries()).address(), {.prompt = "poison"});
    CHECK_FALSE(outcome.wrong);
    CHECK(outcome.error.is_object());
    // Callers retry after a pause; gossip has one second.
    const MonotonicTime begin = MonotonicNow();
    REQUIRE(
        WaitUntil([&] { return ElapsedSince(begin) >= Milliseconds(1000); }));
  }
  int alive = 0;
  for (std::size_t i = 0; i < cluster.engines(); ++i)
    alive += cluster.engine(i).running() ? 1 : 0;
  CHECK(alive >= 3);
}

// Guards against orders from a stale lease holder: it is suspended for longer
// than its lease and resumes without noticing. An edit is published meanwhile,
// so that there are orders to send, for the successor and for the old holder if
// it still assumed the lease.
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
  WARN("lease holder stopped to successor: " << ElapsedSince(begin).count()
                                             << " ms");
  cluster.entry(old_holder).Signal(SIGCONT);
  CHECK(WaitUntil([&] { return CountEngines(cluster, "ready", "v2") == 3; },
                  Milliseconds(60000)));
  WARN("lease holder stopped to weights swapped: "
       << ElapsedSince(begin).count() << " ms");
  CHECK(CountOrders(cluster.entry(old_holder)) == orders_before);
  CHECK(CountOrders(cluster.entry(successor)) >= 3);
  CHECK_FALSE(cluster.State(old_holder)["lease"].value("held_here", true));
}

}  // namespace carobshift
