#include "carobshift/gateway/weight_rollout.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};

std::vector<RolloutEngine> Engines(int count, std::uint64_t weights) {
  std::vector<RolloutEngine> engines;
  for (int i = 0; i < count; ++i) {
    engines.push_back({EndpointId("e" + std::to_string(i)), ModelName("m"),
                       WeightNumber(weights)});
  }
  return engines;
}

TEST_CASE("new weights reach all engines, a share of them at a time") {
  // All twelve engines at once would refuse every caller for two seconds.
  WeightRollout rollout({});
  rollout.SetTarget(ModelName("m"), WeightNumber(2));
  auto engines = Engines(12, 1);
  std::map<EndpointId, MonotonicTime> loading;
  std::size_t most = 0;
  MonotonicTime now = kStart;
  while (rollout.HasWork(engines) && now < kStart + Seconds(30)) {
    for (const RolloutStep& step : rollout.Next(engines, now)) {
      if (step.kind == RolloutStepKind::kOrder)
        loading[step.endpoint] = now;
    }
    most = std::max(most, loading.size());
    for (auto& engine : engines) {
      const auto found = loading.find(engine.id);
      if (found == loading.end() || now - found->second < Milliseconds(1800))
        continue;
      engine.weights = WeightNumber(2);
      loading.erase(found);
    }
    now += Milliseconds(100);
  }
  CHECK(most == 2);
  CHECK_FALSE(rollout.HasWork(engines));
  CHECK(now - kStart < Seconds(13));
}

// Engines that load what they are ordered, two seconds each.
class LoadingEngines {
 public:
  LoadingEngines(WeightRollout& rollout, int count)
      : rollout_(rollout), engines_(Engines(count, 1)) {}

  // Until `done` or for half a minute.
  template <typename Done>
  bool RunUntil(const Done& done) {
    const MonotonicTime end = now_ + Seconds(30);
    while (!done()) {
      if (now_ >= end)
        return false;
      Tick();
    }
    return true;
  }
  [[nodiscard]] std::ptrdiff_t CountWith(std::uint64_t weights) const {
    return std::count_if(engines_.begin(), engines_.end(),
                         [weights](const RolloutEngine& engine) {
                           return engine.weights == WeightNumber(weights);
                         });
  }
  [[nodiscard]] std::size_t loading() const { return loads_.size(); }
  [[nodiscard]] std::size_t most_loading() const { return most_loading_; }
  // Engines that load say so when they are asked.
  void TellBusy() { tell_busy_ = true; }
  // Orders to engines that were ahead of others which waited for theirs.
  [[nodiscard]] int overtakings() const { return overtakings_; }
  [[nodiscard]] MonotonicTime now() const { return now_; }

 private:
  struct Load {
    WeightNumber number{};
    MonotonicTime end{};
  };

  [[nodiscard]] bool SomeWaitBelow(WeightNumber weights) const {
    return std::any_of(
        engines_.begin(), engines_.end(), [&](const RolloutEngine& engine) {
          return engine.weights < weights && !loads_.contains(engine.id);
        });
  }

  void Tick() {
    now_ += Milliseconds(100);
    for (RolloutEngine& engine : engines_) {
      const auto load = loads_.find(engine.id);
      if (load == loads_.end() || now_ < load->second.end)
        continue;
      engine.weights = load->second.number;
      loads_.erase(load);
    }
    for (const RolloutStep& step : rollout_.Next(engines_, now_)) {
      if (step.kind == RolloutStepKind::kOrder)
        Order(step);
    }
  }

  void Order(const RolloutStep& step) {
    if (loads_.contains(step.endpoint)) {
      if (tell_busy_)
        rollout_.OnBusy(step.endpoint, Milliseconds(100), now_);
      else
        rollout_.OnOrderFailed(step.endpoint, Milliseconds(100), now_);
      return;
    }
    const auto engine = std::find_if(
        engines_.begin(), engines_.end(),
        [&step](const auto& each) { return each.id == step.endpoint; });
    if (SomeWaitBelow(engine->weights))
      ++overtakings_;
    loads_[step.endpoint] = {step.number, now_ + Seconds(2)};
    most_loading_ = std::max(most_loading_, loads_.size());
  }

