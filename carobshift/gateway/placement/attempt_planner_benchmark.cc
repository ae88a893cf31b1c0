// Measures the time of one AttemptPlanner::Plan() call, which an instance
// spends on placing a prompt.

#include "carobshift/gateway/placement/attempt_planner.h"

#include <benchmark/benchmark.h>

#include <string>

namespace carobshift {
namespace {

constexpr int kStores = 5;
constexpr int kPartsPerHolder = 500;

void BM_Plan(benchmark::State& state) {
  const auto engines = static_cast<int>(state.range(0));
  const MonotonicTime now{Seconds(100)};
  const ServiceName service("engines");
  const ModelName model("m1");
  ServingConfig config;
  config.services[service].name = service;
  config.services[service].engine = EngineTraits{64, 200'000, true, 8, {model}};
  EndpointRegistry registry;
  EndpointHealthTable health;
  LoadTracker loads;
  CacheContents contents;
  const std::string scope = CacheScope(model, WeightNumber(1), {});
  const auto fill = [&](const std::string& holder, int seed) {
    StoreEvents events;
    for (int i = 0; i < kPartsPerHolder; ++i) {
      events.events.push_back(
          {true, scope, "part" + std::to_string(i * seed), 1000});
    }
    contents.OnEvents(CacheHolder(holder), events, now);
  };
  for (int i = 0; i < kStores; ++i) {
    const ServiceName name("store" + std::to_string(i));
    config.services[name].name = name;
    config.services[name].store = StoreTraits{
        {"10.1.0.1", static_cast<std::uint16_t>(i)}, {}, 1000, true, 8};
    fill(name.value(), i + 100);
  }
  for (int i = 0; i < engines; ++i) {
    EndpointRecord record;
    record.id = EndpointId("engine-" + std::to_string(i));
    record.service = service;
    record.weights[model] = WeightNumber(1);
    registry.Put(record, now);
    fill(record.id.value(), i + 1);
  }
  const WeightDeadlines deadlines{Milliseconds(15000)};
  const PromptSizes sizes;
  const RateLimits limits;
  const ColdStartLimits cold_starts{{}};
  const RejectionLimits rejections;
  const ZoneEvacuations evacuations;
  const ZoneRegions regions;
  const StatedAvailability stated{1};
  const EndpointEligibility eligibility(evacuations, regions, limits,
                                        cold_starts, rejections, stated);
  AttemptPlanner planner(registry, health, eligibility, loads, sizes, contents,
                         deadlines);
  planner.SetConfig(config);
  Route route;
  ExchangeSetup setup;
  setup.route = &route;
  setup.service = service;
  setup.request.prompt = PromptTraits{
      model, 9500, 100, {{"system", 500}, {"part77", 8000}, {"own", 1000}}};
  for (auto _ : state)
    benchmark::DoNotOptimize(planner.Plan(setup, {}, now));
}
BENCHMARK(BM_Plan)->Arg(12)->Arg(60);

}  // namespace
}  // namespace carobshift

BENCHMARK_MAIN();
