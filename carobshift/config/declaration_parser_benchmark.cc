// Measures the time in which an entry parses one edit, by number of client
// accounts.

#include <benchmark/benchmark.h>

#include <string>

#include "carobshift/base/digest.h"
#include "carobshift/config/declaration_parser.h"

namespace carobshift {
namespace {

std::string TextWithAccounts(std::int64_t accounts) {
  std::string text =
      "format: 1\n"
      "models:\n  - {name: large, kv_bytes_per_token: 1024}\n"
      "pools:\n  - {name: gpu, kind: model, checks_fencing: true}\n"
      "services:\n"
      "  - {name: assistant, kind: model, pool: gpu, model: large, "
      "weights: v1, replicas: 2, floor: 1}\n"
      "accounts:\n";
  for (std::int64_t i = 0; i < accounts; ++i) {
    const std::string name = "account-" + std::to_string(i);
    text += "  - {id: " + name + ", key_sha256: [" + Sha256Hex(name) + "]}\n";
  }
  return text;
}

void ParseEdit(benchmark::State& state) {
  const std::string text = TextWithAccounts(state.range(0));
  for (auto _ : state) {
    DeclarationResult result = ParseDeclaration(text);
    if (!result.declaration)
      state.SkipWithError(result.ProblemText().c_str());
    benchmark::DoNotOptimize(result);
  }
  state.counters["text_bytes"] = static_cast<double>(text.size());
}
BENCHMARK(ParseEdit)->Arg(10)->Arg(1000)->Arg(21000)->Unit(
    benchmark::kMillisecond);

}  // namespace
}  // namespace carobshift

BENCHMARK_MAIN();
