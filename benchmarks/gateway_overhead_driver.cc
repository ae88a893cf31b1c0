// Measures the latency that a gateway adds to the first token at the load of
// entry_overhead_driver: 100 requests per second with 500 open streams.
// Requests through the gateway and direct requests to the engines run side by
// side. Prints lines "name value unit".
//
// The engines send the first event as soon as they receive a request, so the
// caller's time to that event is the path latency.

#include <string>
#include <utility>
#include <vector>

#include "benchmarks/overhead_load.h"
#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

// A stream lasts five seconds, so 100 per second keep 500 open.
constexpr int kEvents = 100;
constexpr Milliseconds kEventGap{50};
constexpr OverheadPhases kPhases{Seconds(10), Seconds(12)};
constexpr int kEngines = 10;

OverheadCall CallOf(const std::string& name, HttpSendOptions options) {
  OverheadCall call;
  call.name = name;
  call.path = "/ask/1";
  call.options = std::move(options);
  call.is_token = [](std::string_view line) {
    return line.starts_with("data: ");
  };
  call.is_end = [](std::string_view line) {
    return line == "data: token" + std::to_string(kEvents);
  };
  return call;
}

std::vector<double> PathLatencies(const PathStats& stats) {
  constexpr double kMicrosecondsPerMs = 1000;
  std::vector<double> times;
  for (const OverheadSample& sample : stats.samples) {
    times.push_back(static_cast<double>(sample.first_token.count()) /
                    kMicrosecondsPerMs);
  }
  return times;
}

}  // namespace

void Run() {
  GatewayCluster cluster({.gateways = 1,
                          .engines = kEngines,
                          .plain_services = 1,
                          .events = kEvents,
                          .event_gap = kEventGap,
                          .timeout = Seconds(15)});
  PathStats through;
  PathStats direct;
  OverheadPlan plan;
  plan.phases = kPhases;
  // A direct stream is also read to its end, which occupies a thread for five
  // seconds.
  plan.direct_threads = 200;
  plan.send_through = [&](int i, bool measured) {
    const std::string name = "a" + std::to_string(i);
    SendStream(cluster.FrontAddress(0),
               CallOf(name, GatewayCluster::StreamRequestOptions(name)),
               measured, through);
  };
  plan.send_direct = [&](int i, bool measured) {
    const auto engine = static_cast<std::size_t>(i % kEngines);
    const std::string name = "d" + std::to_string(i);
    SendStream(cluster.replica(engine).address(),
               CallOf(name, GatewayCluster::EngineRequestOptions(engine, name)),
               measured, direct);
  };
  const ResourceUsage usage = RunOverhead(plan, cluster.gateway(0), through);
  PrintOverhead("gateway_overhead", through, PathLatencies(through),
                PathLatencies(direct), usage, kPhases);
}

}  // namespace carobshift

int main() {
  return carobshift::RunDriver(carobshift::Run);
}
