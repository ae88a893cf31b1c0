// The retry budget of a deployment under faults, measured by the arrivals at
// the endpoints.
//
// Instances spend whatever they may. They are killed, frozen and started behind
// partitions; links hold back what was sent, and deliver it when they heal, or
// after the user timeout of a process that is gone. In half of the runs nothing
// fails at first, so that instances save up retries, and callers move from some
// instances to others.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "carobshift/gateway/request/retry_allowance.h"

namespace carobshift {
namespace {

constexpr RetryLimits kLimits{.share = 0.2, .extra = 54};
constexpr Milliseconds kStep{50};
constexpr Milliseconds kRunTime{50000};
constexpr int kSeeds = 50;
// Bytes of a connection that was reset arrive within this time, if at all.
constexpr Milliseconds kDeliveryTime{500};
const ServiceName kEngines("engines");

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  [[nodiscard]] int Between(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(engine_);
  }
  [[nodiscard]] Milliseconds Time(int least_ms, int most_ms) {
    return Milliseconds(Between(least_ms, most_ms));
  }
  [[nodiscard]] bool OneIn(int count) { return Between(1, count) == 1; }

 private:
  std::mt19937_64 engine_;
};

// A retry on its way to an endpoint.
struct Sent {
  // When it arrives unless its connection is reset before.
  MonotonicTime arrival;
  // When its instance gives it up.
  MonotonicTime given_up;
};

// What the callers do and when retries are wanted.
struct Workload {
  // Requests in a step, of all callers.
  int requests_per_step = 2;
  // Retries are wanted from this time on.
  Milliseconds errors_from{0};
  // All instances are killed together this long after that, if at all.
  std::optional<Milliseconds> kill_all_after{};
  bool callers_move = false;
  // The number of requests changes, down to none.
  bool rate_changes = false;
};

struct Instance {
  std::optional<RetryAllowance> allowance;
  MonotonicTime starts{};
  MonotonicTime frozen_until{};
  // How many instances it sees.
  int visible = 1;
  std::vector<Sent> sent;
  // Requests that its kernel has and the frozen process hasn't read.
  int unread_requests = 0;
};

class World {
 public:
  // With an odd seed, instances are killed together at the start and rarely
  // afterwards, so that they have their parts while they see few of the others.
  World(std::uint64_t seed, int instances)
      : random_(seed),
        killed_together_(seed % 2 == 1),
        instances_(static_cast<std::size_t>(instances)) {
    // What comes before is out of the window when the faults begin.
    for (Instance& instance : instances_) {
      instance.allowance.emplace(kLimits);
      instance.visible = instances;
      instance.allowance->OnMembers(instances, kBegin - Seconds(60));
    }
  }

  // Replaces the constant load of the other constructor.
  World(std::uint64_t seed, int instances, const Workload& workload)
      : World(seed, instances) {
    workload_ = workload;
    killed_together_ = seed % 3 != 0;
    MoveCallers();
  }

  void Run() {
    now_ = kBegin;
    if (workload_) {
      RunWorkload();
      return;
    }
    if (killed_together_) {
      for (Instance& instance : instances_)
        Kill(instance);
    }
    for (; now_ < kBegin + kRunTime; now_ += kStep) {
      if (random_.OneIn(60))
        held_until_ = now_ + random_.Time(500, 6000);
      for (Instance& instance : instances_) {
        Disturb(instance);
        if (instance.allowance && now_ >= instance.frozen_until)
          Step(instance);
      }
    }
  }

  // Returns the largest number of retries in a window above what is allowed
  // there.
  [[nodiscard]] double Excess() const {
    double excess = -kLimits.extra;
    for (const MonotonicTime begin : arrivals_) {
      const auto base = std::max({CountIn(requests_, begin),
                                  CountIn(requests_, begin - Seconds(5)),
                                  CountIn(requests_, begin - Seconds(10))});
      const double allowed = kLimits.share * base + kLimits.extra;
      excess = std::max(excess, CountIn(arrivals_, begin) - allowed);
    }
    return excess;
  }
  [[nodiscard]] std::size_t arrivals() const { return arrivals_.size(); }

 private:
  static constexpr MonotonicTime kBegin{Seconds(1000)};

  static double CountIn(const std::vector<MonotonicTime>& times,
                        MonotonicTime begin) {
    return static_cast<double>(
        std::count_if(times.begin(), times.end(), [begin](MonotonicTime time) {
          return time >= begin && time < begin + kLimits.window;
        }));
  }

  void RunWorkload() {
    const MonotonicTime errors = kBegin + workload_->errors_from;
    for (; now_ < kBegin + kRunTime; now_ += kStep) {
      const bool calm = now_ < errors;
      if (workload_->kill_all_after && now_ >= errors &&
          now_ - errors - *workload_->kill_all_after < kStep &&
          now_ - errors >= *workload_->kill_all_after) {
        for (Instance& instance : instances_)
          Kill(instance);
      }
      if (workload_->callers_move && random_.OneIn(calm ? 200 : 40))
        MoveCallers();
      if (workload_->rate_changes && random_.OneIn(100))
        rate_percent_ = random_.Between(0, 2) * 100;
      if (!calm && random_.OneIn(60))
        held_until_ = now_ + random_.Time(500, 6000);
      SendRequests();
      for (Instance& instance : instances_) {
        if (!calm || !instance.allowance)
          Disturb(instance);
        if (instance.allowance && now_ >= instance.frozen_until)
          StepUnderWorkload(instance, !calm);
      }
    }
  }

