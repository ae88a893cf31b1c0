// Cost of the retry budget with today's number of accounts and the number
// expected in two years.

#include <benchmark/benchmark.h>

#include <string>

#include "carobshift/retry/crash_suspects.h"
#include "carobshift/retry/retry_budget.h"

namespace carobshift {
namespace {

void BM_RetryBudget(benchmark::State& state) {
  const auto accounts = static_cast<std::size_t>(state.range(0));
  const ServiceName service("reviews");
  RetryBudget budget({});
  std::vector<AccountId> names;
  for (std::size_t i = 0; i < accounts; ++i) {
    names.emplace_back("account-" + std::to_string(i));
    (void)budget.TrySpend(names.back(), service);
  }
  std::size_t turn = 0;
  for (auto _ : state) {
    const AccountId& account = names[turn++ * 7919 % accounts];
    budget.OnSuccess(account, service);
    benchmark::DoNotOptimize(budget.TrySpend(account, service));
  }
}
BENCHMARK(BM_RetryBudget)->Arg(10)->Arg(1000)->Arg(21000);

void BM_JudgeSuspect(benchmark::State& state) {
  CrashSuspects suspects({});
  MonotonicTime now{Seconds(1000)};
  const EndpointId endpoint("engine-1");
  for (std::uint64_t i = 0; i < 4096; ++i) {
    suspects.OnAttemptStart(ContentFingerprint(i), endpoint, false);
    suspects.OnAttemptBroken(ContentFingerprint(i), endpoint, now);
  }
  std::uint64_t turn = 0;
  for (auto _ : state)
    benchmark::DoNotOptimize(
        suspects.Judge(ContentFingerprint(turn++ % 8192), now));
}
BENCHMARK(BM_JudgeSuspect);

}  // namespace
}  // namespace carobshift

BENCHMARK_MAIN();
