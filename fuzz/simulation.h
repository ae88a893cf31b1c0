// A seeded random source and an event queue in virtual time, for fuzz tests
// that run several state machines against each other. Not thread-safe.
//
//   Simulation simulation(seed);
//   simulation.After(Milliseconds(5), [&] { ... });
//   simulation.RunUntil(end);

#ifndef CAROBSHIFT_FUZZ_SIMULATION_H_
#define CAROBSHIFT_FUZZ_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "carobshift/base/units.h"

namespace carobshift {

// A splitmix64 generator: the same seed gives the same sequence on every
// platform.
class SeededRandom {
 public:
  explicit SeededRandom(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
  }
  // Returns a number from 0 to `limit` - 1.
  std::uint64_t Below(std::uint64_t limit) { return Next() % limit; }
  bool Chance(double share) {
    return static_cast<double>(Next() >> 11) * 0x1.0p-53 < share;
  }
  Milliseconds Between(Milliseconds low, Milliseconds high) {
    const auto span = static_cast<std::uint64_t>((high - low).count()) + 1;
    return low + Milliseconds(Below(span));
  }

 private:
  std::uint64_t state_;
};

class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : random_(seed) {}

  [[nodiscard]] MonotonicTime now() const { return now_; }
  [[nodiscard]] SeededRandom& random() { return random_; }

  void After(Microseconds delay, std::function<void()> event) {
    events_.emplace(now_ + delay, std::move(event));
  }

  void RunUntil(MonotonicTime end) {
    while (!events_.empty() && events_.begin()->first <= end) {
      auto node = events_.extract(events_.begin());
      now_ = node.key();
      node.mapped()();
    }
    now_ = end;
  }
  void RunFor(Microseconds duration) { RunUntil(now_ + duration); }

 private:
  MonotonicTime now_{Seconds(1000)};
  SeededRandom random_;
  // Events of the same time run in the order in which they were added.
  std::multimap<MonotonicTime, std::function<void()>> events_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_FUZZ_SIMULATION_H_