  WeightRollout& rollout_;
  std::vector<RolloutEngine> engines_;
  std::map<EndpointId, Load> loads_;
  MonotonicTime now_ = kStart;
  int overtakings_ = 0;
  std::size_t most_loading_ = 0;
  bool tell_busy_ = false;
};

TEST_CASE("engines with the oldest weights go before those brought half way") {
  // A second set of weights is named while engines load the first. Those that
  // were loading kept their turn and were ordered again as soon as they were
  // done, although others still had the weights from before both namings and
  // the operator's time for the first ran out for them. In an incident an
  // engine was ordered from 2 to 3 at 12.8 s, and one that still had 1 only
  // at 19.2 s.
  WeightRollout rollout({});
  LoadingEngines engines(rollout, 12);
  rollout.SetTarget(ModelName("m"), WeightNumber(2));
  REQUIRE(engines.RunUntil([&] { return engines.CountWith(2) == 2; }));
  REQUIRE(engines.RunUntil([&] { return engines.loading() == 2; }));
  rollout.SetTarget(ModelName("m"), WeightNumber(3));
  REQUIRE(engines.RunUntil([&] { return engines.CountWith(3) == 12; }));
  CHECK(engines.overtakings() == 0);
}

TEST_CASE(
    "newer weights while engines load: no more than before load at once") {
  // Newer weights are named while two of twelve engines load. These two are
  // asked again and say that they are busy. Were their places given away, four
  // would load at once, each for longer, and callers would find a third of the
  // engines away.
  WeightRollout rollout({});
  LoadingEngines engines(rollout, 12);
  engines.TellBusy();
  rollout.SetTarget(ModelName("m"), WeightNumber(2));
  REQUIRE(engines.RunUntil([&] { return engines.loading() == 2; }));
  rollout.SetTarget(ModelName("m"), WeightNumber(3));
  REQUIRE(engines.RunUntil([&] { return engines.CountWith(3) == 12; }));
  CHECK(engines.most_loading() == 2);
  CHECK(engines.overtakings() == 0);
}

// The endpoints of `steps` of this kind.
std::vector<EndpointId> EndpointsOf(const std::vector<RolloutStep>& steps,
                                    RolloutStepKind kind) {
  std::vector<EndpointId> endpoints;
  for (const RolloutStep& step : steps) {
    if (step.kind == kind)
      endpoints.push_back(step.endpoint);
  }
  return endpoints;
}

TEST_CASE("an engine that has loaded replaced weights queues anew by them") {
  // Weights 3 are named while an engine loads 2; the other one still has 1.
  // The first is free again and could be ordered at once. Callers of the other
  // one would have weights that were replaced twice for a load longer.
  const RolloutOptions options;
  WeightRollout rollout(options);
  rollout.SetTarget(ModelName("m"), WeightNumber(2));
  auto engines = Engines(2, 1);
  (void)rollout.Next(engines, kStart);
  MonotonicTime now = kStart + options.drain;
  REQUIRE(EndpointsOf(rollout.Next(engines, now), RolloutStepKind::kOrder) ==
          std::vector{engines[0].id});
  rollout.SetTarget(ModelName("m"), WeightNumber(3));
  engines[0].weights = WeightNumber(2);
  std::vector<EndpointId> orders;
  while (orders.empty() && now < kStart + Seconds(2)) {
    now += Milliseconds(100);
    orders = EndpointsOf(rollout.Next(engines, now), RolloutStepKind::kOrder);
  }
  CHECK(orders == std::vector{engines[1].id});
}

