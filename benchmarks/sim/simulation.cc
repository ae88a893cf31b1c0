#include "benchmarks/sim/simulation.h"

#include <algorithm>
#include <cmath>

#include "benchmarks/sim/caller.h"
#include "benchmarks/sim/simulated_entry.h"

namespace carobshift {

namespace {

constexpr int kHotAccount = 5;
constexpr Milliseconds kRestartDelay{5000};
constexpr Milliseconds kWatchInterval{100};
constexpr double kSlowFactor = 10;
constexpr double kLinkBytesPerSecond = 2e9;
constexpr int kMaxSwapping = 2;

MonotonicTime At(int second) {
  return kSimBegin + Seconds(second);
}

// Activates the scenario's fault during its window, restarts crashed engines,
// and exchanges crash suspects between the entries.
class Faults {
 public:
  Faults(World& world, const Scenario& scenario)
      : world_(world), scenario_(scenario) {}

  void Begin() {
    world_.link.bytes_per_second = kLinkBytesPerSecond;
    world_.loop.At(At(scenario_.begin), [this] { Set(true); });
    world_.loop.At(At(scenario_.end), [this] { Set(false); });
    Watch();
  }

  [[nodiscard]] int crashes() const { return crashes_; }

 private:
  void Set(bool on) {
    FakeEngine& first = *world_.engines.front();
    switch (scenario_.fault) {
      case Fault::kNone:
        break;
      case Fault::kSlowEngine:
        first.set_slowdown(on ? kSlowFactor : 1);
        break;
      case Fault::kStalledEngine:
        first.set_stalled(on);
        break;
      case Fault::kHalfGone:
        half_gone_ = on;
        for (std::size_t i = 0; i < world_.engines.size() / 2; ++i)
          on ? world_.engines[i]->Crash() : world_.engines[i]->Restart();
        break;
      case Fault::kWeightSwap:
        if (on)
          Swap();
        break;
      case Fault::kLinkAtTenth:
        world_.link.bytes_per_second =
            on ? kLinkBytesPerSecond / 10 : kLinkBytesPerSecond;
        break;
    }
  }

  // Swaps weights on two engines at a time: stop new work, wait until idle,
  // load, return with an empty cache.
  void Swap() {
    while (swapping_ < kMaxSwapping && next_swap_ < world_.engines.size()) {
      FakeEngine* engine = world_.engines[next_swap_++].get();
      ++swapping_;
      engine->set_leaving(true);
      AwaitIdle(engine);
    }
  }
  void AwaitIdle(FakeEngine* engine) {
    if (!engine->idle()) {
      world_.loop.After(kWatchInterval, [this, engine] { AwaitIdle(engine); });
      return;
    }
    world_.loop.After(Seconds(world_.deployment->swap_seconds), [this, engine] {
      engine->ClearCache();
      engine->set_leaving(false);
      --swapping_;
      Swap();
    });
  }

  void Watch() {
    for (const auto& engine : world_.engines) {
      if (engine->alive() || half_gone_ || restarting_.contains(engine.get()))
        continue;
      ++crashes_;
      restarting_.insert(engine.get());
      world_.loop.After(kRestartDelay, [this, dead = engine.get()] {
        restarting_.erase(dead);
        if (!dead->alive())
          dead->Restart();
      });
    }
    for (const auto& from : world_.entries) {
      const auto records = from->ExportSuspects();
      for (const auto& to : world_.entries) {
        if (to != from && !records.empty())
          to->MergeSuspects(records);
      }
    }
    world_.loop.After(kWatchInterval, [this] { Watch(); });
  }

  World& world_;
  const Scenario& scenario_;
  bool half_gone_ = false;
  int crashes_ = 0;
  int swapping_ = 0;
  std::size_t next_swap_ = 0;
  std::set<FakeEngine*> restarting_;
};

double Percentile(std::vector<double>& sorted, double share) {
  if (sorted.empty())
    return 0;
  const auto at =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[at];
}

class Report {
 public:
  Report(const std::vector<LogicalRequest>& requests,
         const std::vector<RequestOutcome>& outcomes,
         const Scenario& scenario)
      : requests_(requests), outcomes_(outcomes), scenario_(scenario) {}

  template <typename Predicate>
  Latency Over(Predicate matches) const {
    std::vector<double> seconds;
    std::size_t in_time = 0;
    for (std::size_t i = 0; i < requests_.size(); ++i) {
      if (requests_[i].poison || !matches(requests_[i]))
        continue;
      const double taken = outcomes_[i].first_token_seconds;
      const bool answered = taken >= 0;
      seconds.push_back(answered ? taken : kUnansweredSeconds);
      const std::chrono::duration<double> deadline = requests_[i].deadline();
      in_time += answered && taken <= deadline.count() ? 1 : 0;
    }
    std::ranges::sort(seconds);
    const auto count =
        static_cast<double>(std::max<std::size_t>(1, seconds.size()));
    return {Percentile(seconds, 0.50), Percentile(seconds, 0.95),
            Percentile(seconds, 0.99), static_cast<double>(in_time) / count,
            seconds.size()};
  }

