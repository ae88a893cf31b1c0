// Measures the latency that an entry adds to the first token, at 100 requests
// per second with 500 open streams. Requests through the entry and direct
// requests to the engines run side by side. Prints lines "name value unit".
//
// Each engine reports the time from receiving a request to its first token. The
// caller's time minus the engine's time is the path latency. The path latency
// through the entry minus the direct path latency is the added latency. The
// subtraction removes the engines' batching, which delays a first token by up
// to one step.

#include <map>
#include <nlohmann/json.hpp>
#include <vector>

#include "benchmarks/overhead_load.h"
#include "testing/cluster.h"

namespace carobshift {
namespace {

using nlohmann::json;

constexpr int kTokens = 100;
// The ramp-up covers the adaptation of admission, which raises an engine's
// limit by a twentieth every quarter of a second.
constexpr OverheadPhases kPhases{Seconds(20), Seconds(12)};
// A stream lasts five seconds, so 100 per second keep 500 open.
constexpr char kStep[] = "--step-us=50000";

json DirectBody(const std::string& prompt) {
  return {{"model", kModel},
          {"prompt", prompt},
          {"max_tokens", 1},
          {"carobshift",
           {{"cache_salt", "direct"},
            {"version", kFirstVersion},
            {"adapter", ""},
            {"delivered", json::array()}}}};
}

json EntryBody(const std::string& prompt) {
  return {{"model", kModelService},
          {"prompt", prompt},
          {"max_tokens", kTokens},
          {"stream", true}};
}

OverheadCall CallOf(const std::string& prompt, const json& body) {
  OverheadCall call;
  call.name = prompt;
  call.path = "/v1/completions";
  call.options.body = body.dump();
  call.options.headers = {
      {"Authorization", "Bearer " + std::string(kAccountKey)}};
  call.is_token = [](std::string_view line) {
    return line.find("\"text\":\" ") != std::string_view::npos;
  };
  call.is_end = [](std::string_view line) { return line == "data: [DONE]"; };
  return call;
}

// Path latency of each sample, in ms.
std::vector<double> PathLatencies(
    const PathStats& stats,
    const std::map<std::string, double>& engine_latencies) {
  constexpr double kMicrosecondsPerMs = 1000;
  std::vector<double> times;
  for (const OverheadSample& sample : stats.samples) {
    const auto engine = engine_latencies.find(sample.name);
    if (engine == engine_latencies.end())
      continue;
    times.push_back(
        (static_cast<double>(sample.first_token.count()) - engine->second) /
        kMicrosecondsPerMs);
  }
  return times;
}

std::map<std::string, double> EngineLatencies(Cluster& cluster) {
  std::map<std::string, double> times;
  for (std::size_t i = 0; i < cluster.engines(); ++i) {
    const json traces =
        HttpSend(cluster.engine(i).address(), "GET", "/traces").Json();
    for (const auto& [prompt, time] : traces.items())
      times[prompt] = time.get<double>();
  }
  return times;
}

}  // namespace

void Run() {
  constexpr int kEngines = 10;
  Cluster cluster({.entries = 1,
                   .engines = kEngines,
                   .stores = 0,
                   .engine_flags = {kStep, "--max-running=400", "--decode-us=1",
                                    "--prefill-us=1"}});
  for (std::size_t i = 0; i < kEngines; ++i)
    SetFaults(cluster.engine(i), {{"trace", true}});
  PathStats through;
  PathStats direct;
  const NetAddress entry = cluster.entry(0).address();
  OverheadPlan plan;
  plan.phases = kPhases;
  plan.send_through = [&](int i, bool measured) {
    const std::string prompt = "[long] through " + std::to_string(i);
    SendStream(entry, CallOf(prompt, EntryBody(prompt)), measured, through);
  };
  plan.send_direct = [&](int i, bool measured) {
    const std::string prompt = "direct " + std::to_string(i);
    const auto at = static_cast<std::size_t>(i % kEngines);
    SendStream(cluster.engine(at).address(), CallOf(prompt, DirectBody(prompt)),
               measured, direct);
  };
  const ResourceUsage usage = RunOverhead(plan, cluster.entry(0), through);
  const auto engine_latencies = EngineLatencies(cluster);
  PrintOverhead("entry_overhead", through,
                PathLatencies(through, engine_latencies),
                PathLatencies(direct, engine_latencies), usage, kPhases);
}

}  // namespace carobshift

int main() {
  return carobshift::RunDriver(carobshift::Run);
}