TEST_CASE("an engine that reports more than thought loses its turn") {
  // A former holder's order was carried out late, and the engine's record
  // doesn't say so yet. Ordered all the same, it would load twice before the
  // other one loads once.
  const RolloutOptions options;
  WeightRollout rollout(options);
  rollout.SetTarget(ModelName("m"), WeightNumber(3));
  auto engines = Engines(2, 1);
  (void)rollout.Next(engines, kStart);
  MonotonicTime now = kStart + options.drain;
  const auto steps = rollout.Next(engines, now);
  REQUIRE(EndpointsOf(steps, RolloutStepKind::kOrder) ==
          std::vector{engines[0].id});
  CHECK(steps.front().weights == WeightNumber(1));
  engines[0].weights = WeightNumber(2);
  rollout.OnAdvanced(engines[0].id);
  CHECK(EndpointsOf(rollout.Next(engines, now), RolloutStepKind::kDrain) ==
        std::vector{engines[1].id});
  now += options.drain;
  CHECK(EndpointsOf(rollout.Next(engines, now), RolloutStepKind::kOrder) ==
        std::vector{engines[1].id});
}

TEST_CASE("an engine that is busy doesn't keep the next from draining") {
  // Two of twelve engines load, say so again and again, and newer weights have
  // been named. Counted as waiting for their orders they would keep all others
  // from being freed, and each of those would lose the time of a drain.
  const RolloutOptions options;
  WeightRollout rollout(options);
  rollout.SetTarget(ModelName("m"), WeightNumber(2));
  const auto engines = Engines(12, 1);
  (void)rollout.Next(engines, kStart);
  const MonotonicTime ordered = kStart + options.drain;
  REQUIRE(rollout.Next(engines, ordered).size() == 2);
  rollout.OnBusy(engines[0].id, Milliseconds(100), ordered);
  rollout.OnBusy(engines[1].id, Milliseconds(100), ordered);
  const MonotonicTime now = ordered + Milliseconds(50);
  const auto steps = rollout.Next(engines, now);
  CHECK(EndpointsOf(steps, RolloutStepKind::kOrder).empty());
  CHECK(EndpointsOf(steps, RolloutStepKind::kDrain) ==
        std::vector{engines[2].id, engines[3].id});
}

TEST_CASE("engines that fail their orders don't keep the next from draining") {
  // Two of twelve engines have crashed and were replaced by others at their
  // addresses; for seconds their records still stand and every order is
  // rejected. Waiting for them, nobody would load, and the operator's time would
  // be over for the ten engines that are well.
  const RolloutOptions options;
  WeightRollout rollout(options);
  rollout.SetTarget(ModelName("m"), WeightNumber(2));
  const auto engines = Engines(12, 1);
  std::set<EndpointId> drained;
  std::set<EndpointId> ordered;
  for (MonotonicTime now = kStart; now < kStart + Seconds(2);
       now += Milliseconds(100)) {
    for (const RolloutStep& step : rollout.Next(engines, now)) {
      if (step.kind == RolloutStepKind::kDrain)
        drained.insert(step.endpoint);
      else if (step.endpoint == engines[0].id || step.endpoint == engines[1].id)
        rollout.OnOrderFailed(step.endpoint, Milliseconds(100), now);
      else
        ordered.insert(step.endpoint);
    }
  }
  CHECK(ordered.size() == 2);
  // The two that fail, two that load and two that come next: however many fail,
  // not all are kept free of work.
  CHECK(drained.size() <= 6);
}