  // The callers use some of the instances, at least one.
  void MoveCallers() {
    used_.clear();
    const int first = random_.Between(0, Count() - 1);
    const int count = random_.Between(1, Count());
    for (int i = 0; i < count; ++i)
      used_.push_back(static_cast<std::size_t>((first + i) % Count()));
  }

  void SendRequests() {
    const int count = workload_->requests_per_step * rate_percent_ / 100;
    for (int i = 0; i < count; ++i) {
      requests_.push_back(now_);
      const auto chosen =
          random_.Between(0, static_cast<int>(used_.size()) - 1);
      Instance& instance = instances_[used_[static_cast<std::size_t>(chosen)]];
      if (instance.allowance)
        ++instance.unread_requests;
    }
  }

  void StepUnderWorkload(Instance& instance, bool errors) {
    RetryAllowance& allowance = *instance.allowance;
    allowance.OnMembers(instance.visible, now_);
    Settle(instance);
    for (; instance.unread_requests > 0; --instance.unread_requests)
      allowance.OnRequest(kEngines, now_);
    if (errors)
      SpendAll(instance);
  }

  void Disturb(Instance& instance) {
    if (!instance.allowance) {
      if (now_ < instance.starts)
        return;
      instance.allowance.emplace(kLimits);
      instance.visible = random_.Between(1, Count());
      return;
    }
    if (random_.OneIn(killed_together_ ? 1000 : 100))
      Kill(instance);
    else if (random_.OneIn(200))
      instance.frozen_until = now_ + random_.Time(200, 5000);
    else if (random_.OneIn(100))
      instance.visible = random_.Between(1, Count());
  }

  void Kill(Instance& instance) {
    // Its kernel goes on delivering for the user timeout.
    for (const Sent& sent : instance.sent) {
      if (sent.arrival <= now_ + RetryAllowance::kLateArrivalTime)
        arrivals_.push_back(sent.arrival);
    }
    instance.sent.clear();
    instance.unread_requests = 0;
    instance.allowance.reset();
    instance.starts = now_ + random_.Time(100, 2000);
  }

  void Step(Instance& instance) {
    RetryAllowance& allowance = *instance.allowance;
    allowance.OnMembers(instance.visible, now_);
    Settle(instance);
    if (random_.OneIn(3)) {
      allowance.OnRequest(kEngines, now_);
      requests_.push_back(now_);
    }
    SpendAll(instance);
  }

  void SpendAll(Instance& instance) {
    RetryAllowance& allowance = *instance.allowance;
    while (allowance.TrySpend(kEngines, now_)) {
      if (random_.OneIn(10)) {
        allowance.Refund(kEngines);
        break;
      }
      instance.sent.push_back(
          {.arrival = std::max(now_, held_until_) + random_.Time(1, 200),
           .given_up = now_ + random_.Time(300, 6000)});
    }
  }

  void Settle(Instance& instance) {
    std::erase_if(instance.sent, [&](const Sent& sent) {
      if (sent.arrival <= now_) {
        arrivals_.push_back(sent.arrival);
        instance.allowance->Settle(kEngines, now_, now_);
        return true;
      }
      if (now_ < sent.given_up)
        return false;
      // The reset overtakes what a link holds back.
      if (sent.arrival <= now_ + kDeliveryTime && random_.OneIn(2))
        arrivals_.push_back(sent.arrival);
      instance.allowance->Settle(kEngines, now_ + kDeliveryTime, now_);
      return true;
    });
  }

  [[nodiscard]] int Count() const {
    return static_cast<int>(instances_.size());
  }

  Random random_;
  bool killed_together_ = false;
  MonotonicTime now_{};
  MonotonicTime held_until_{};
  std::vector<Instance> instances_;
  std::vector<MonotonicTime> requests_;
  std::vector<MonotonicTime> arrivals_;
  std::optional<Workload> workload_;
  // The instances that callers use now.
  std::vector<std::size_t> used_;
  int rate_percent_ = 100;
};

// Guards against retries of a deployment that arrive, in some window, in larger
// numbers than are allowed, whoever is killed, frozen, cut off or started.
TEST_CASE("retries arrive within the budget whatever happens to instances") {
  for (const int instances : {2, 7, 8}) {
    std::size_t arrivals = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(instances, seed);
      World world(seed, instances);
      world.Run();
      CHECK(world.Excess() <= 0);
      arrivals += world.arrivals();
    }
    // A rule that allows nothing fails: a quarter of the fixed number is used.
    const double windows = kSeeds * (kRunTime / kLimits.window);
    CAPTURE(instances, arrivals);
    CHECK(static_cast<double>(arrivals) >= windows * kLimits.extra / 4);
  }
}

// Guards against instances that save up retries while nothing fails, and whose
// successors, or the instances that their callers move to, earn as many again
// in the same window.
TEST_CASE("retries saved up before a fault and earned again stay in budget") {
  for (const int requests_per_step : {1, 3, 8, 15}) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Random random(seed);
      Workload workload{.requests_per_step = requests_per_step,
                        .errors_from = random.Time(15000, 30000),
                        .callers_move = seed % 4 >= 2,
                        .rate_changes = seed % 8 >= 4};
      if (seed % 2 == 1)
        workload.kill_all_after = random.Time(0, 8000);
      CAPTURE(requests_per_step, seed);
      World world(seed, 7, workload);
      world.Run();
      CHECK(world.Excess() <= 0);
    }
  }
}

}  // namespace
}  // namespace carobshift
