#include "carobshift/gateway/weights/weight_rollout.h"

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
  // If all twelve engines loaded at once, every caller would be refused for two
  // seconds.
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

// Simulates engines that load what they are ordered, two seconds each.
class LoadingEngines {
 public:
  LoadingEngines(WeightRollout& rollout, int count)
      : rollout_(rollout), engines_(Engines(count, 1)) {}

  // Runs until `done`, for at most 30 s.
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
  // Loading engines report that they are busy.
  void TellBusy() { tell_busy_ = true; }
  // Orders to engines with newer weights than others that waited for their
  // order.
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
  // A second set of weights is named while engines load the first. The loading
  // engines kept their turn and got another order as soon as they were done,
  // although others still had the weights from before both namings and the
  // operator's time limit for the first expired for them. In an incident an
  // engine was ordered from 2 to 3 at 12.8 s, and one that still had 1 only at
  // 19.2 s.
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
  // Newer weights are named while two of twelve engines load. These two get a
  // new order and report that they are busy. If their slots were reassigned,
  // four engines would load at once, each for longer, and a third of the
  // engines would be unavailable.
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

// The endpoints of the steps of this kind.
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
  // Weights 3 are named while one engine loads 2 and the other still has 1. If
  // the first engine were ordered again at once, callers of the other would get
  // weights that were replaced twice for one load longer.
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
  // An engine executed a previous holder's order late, and its record does not
  // show it yet. If it were ordered anyway, it would load twice before the
  // other engine loads once.
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
  rollout.OnNewerWeights(engines[0].id);
  CHECK(EndpointsOf(rollout.Next(engines, now), RolloutStepKind::kDrain) ==
        std::vector{engines[1].id});
  now += options.drain;
  CHECK(EndpointsOf(rollout.Next(engines, now), RolloutStepKind::kOrder) ==
        std::vector{engines[1].id});
}

TEST_CASE("the next engines serve on until their forerunners are half done") {
  // Two of twelve engines load. If the next two were drained from the start,
  // four engines would serve nobody for the whole rollout, and at full load
  // callers would be refused.
  const RolloutOptions options;
  WeightRollout rollout(options);
  rollout.SetTarget(ModelName("m"), WeightNumber(2));
  const auto engines = Engines(12, 1);
  (void)rollout.Next(engines, kStart);
  const MonotonicTime ordered = kStart + options.drain;
  REQUIRE(rollout.Next(engines, ordered).size() == 2);
  CHECK(rollout.Next(engines, ordered + options.drain_delay - Milliseconds(1))
            .empty());
  CHECK(EndpointsOf(rollout.Next(engines, ordered + options.drain_delay),
                    RolloutStepKind::kDrain) ==
        std::vector{engines[2].id, engines[3].id});
}

TEST_CASE("an engine that is busy doesn't keep the next from draining") {
  // Two of twelve engines are loading and repeatedly report that they are busy,
  // and newer weights have been named. If they counted as waiting for their
  // orders, they would block the drain of the other engines, each of which
  // would lose the time of a drain.
  const RolloutOptions options;
  WeightRollout rollout(options);
  rollout.SetTarget(ModelName("m"), WeightNumber(2));
  const auto engines = Engines(12, 1);
  (void)rollout.Next(engines, kStart);
  const MonotonicTime ordered = kStart + options.drain;
  REQUIRE(rollout.Next(engines, ordered).size() == 2);
  const MonotonicTime now = ordered + options.drain_delay;
  rollout.OnBusy(engines[0].id, Milliseconds(100), now - Milliseconds(50));
  rollout.OnBusy(engines[1].id, Milliseconds(100), now - Milliseconds(50));
  const auto steps = rollout.Next(engines, now);
  CHECK(EndpointsOf(steps, RolloutStepKind::kOrder).empty());
  CHECK(EndpointsOf(steps, RolloutStepKind::kDrain) ==
        std::vector{engines[2].id, engines[3].id});
}

