// Cost of one request through admission while all accounts have waiting
// requests, with today's number of accounts and the number expected in two
// years.

#include <benchmark/benchmark.h>

#include <string>

#include "carobshift/admission/admission_queue.h"

namespace carobshift {
namespace {

// Adds a request, starts the next one and finishes it, so that the length of
// the queue stays the same.
void BM_AdmitRequest(benchmark::State& state) {
  const auto accounts = static_cast<std::size_t>(state.range(0));
  AdmissionOptions options;
  options.refuse = false;
  options.max_queued = accounts + 1000;
  AdmissionQueue queue(options);
  std::vector<AccountId> names;
  for (std::size_t i = 0; i < accounts; ++i) {
    names.emplace_back("account-" + std::to_string(i));
    queue.SetAccount(names.back(), {.weight = 1.0 + static_cast<double>(i % 3),
                                    .max_in_flight = 1000});
  }
  queue.SetCapacity({.slots = 1});
  MonotonicTime now{Seconds(1000)};
  std::uint64_t number = 0;
  const auto arrive = [&] {
    AdmissionRequest request;
    request.id = RequestId(std::to_string(number));
    request.account = names[number * 7919 % accounts];
    request.cost = 500 + static_cast<double>(number % 900);
    ++number;
    benchmark::DoNotOptimize(queue.Submit(request, now));
    return request.id;
  };
  RequestId running = arrive();
  for (std::size_t i = 0; i < accounts; ++i)
    (void)arrive();
  for (auto _ : state) {
    now += Microseconds(100);
    (void)arrive();
    queue.Finish(running, 700);
    running = queue.Pop(now).admitted.front();
  }
}
BENCHMARK(BM_AdmitRequest)->Arg(10)->Arg(1000)->Arg(21000);

}  // namespace
}  // namespace carobshift

BENCHMARK_MAIN();
