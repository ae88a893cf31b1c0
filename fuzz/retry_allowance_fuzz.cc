// The retry budget of a deployment under faults, measured by the arrivals at
// the endpoints.
//
// Instances spend whatever they may. They are killed, frozen and started behind
// partitions; links hold back what was sent, and deliver it when they heal, or
// after the user timeout of a process that is gone.

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

struct Instance {
  std::optional<RetryAllowance> allowance;
  MonotonicTime starts{};
  MonotonicTime frozen_until{};
  // How many instances it sees.
  int visible = 1;
  std::vector<Sent> sent;
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

  void Run() {
    now_ = kBegin;
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

}  // namespace
}  // namespace carobshift