TEST_CASE("an engine that stays busy keeps its place for a while only") {
  // The engine hangs in its load, and says for a minute that it is busy. The
  // one behind it would keep its old weights for as long.
  const RolloutOptions options;
  WeightRollout rollout(options);
  rollout.SetTarget(ModelName("m"), WeightNumber(2));
  auto engines = Engines(2, 1);
  MonotonicTime now = kStart;
  std::optional<MonotonicTime> second;
  int asked_after = 0;
  for (; now < kStart + Seconds(20); now += Milliseconds(100)) {
    if (second && now - *second >= Seconds(2))
      engines[1].weights = WeightNumber(2);
    for (const auto& id :
         EndpointsOf(rollout.Next(engines, now), RolloutStepKind::kOrder)) {
      if (id == engines[0].id) {
        rollout.OnBusy(id, Milliseconds(100), now);
        asked_after += second ? 1 : 0;
      } else if (!second) {
        second = now;
      }
    }
  }
  REQUIRE(second);
  CHECK(*second - kStart >= options.order_life);
  CHECK(*second - kStart <= options.order_life + Seconds(1));
  // It is asked on, whenever a place is free.
  CHECK(asked_after > 0);
}

TEST_CASE("newer weights while an engine loads: it is asked again at once") {
  // The operator names a second version in the middle. Left to the life of the
  // first order, the engine would serve replaced weights for five seconds more.
  const RolloutOptions options;
  WeightRollout rollout(options);
  rollout.SetTarget(ModelName("m"), WeightNumber(2));
  const auto engines = Engines(1, 1);
  (void)rollout.Next(engines, kStart);
  const MonotonicTime ordered = kStart + options.drain;
  REQUIRE(rollout.Next(engines, ordered).size() == 1);
  rollout.SetTarget(ModelName("m"), WeightNumber(3));
  const auto steps = rollout.Next(engines, ordered + Milliseconds(100));
  REQUIRE(steps.size() == 1);
  CHECK(steps.front().kind == RolloutStepKind::kOrder);
  CHECK(steps.front().number == WeightNumber(3));
}

TEST_CASE("an order without effect is given again") {
  // The engine took the order's connection and never answered; nobody knows
  // whether the order was accepted. It keeps its old weights.
  WeightRollout rollout({});
  rollout.SetTarget(ModelName("m"), WeightNumber(2));
  const auto engines = Engines(1, 1);
  int orders = 0;
  for (int ms = 0; ms < 8000; ms += 100) {
    for (const auto& step : rollout.Next(engines, kStart + Milliseconds(ms)))
      orders += step.kind == RolloutStepKind::kOrder ? 1 : 0;
  }
  CHECK(orders == 2);
}

TEST_CASE("weights named in the middle of a rollout replace the older ones") {
  WeightRollout rollout({});
  rollout.SetTarget(ModelName("m"), WeightNumber(2));
  const auto engines = Engines(2, 1);
  REQUIRE_FALSE(rollout.Next(engines, kStart).empty());
  rollout.SetTarget(ModelName("m"), WeightNumber(3));
  rollout.SetTarget(ModelName("m"), WeightNumber(2));
  std::vector<WeightNumber> ordered;
  for (const auto& step : rollout.Next(engines, kStart + Seconds(1))) {
    if (step.kind == RolloutStepKind::kOrder)
      ordered.push_back(step.number);
  }
  REQUIRE_FALSE(ordered.empty());
  CHECK(ordered.front() == WeightNumber(3));
}

TEST_CASE("an order that had no answer is given again soon") {
  // The engine lost the order's answer, or will carry it out in ten seconds.
  // Waiting for it would leave callers on old weights for that long.
  WeightRollout rollout({});
  rollout.SetTarget(ModelName("m"), WeightNumber(2));
  const auto engines = Engines(1, 1);
  MonotonicTime now = kStart;
  int orders = 0;
  while (orders < 2 && now < kStart + Seconds(5)) {
    for (const auto& step : rollout.Next(engines, now)) {
      if (step.kind != RolloutStepKind::kOrder)
        continue;
      ++orders;
      rollout.OnOrderFailed(step.endpoint, Milliseconds(500), now);
    }
    now += Milliseconds(100);
  }
  CHECK(orders == 2);
  CHECK(now - kStart < Seconds(2));
}

}  // namespace
}  // namespace carobshift
