// Real gateway processes whose replicas, or which themselves, stand still for a
// second while configurations change, under callers that keep their
// connections.

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fuzz/simulation.h"
#include "testing/gateway_cluster.h"
#include "testing/kept_caller.h"

namespace carobshift {
namespace {

constexpr int kEvents = 20;
constexpr int kOk = 200;

// Stops processes by their ids, and lets them go on after `time`.
void StandStill(const std::vector<Process*>& processes, Milliseconds time) {
  for (Process* process : processes)
    process->Signal(SIGSTOP);
  std::this_thread::sleep_for(time);
  for (Process* process : processes)
    process->Signal(SIGCONT);
}

// A change of the configuration, after which all or some replicas, and in turn
// a gateway, stand still.
void PlayRound(GatewayCluster& cluster, int round, SeededRandom& random) {
  cluster.PutConfig(2 + round,
                    {.timeout = Milliseconds(5000 + 500 * random.Below(3)),
                     .idle_timeout = Milliseconds(3000 + random.Below(2000))});
  std::this_thread::sleep_for(Milliseconds(random.Below(600)));
  std::vector<Process*> stopped;
  const bool all = random.Chance(0.5);
  for (std::size_t i = 0; i < cluster.replicas(); ++i) {
    if (all || random.Chance(0.6))
      stopped.push_back(&cluster.replica(i));
  }
  if (round % 2 == 1)
    stopped.push_back(&cluster.gateway(random.Below(cluster.gateways())));
  StandStill(stopped, Milliseconds(1000 + random.Below(301)));
  std::this_thread::sleep_for(Milliseconds(random.Below(500)));
}

void Play(std::uint64_t seed) {
  constexpr std::size_t kCallers = 24;
  constexpr int kRounds = 3;
  GatewayCluster cluster({.gateways = 2,
                          .engines = 3,
                          .events = kEvents,
                          .event_gap = Milliseconds(40)});
  SeededRandom random(seed);
  std::vector<std::unique_ptr<KeptCaller>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<KeptCaller>(KeptCallerOptions{
        .gateways = {cluster.FrontAddress(i % cluster.gateways())},
        .name = "caller" + std::to_string(i),
        .seed = random.Next(),
        .events = kEvents}));
  }
  std::atomic<bool> stop = false;
  {
    std::vector<std::jthread> threads;
    for (const auto& caller : callers)
      threads.emplace_back([&caller, &stop] { caller->Run(stop); });
    for (int round = 0; round < kRounds; ++round)
      PlayRound(cluster, round, random);
    stop = true;
  }
  INFO("seed " << seed);
  for (const auto& caller : callers) {
    for (const KeptCallerRequest& request : caller->requests()) {
      INFO(request.id << " " << request.path << ": " << request.failure);
      CHECK(request.whole);
      CHECK((request.status != kOk || request.expected_body));
    }
    CHECK(caller->served() > 0);
    CHECK(caller->failed_connects() == 0);
  }
}

// Guards against requests that end without an answer beside a configuration,
// while sound replicas are silent for a second and go on.
TEST_CASE("no request is lost while replicas and gateways stand still") {
  Play(1);
}

// For runs by hand.
TEST_CASE("the same with five more seeds", "[.]") {
  for (std::uint64_t seed = 2; seed <= 6; ++seed)
    Play(seed);
}

}  // namespace
}  // namespace carobshift
