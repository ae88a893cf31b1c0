// Soak: gateway processes are stopped and started again in series, some of them
// at the same time, beside reloads and configurations, under callers that keep
// their connections until the process is gone.

#include <algorithm>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fuzz/simulation.h"
#include "testing/gateway_cluster.h"
#include "testing/kept_caller.h"

namespace carobshift {
namespace {

constexpr int kShortStream = 20;
// A stream that takes most of the grace period.
constexpr int kLongStream = 70;
// As GatewayCluster sets it.
constexpr Milliseconds kGracePeriod{6000};
constexpr int kOk = 200;
// Statuses of requests that have not run and never will.
constexpr std::array<int, 4> kNotRun = {408, 421, 429, 503};

class ShutdownSoak {
 public:
  explicit ShutdownSoak(std::uint64_t seed)
      : random_(seed),
        events_(seed % 2 == 0 ? kShortStream : kLongStream),
        cluster_({.gateways = 3,
                  .engines = 3,
                  .events = events_,
                  .event_gap = Milliseconds(60)}) {}

  void Play(int callers, int rounds);

 private:
  void StartCallers(int count);
  void PlayRound();
  // Stops a gateway as the platform does, and starts it again.
  void Restart(std::size_t gateway);
  void PutConfig();
  void Judge(const KeptCallerRequest& request) const;

  SeededRandom random_;
  const int events_;
  GatewayCluster cluster_;
  int config_ = 1;
  std::vector<std::unique_ptr<KeptCaller>> callers_;
  // Number of runs by request id.
  std::map<std::string, int> runs_;
};

void ShutdownSoak::StartCallers(int count) {
  std::vector<NetAddress> gateways;
  for (std::size_t i = 0; i < cluster_.gateways(); ++i)
    gateways.push_back(cluster_.FrontAddress(i));
  for (int i = 0; i < count; ++i) {
    callers_.push_back(std::make_unique<KeptCaller>(
        KeptCallerOptions{.gateways = gateways,
                          .name = "caller" + std::to_string(i),
                          .seed = random_.Next(),
                          .max_pause = Milliseconds(i % 2 == 0 ? 3000 : 200),
                          .max_body_pause = Milliseconds(i % 5 == 0 ? 700 : 0),
                          .events = events_}));
  }
}

void ShutdownSoak::PutConfig() {
  cluster_.PutConfig(++config_, {.idle_timeout = random_.Between(
                                     Milliseconds(3000), Milliseconds(6000))});
}

void ShutdownSoak::Restart(std::size_t gateway) {
  Process& process = cluster_.gateway(gateway);
  process.Signal(SIGTERM);
  const MonotonicTime killed = MonotonicNow() + kGracePeriod;
  if (random_.Chance(0.5)) {
    std::this_thread::sleep_for(random_.Between({}, Milliseconds(3000)));
    process.Signal(random_.Chance(0.5) ? SIGHUP : SIGTERM);
  }
  const auto left =
      std::chrono::duration_cast<Milliseconds>(killed - MonotonicNow());
  const bool ended = process.WaitForExit(left) == 0;
  CHECK(ended);
  if (!ended)
    process.Kill();
  cluster_.StartGateway(gateway);
}

void ShutdownSoak::PlayRound() {
  const std::size_t first = random_.Below(cluster_.gateways());
  const bool beside = random_.Chance(0.5);
  if (random_.Chance(0.5))
    PutConfig();
  if (random_.Chance(0.3))
    cluster_.gateway(first).Signal(SIGHUP);
  if (beside) {
    cluster_.gateway((first + 1) % cluster_.gateways()).Signal(SIGTERM);
    std::this_thread::sleep_for(random_.Between({}, Milliseconds(2000)));
  }
  Restart(first);
  if (beside)
    Restart((first + 1) % cluster_.gateways());
  CHECK(WaitUntil([&] { return cluster_.Ready(first); }));
}

void ShutdownSoak::Play(int callers, int rounds) {
  StartCallers(callers);
  std::atomic<bool> stop = false;
  {
    std::vector<std::jthread> threads;
    for (const auto& caller : callers_)
      threads.emplace_back([&caller, &stop] { caller->Run(stop); });
    for (int round = 0; round < rounds; ++round)
      PlayRound();
    stop = true;
  }
  for (std::size_t i = 0; i < cluster_.replicas(); ++i) {
    const nlohmann::json replica = cluster_.RunsOf(i);
    for (const auto& run : replica.at("runs"))
      ++runs_[run.at("request").get<std::string>()];
  }
  int served = 0;
  for (const auto& caller : callers_) {
    served += caller->served();
    for (const KeptCallerRequest& request : caller->requests())
      Judge(request);
  }
  CHECK(served > callers);
}

void ShutdownSoak::Judge(const KeptCallerRequest& request) const {
  const auto found = runs_.find(request.id);
  const int runs = found == runs_.end() ? 0 : found->second;
  INFO(request.id << " " << request.path << ": status " << request.status
                  << ", runs " << runs << ", " << request.failure);
  const bool not_run =
      std::count(kNotRun.begin(), kNotRun.end(), request.status) > 0;
  const bool runs_once =
      request.path.starts_with("/book") || request.path.starts_with("/ask");
  // A request that was passed on has its whole answer.
  CHECK((request.whole || (runs == 0 && request.status == 0)));
  CHECK((!request.whole || request.status != kOk || request.expected_body));
  CHECK((!runs_once || runs <= 1));
  CHECK((!runs_once || !not_run || runs == 0));
}

// Guards against requests that are cut, or run twice, around planned stops.
TEST_CASE("shutdown soak: no request that was passed on is lost") {
  ShutdownSoak(1).Play(/*callers=*/40, /*rounds=*/3);
}

// For runs by hand: as many seeds as SEEDS says.
TEST_CASE("shutdown soak: the same with more seeds", "[.]") {
  const char* const seeds = std::getenv("SEEDS");
  const std::uint64_t count = seeds == nullptr ? 50 : std::stoull(seeds);
  for (std::uint64_t seed = 2; seed < 2 + count; ++seed) {
    INFO("seed " << seed);
    ShutdownSoak(seed).Play(/*callers=*/40, /*rounds=*/3);
  }
}

}  // namespace
}  // namespace carobshift