TEST_CASE("engines that fail their orders don't keep the next from draining") {
  // Two of twelve engines have crashed and were replaced by others at their
  // addresses. Their records remain for seconds, and every order is rejected.
  // If the rollout waited for them, no engine would load, and the operator's
  // time limit would expire for the ten healthy engines.
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
  // The two failing engines, two that load and two that are next. However many
  // fail, not all engines are drained.
  CHECK(drained.size() <= 6);
}

TEST_CASE("an engine that stays busy keeps its place for a while only") {
  // The engine hangs in its load and reports for a minute that it is busy.
  // Meanwhile the engine behind it would keep its old weights.
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
  CHECK(*second - kStart >= options.order_retry_interval);
  CHECK(*second - kStart <= options.order_retry_interval + Seconds(1));
  // Its order is repeated whenever a slot is free.
  CHECK(asked_after > 0);
}

TEST_CASE("newer weights while an engine loads: it is asked again at once") {
  // The operator names a second version during the load. If the second order
  // waited for the first one to time out, the engine would serve replaced
  // weights for five seconds longer.
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
  // The engine accepted the order's connection and never answered, so it is
  // unknown whether it accepted the order. It keeps its old weights.
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
  // The engine's answer is lost, or it will execute the order in ten seconds.
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

// Simulates twelve engines that crash in waves, and a holder that is killed and
// returns five seconds later. A load takes 1.8 s, and longer in proportion
// while more than two engines load.
class CrashWaves {
 public:
  CrashWaves() {
    for (const RolloutEngine& seen : Engines(12, 1))
      engines_.emplace_back().seen = seen;
  }

  void Name(std::uint64_t number) {
    named_.push_back({WeightNumber(number), now_});
    rollout_.SetTarget(ModelName("m"), WeightNumber(number));
  }
  // The next four engines lose their loads and are away for 1.2 s.
  void Crash() {
    for (int i = 0; i < 4; ++i) {
      Engine& engine = engines_[crashed_++ % engines_.size()];
      engine.back = now_ + Milliseconds(1200);
      engine.lost = engine.loading.has_value();
      engine.loading.reset();
    }
  }
  void KillHolder() {
    rollout_ = WeightRollout({});
    rollout_.SetTarget(ModelName("m"), named_.back().number);
    holder_back_ = now_ + Seconds(5);
  }
  void RunFor(Milliseconds time) {
    const MonotonicTime end = now_ + time;
    while (now_ < end)
      Tick();
  }
  // Engines that exceeded the operator's time limit at least once, and their
  // total time past it.
  [[nodiscard]] int late_engines() const {
    return static_cast<int>(std::count_if(
        engines_.begin(), engines_.end(),
        [](const Engine& engine) { return engine.late > Milliseconds(0); }));
  }
  [[nodiscard]] Milliseconds late() const {
    Milliseconds sum{0};
    for (const Engine& engine : engines_)
      sum += engine.late;
    return sum;
  }

 private:
  static constexpr Milliseconds kTick{50};
  static constexpr Milliseconds kBound{15000};
  static constexpr double kLoadMs = 1800;
  static constexpr double kFullSpeed = 2;

  struct Engine {
    RolloutEngine seen;
    std::optional<WeightNumber> loading;
    // Lost by a crash; the holder learns of it once the engine is back.
    bool lost = false;
    MonotonicTime back{};
    Milliseconds late{0};
    double done_ms = 0;
  };
  struct Named {
    WeightNumber number{};
    MonotonicTime at{};
  };

  [[nodiscard]] bool IsLate(const Engine& engine) const {
    return std::any_of(named_.begin(), named_.end(), [&](const Named& named) {
      return engine.seen.weights < named.number && now_ - named.at > kBound;
    });
  }

  void Tick() {
    now_ += kTick;
    const auto loading = static_cast<double>(std::count_if(
        engines_.begin(), engines_.end(),
        [](const Engine& engine) { return engine.loading.has_value(); }));
    for (Engine& engine : engines_) {
      if (engine.loading) {
        engine.done_ms += static_cast<double>(kTick.count()) *
                          std::min(1.0, kFullSpeed / loading);
      }
      if (engine.loading && engine.done_ms >= kLoadMs) {
        engine.seen.weights = *engine.loading;
        engine.loading.reset();
      }
      if (IsLate(engine))
        engine.late += kTick;
    }
    if (now_ >= holder_back_)
      GiveOrders();
  }

  void GiveOrders() {
    std::vector<RolloutEngine> seen;
    for (Engine& engine : engines_) {
      seen.push_back(engine.seen);
      if (engine.lost && now_ >= engine.back) {
        engine.lost = false;
        rollout_.OnOrderFailed(engine.seen.id, Milliseconds(100), now_);
      }
    }
    for (const RolloutStep& step : rollout_.Next(seen, now_)) {
      if (step.kind == RolloutStepKind::kOrder)
        Order(step);
    }
  }

  void Order(const RolloutStep& step) {
    Engine& engine = *std::find_if(
        engines_.begin(), engines_.end(),
        [&step](const Engine& each) { return each.seen.id == step.endpoint; });
    if (now_ < engine.back) {
      rollout_.OnOrderFailed(step.endpoint, Milliseconds(100), now_);
    } else if (engine.loading) {
      rollout_.OnBusy(step.endpoint, Milliseconds(100), now_);
    } else {
      rollout_.OnAccepted(step.endpoint, now_);
      engine.loading = step.number;
      engine.done_ms = 0;
    }
  }

  WeightRollout rollout_{RolloutOptions{}};
  std::vector<Engine> engines_;
  std::vector<Named> named_;
  MonotonicTime now_ = kStart;
  MonotonicTime holder_back_ = kStart;
  std::size_t crashed_ = 0;
};

TEST_CASE("crashes in waves and a holder that is away: few engines are late") {
  // Weights are named twice while four of twelve engines crash at a time, and
  // the lease holder is killed, so no orders are sent for five seconds. The
  // remaining time does not suffice for all engines. An engine past the limit
  // answers nobody, and its callers are refused.
  CrashWaves waves;
  waves.Name(2);
  waves.RunFor(Milliseconds(2500));
  waves.Crash();
  waves.RunFor(Milliseconds(200));
  waves.KillHolder();
  waves.RunFor(Milliseconds(3300));
  waves.Crash();
  waves.RunFor(Milliseconds(2200));
  waves.Name(3);
  waves.RunFor(Milliseconds(1300));
  waves.Crash();
  waves.RunFor(Seconds(30));
  // When engines kept their turn through newer weights, and failing engines
  // blocked the drain of others, the result was six engines and 11.4 s.
  CHECK(waves.late_engines() <= 4);
  CHECK(waves.late() <= Seconds(4));
}

TEST_CASE("an engine with two models that are both named gets one order") {
  // Weights of both models of one engine are named. If the turn of one model
  // were mistaken for the other's, the order would be repeated at each tick and
  // the order in flight cancelled, as long as both models are behind.
  WeightRollout rollout({});
  const EndpointId id("e0");
  const std::vector<RolloutEngine> engines = {
      {id, ModelName("a"), WeightNumber(5)},
      {id, ModelName("b"), WeightNumber(1)}};
  rollout.SetTarget(ModelName("a"), WeightNumber(6));
  rollout.SetTarget(ModelName("b"), WeightNumber(2));
  int orders = 0;
  for (MonotonicTime now = kStart; now < kStart + Milliseconds(1800);
       now += Milliseconds(100)) {
    for (const RolloutStep& step : rollout.Next(engines, now)) {
      if (step.kind != RolloutStepKind::kOrder)
        continue;
      ++orders;
      rollout.OnAccepted(id, now);
    }
  }
  CHECK(orders == 1);
}

}  // namespace
}  // namespace carobshift