  bool InWindow(const LogicalRequest& request) const {
    return request.arrival >= At(scenario_.begin) &&
           request.arrival < At(scenario_.end);
  }

  Latency LatencyBetween(int from, int to) const {
    return Over([&](const LogicalRequest& request) {
      return request.arrival >= At(from) && request.arrival < At(to);
    });
  }

  double Recovery() const {
    constexpr int kWarmUp = 5;
    const double before = LatencyBetween(kWarmUp, scenario_.begin).p50;
    const double allowed = std::max(1.1 * before, before + 0.02);
    for (int second = scenario_.end; second + 3 <= scenario_.duration;
         ++second) {
      bool recovered = true;
      for (int i = 0; i < 3; ++i)
        recovered = recovered &&
                    LatencyBetween(second + i, second + i + 1).p50 <= allowed;
      if (recovered)
        return second - scenario_.end;
    }
    return -1;
  }

  void FillAccounts(RunResult* result) const {
    double sum = 0;
    double squares = 0;
    for (int account = 0; account < kAccounts; ++account) {
      const double share =
          Over([&](const LogicalRequest& request) {
            return InWindow(request) && request.account == account;
          }).in_deadline;
      result->in_deadline_by_account[static_cast<std::size_t>(account)] = share;
      sum += share;
      squares += share * share;
    }
    result->jain = squares > 0 ? sum * sum / (kAccounts * squares) : 0;
  }

 private:
  const std::vector<LogicalRequest>& requests_;
  const std::vector<RequestOutcome>& outcomes_;
  const Scenario& scenario_;
};

void FillCounters(const World& world,
                  const std::vector<RequestOutcome>& outcomes,
                  RunResult* result) {
  EntryCounters sum;
  for (const auto& entry : world.entries) {
    const EntryCounters one = entry->Counters();
    sum.attempts += one.attempts;
    sum.refusals += one.refusals;
    sum.judged_refusals += one.judged_refusals;
    sum.justified_refusals += one.justified_refusals;
    sum.prompt_tokens += one.prompt_tokens;
    sum.recomputed_tokens += one.recomputed_tokens;
  }
  double sends = 0;
  for (const RequestOutcome& one : outcomes)
    sends += one.sends;
  const auto requests = static_cast<double>(outcomes.size());
  result->refusals = static_cast<double>(sum.refusals);
  if (sum.judged_refusals > 0)
    result->justified_refusal_share =
        static_cast<double>(sum.justified_refusals) /
        static_cast<double>(sum.judged_refusals);
  result->attempts_per_request = static_cast<double>(sum.attempts) / requests;
  result->sends_per_request = sends / requests;
  result->recomputed_share =
      sum.prompt_tokens > 0 ? sum.recomputed_tokens / sum.prompt_tokens : 0;
  result->link_gigabytes = world.link.bytes_moved / 1e9;
}

}  // namespace

RunResult Simulate(const Deployment& deployment,
                   const Scenario& scenario,
                   const Variant& variant,
                   std::uint64_t seed) {
  World world;
  world.deployment = &deployment;
  for (int i = 0; i < deployment.engines; ++i)
    world.engines.push_back(std::make_unique<FakeEngine>(
        world.loop, "engine-" + std::to_string(i)));
  for (int i = 0; i < deployment.entries; ++i)
    world.entries.push_back(std::make_unique<SimulatedEntry>(
        world, static_cast<std::size_t>(i), variant));
  const std::vector<LogicalRequest> requests =
      MakeArrivals(deployment, scenario, seed);
  Callers callers(world, requests);
  callers.Begin();
  Faults faults(world, scenario);
  faults.Begin();
  world.loop.RunUntil(At(scenario.duration + 10));

  const Report report(requests, callers.outcomes(), scenario);
  const auto during = [&](const LogicalRequest& request) {
    return report.InWindow(request);
  };
  RunResult result;
  result.all = report.Over([](const LogicalRequest&) { return true; });
  result.during = report.Over(during);
  result.during_small = report.Over([&](const LogicalRequest& request) {
    return during(request) && request.account >= kLargeAccounts &&
           request.account != kHotAccount;
  });
  result.during_short = report.Over([&](const LogicalRequest& request) {
    return during(request) && !request.dossier;
  });
  result.during_dossier = report.Over([&](const LogicalRequest& request) {
    return during(request) && request.dossier;
  });
  FillCounters(world, callers.outcomes(), &result);
  report.FillAccounts(&result);
  result.recovery_seconds = report.Recovery();
  result.engine_crashes = faults.crashes();
  for (int second = 0; second < scenario.duration; ++second)
    result.p95_by_second.push_back(
        report.LatencyBetween(second, second + 1).p95);
  return result;
}

}  // namespace carobshift
