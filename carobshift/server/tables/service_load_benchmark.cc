// Measures the load table's cost per request, apart from the decisions
// themselves, at today's sizes and at the size of a zone in two years.

#include <benchmark/benchmark.h>

#include <string>

#include "carobshift/server/tables/service_load.h"

namespace carobshift {
namespace {

std::vector<EndpointInfo> Candidates(std::int64_t count) {
  std::vector<EndpointInfo> candidates(static_cast<std::size_t>(count));
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].id = EndpointId("engine-" + std::to_string(i));
    candidates[i].zone = ZoneName("zone-a");
    candidates[i].status = EngineStatus{};
    candidates[i].status->running = static_cast<int>(i % 9);
  }
  return candidates;
}

void BM_RefreshLoad(benchmark::State& state) {
  const ServiceSpec service;
  ServiceLoad load({}, service);
  const auto candidates = Candidates(state.range(0));
  for (auto _ : state)
    benchmark::DoNotOptimize(load.Refresh(service, candidates, 7));
}
BENCHMARK(BM_RefreshLoad)->Arg(12)->Arg(90)->Arg(360);

void BM_BeginAndEndAttempt(benchmark::State& state) {
  const ServiceSpec service;
  ServiceLoad load({}, service);
  const auto candidates = Candidates(state.range(0));
  (void)load.Refresh(service, candidates, 7);
  MonotonicTime now{Seconds(1000)};
  RouteQuery query;
  query.id = RequestId("request");
  query.prompt_tokens = 700;
  for (auto _ : state) {
    now += Microseconds(100);
    auto attempt = load.Choose(query, candidates, now);
    load.OnFirstToken(&*attempt, now + Milliseconds(90));
    load.OnEnd(*attempt, false, now + Milliseconds(90));
  }
}
BENCHMARK(BM_BeginAndEndAttempt)->Arg(12)->Arg(90)->Arg(360);

}  // namespace
}  // namespace carobshift

BENCHMARK_MAIN();
