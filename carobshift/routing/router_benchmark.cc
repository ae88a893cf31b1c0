// Cost of a routing decision at today's sizes and at the size of a zone
// expected in two years.

#include <benchmark/benchmark.h>

#include <string>

#include "carobshift/routing/endpoint_health.h"
#include "carobshift/routing/router.h"

namespace carobshift {
namespace {

std::vector<EndpointLoad> Loads(std::int64_t count) {
  std::vector<EndpointLoad> loads(static_cast<std::size_t>(count));
  for (std::size_t i = 0; i < loads.size(); ++i) {
    loads[i].id = EndpointId("engine-" + std::to_string(i));
    loads[i].reported_running = static_cast<int>(i * 7 % 13);
    loads[i].own_in_progress = static_cast<int>(i % 3);
    loads[i].reported_queued_prefill = static_cast<Tokens>(i * 311 % 4000);
  }
  return loads;
}

void BM_ChooseRoute(benchmark::State& state) {
  const std::vector<EndpointLoad> loads = Loads(state.range(0));
  const std::vector<CacheHit> hits = {{3, 6000}, {7, 2000}};
  const std::vector<ImportOption> imports = {
      {.tokens = 7936, .bytes = 1 << 30, .link_time = Milliseconds(300)}};
  RoutingInput input;
  input.request.prompt_tokens = 8000;
  input.endpoints = loads;
  input.hits = hits;
  input.imports = imports;
  for (auto _ : state) {
    ++input.request.request_hash;
    benchmark::DoNotOptimize(ChooseLeastExpectedTime(input));
  }
}
BENCHMARK(BM_ChooseRoute)->Arg(12)->Arg(90)->Arg(360);

void BM_EndpointHealthAnswer(benchmark::State& state) {
  std::vector<EndpointId> ids;
  for (std::int64_t i = 0; i < state.range(0); ++i)
    ids.emplace_back("engine-" + std::to_string(i));
  EndpointHealthTracker tracker({});
  tracker.Retain(ids);
  MonotonicTime now{Seconds(1000)};
  std::size_t turn = 0;
  for (auto _ : state) {
    now += Microseconds(100);
    turn = (turn + 1) % ids.size();
    tracker.OnFirstToken(ids[turn],
                         Milliseconds(100 + static_cast<int>(turn % 50)),
                         Milliseconds(100), SampleKind::kOrdinary, now);
  }
}
BENCHMARK(BM_EndpointHealthAnswer)->Arg(12)->Arg(90)->Arg(360);

}  // namespace
}  // namespace carobshift

BENCHMARK_MAIN();
