#include <benchmark/benchmark.h>

#include <string>
#include <utility>

#include "carobshift/fleet/endpoint_view.h"
#include "carobshift/fleet/fleet_planner.h"

namespace carobshift {
namespace {

constexpr MonotonicTime kNow{Seconds(1000)};
constexpr int kServices = 7;

Declaration MakeDeclaration(int engines) {
  Declaration declaration;
  declaration.pools.push_back({.name = PoolName("gpu")});
  for (int i = 0; i < kServices; ++i) {
    ServiceSpec service;
    service.name = ServiceName("service-" + std::to_string(i));
    service.pool = PoolName("gpu");
    service.replicas = engines / kServices;
    service.floor = service.replicas / 2;
    service.model = ModelName("model-" + std::to_string(i));
    service.weights = WeightVersion("v2");
    declaration.services.push_back(service);
  }
  return declaration;
}

// One engine in ten runs outdated weights and one in fifty is idle.
std::vector<ObservedEndpoint> MakeEngines(const Declaration& declaration,
                                          int count) {
  std::vector<ObservedEndpoint> engines;
  for (int i = 0; i < count; ++i) {
    ObservedEndpoint engine{.id = EndpointId("engine-" + std::to_string(i)),
                            .pool = PoolName("gpu"),
                            .zone = ZoneName("zone-" + std::to_string(i % 3))};
    engine.status.emplace();
    engine.status_asked = kNow;
    if (i % 50 != 0) {
      const ServiceSpec& service =
          declaration.services[static_cast<std::size_t>(i % kServices)];
      engine.status->state = EngineState::kReady;
      engine.status->role = service.name;
      engine.status->model = service.model;
      engine.status->version = WeightVersion(i % 10 == 1 ? "v1" : "v2");
    }
    engines.push_back(engine);
  }
  return engines;
}

void BM_FleetPlan(benchmark::State& state) {
  const auto count = static_cast<int>(state.range(0));
  const Declaration declaration = MakeDeclaration(count);
  const auto engines = MakeEngines(declaration, count);
  FleetPlanner planner{FleetOptions{}};
  planner.BeginLeaseTerm(kNow);
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        planner.Plan(declaration, engines, {}, FencingNumber(1), kNow));
  }
  state.counters["seconds_per_endpoint"] =
      benchmark::Counter(static_cast<double>(count),
                         benchmark::Counter::kIsIterationInvariantRate |
                             benchmark::Counter::kInvert);
}
BENCHMARK(BM_FleetPlan)
    ->Arg(12)
    ->Arg(90)
    ->Arg(360)
    ->Arg(6500)
    ->Unit(benchmark::kMicrosecond);

void BM_TakingWork(benchmark::State& state) {
  const auto count = static_cast<int>(state.range(0));
  const Declaration declaration = MakeDeclaration(count);
  EndpointView view;
  std::vector<ListedInstance> list;
  const auto engines = MakeEngines(declaration, count);
  for (const ObservedEndpoint& engine : engines) {
    ListedInstance listed;
    listed.id = engine.id.value();
    listed.pool = engine.pool;
    listed.zone = engine.zone;
    list.push_back(std::move(listed));
  }
  view.OnList(list, kNow);
  for (const ObservedEndpoint& engine : engines)
    view.OnStatus(engine.id, *engine.status, kNow);
  for (auto _ : state)
    benchmark::DoNotOptimize(
        view.EligibleEndpoints(declaration.services[0], kNow));
}
BENCHMARK(BM_TakingWork)
    ->Arg(12)
    ->Arg(90)
    ->Arg(360)
    ->Arg(6500)
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace carobshift

BENCHMARK_MAIN();
