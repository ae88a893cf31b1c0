// Fuzzes instances that share one endpoint's rate limit while the limit
// changes, updates are lost or late, and instances restart.

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "carobshift/gateway/endpoints/rate_limits.h"
#include "fuzz/simulation.h"

namespace carobshift {
namespace {

const EndpointIncarnation kEndpoint{EndpointId("endpoint"),
                                    EndpointStartTime(1)};
constexpr Milliseconds kTick{100};
constexpr Milliseconds kRoundTrip{20};
constexpr Milliseconds kWindow{4000};
// Time after a limit is set or changed, or an instance restarts, by which all
// instances must keep to the limit.
constexpr Milliseconds kNoticePeriod{3000};

struct WorldOptions {
  int instances = 6;
  // Requests that are offered to the endpoint, summed over all instances.
  double per_second = 400;
  double update_loss_probability = 0;
  Milliseconds update_delay{10};
};

class World {
 public:
  World(const WorldOptions& options, std::uint64_t seed)
      : options_(options), simulation_(seed) {
    for (int i = 0; i < options.instances; ++i) {
      MemberInfo& member = members_.emplace_back();
      member.id = EntryId("entry-" + std::to_string(i));
      instances_.push_back(std::make_shared<RateLimits>());
    }
    Tick();
    OfferRequest();
  }

  // nullopt removes the limit.
  void SetLimit(std::optional<RequestRate> rate) {
    CheckWindows();
    rate_ = rate;
    RestartChecks();
  }
  void Restart(std::size_t instance) {
    CheckWindows();
    instances_[instance] = std::make_shared<RateLimits>();
    RestartChecks();
  }
  void RunFor(Milliseconds time) {
    simulation_.RunFor(time);
    CheckWindows();
  }
  // Number of requests sent in the last `time`.
  [[nodiscard]] int SentIn(Milliseconds time) const {
    return static_cast<int>(std::count_if(
        sends_.begin(), sends_.end(), [this, time](MonotonicTime sent) {
          return sent >= simulation_.now() - time;
        }));
  }

  SeededRandom& random() { return simulation_.random(); }

 private:
  void OfferRequest() {
    constexpr double kMicrosecondsPerSecond = 1e6;
    simulation_.After(Microseconds(static_cast<std::int64_t>(
                          kMicrosecondsPerSecond / options_.per_second)),
                      [this] { OfferRequest(); });
    const auto instance = instances_[random().Below(instances_.size())];
    const MonotonicTime now = simulation_.now();
    if (!instance->MaySend(kEndpoint, now))
      return;
    instance->OnSend(kEndpoint, now);
    sends_.push_back(now);
    simulation_.After(kRoundTrip / 2, [this, instance, now] {
      // The endpoint reports the limit in force when the request reaches it.
      simulation_.After(kRoundTrip / 2, [this, instance, now, rate = rate_] {
        instance->OnAnswer(kEndpoint, {rate, now}, simulation_.now());
      });
    });
  }

  void Tick() {
    simulation_.After(kTick, [this] { Tick(); });
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      RateLimits& limits = *instances_[i];
      limits.OnMembers(members_, members_[i].id, simulation_.now());
      limits.Expire(simulation_.now());
      for (const LimitUpdate& update : limits.TakeUpdates(simulation_.now()))
        SendUpdate(i, update);
    }
  }

  void SendUpdate(std::size_t from, const LimitUpdate& update) {
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      if (i == from || random().Chance(options_.update_loss_probability))
        continue;
      simulation_.After(options_.update_delay,
                        [this, update, to = instances_[i]] {
                          to->OnPeerUpdate(update, simulation_.now());
                        });
    }
  }

  void RestartChecks() {
    sends_.clear();
    checked_from_ = simulation_.now() + kNoticePeriod;
  }

  // Checks that no window after the notice period exceeds what the platform
  // allows.
  void CheckWindows() const {
    if (!rate_)
      return;
    constexpr double kMillisecondsPerSecond = 1000;
    const double rate = rate_->value();
    const double allowed = 1.5 * rate * static_cast<double>(kWindow.count()) /
                               kMillisecondsPerSecond +
                           5;
    for (auto first =
             std::lower_bound(sends_.begin(), sends_.end(), checked_from_);
         first != sends_.end(); ++first) {
      const auto last = std::lower_bound(first, sends_.end(), *first + kWindow);
      INFO("limit " << rate << ", " << instances_.size() << " instances");
      REQUIRE(static_cast<double>(last - first) <= allowed);
    }
  }

  WorldOptions options_;
  Simulation simulation_;
  std::vector<MemberInfo> members_;
  std::vector<std::shared_ptr<RateLimits>> instances_;
  std::optional<RequestRate> rate_;
  MonotonicTime checked_from_{};
  std::vector<MonotonicTime> sends_;
};

// Guards against instances that each keep a share of the limit but exceed it in
// sum.
TEST_CASE("1 to 195 instances keep one limit together and make use of it") {
  for (const int instances : {1, 6, 18, 30, 85, 195}) {
    for (const double rate : {0.0, 0.3, 1.0, 3.0, 20.0, 80.0}) {
      INFO(instances << " instances, limit " << rate);
      World world({.instances = instances}, /*seed=*/7);
      world.RunFor(Seconds(12));
      world.SetLimit(RequestRate(rate));
      world.RunFor(Seconds(30));
      const double used = world.SentIn(Seconds(20)) / 20.0;
      CHECK(used > 0);
      CHECK(used >= 0.6 * rate);
    }
  }
}

// Guards against a load spike on an endpoint when its limit is removed.
TEST_CASE("load ramps up gradually after a limit is removed") {
  World world({.instances = 30}, /*seed=*/7);
  world.RunFor(Seconds(12));
  world.SetLimit(RequestRate(3));
  world.RunFor(Seconds(12));
  world.SetLimit(std::nullopt);
  world.RunFor(Milliseconds(1500));
  CHECK(world.SentIn(Seconds(1)) < 30);
  world.RunFor(Seconds(15));
  CHECK(world.SentIn(Seconds(1)) > 300);
}

// Guards against a limit that is kept only while nothing changes.
TEST_CASE("a limit is kept across changes, lost updates and restarts") {
  rc::prop("sums of any window stay within the limit", [] {
    WorldOptions options;
    options.instances = *rc::gen::element(1, 2, 6, 12, 30, 85);
    options.update_loss_probability = *rc::gen::element(0.0, 0.1, 0.4);
    options.update_delay = Milliseconds(*rc::gen::inRange(1, 300));
    World world(options, *rc::gen::arbitrary<std::uint64_t>());
    world.RunFor(Seconds(12));
    const auto steps =
        *rc::gen::container<std::vector<int>>(5, rc::gen::inRange(0, 6));
    for (const int step : steps) {
      constexpr double kRates[] = {0, 1.5, 3, 12, 60};
      if (step < 5)
        world.SetLimit(RequestRate(kRates[step]));
      else
        world.Restart(world.random().Below(
            static_cast<std::uint64_t>(options.instances)));
      world.RunFor(Milliseconds(4000 + world.random().Below(5000)));
    }
  });
}

}  // namespace
}  // namespace carobshift
