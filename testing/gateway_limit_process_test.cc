// Gateways as processes before endpoints that name a limit of requests a second
// for all instances together.

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

using nlohmann::json;

constexpr double kLimit = 3;
constexpr Milliseconds kWindow{4000};
// What the platform allows in a window: half as much again, and five.
constexpr int kMostInWindow =
    static_cast<int>(1.5 * kLimit * kWindow.count() / 1000) + 5;
// From the naming until every instance must keep to it.
constexpr Milliseconds kNotice{3000};

// Asks by turns at all instances, one request after another.
std::vector<HttpAnswer> AskFor(GatewayCluster& cluster, Milliseconds time) {
  std::vector<HttpAnswer> answers;
  const MonotonicTime end = MonotonicNow() + time;
  while (MonotonicNow() < end) {
    answers.push_back(
        cluster.Send(answers.size() % cluster.gateways(), "POST", "/find/1"));
  }
  return answers;
}

void NameLimit(GatewayCluster& cluster, std::size_t replica) {
  const json fault = {{"limit", std::to_string(kLimit)}};
  REQUIRE(HttpSend(cluster.replica(replica).address(), "POST", "/faults",
                   {.body = fault.dump()})
              .status == 200);
}

// When requests arrived at the endpoint, in milliseconds.
std::vector<std::int64_t> ArrivalsAt(const GatewayCluster& cluster,
                                     std::size_t replica) {
  std::vector<std::int64_t> times;
  const json runs = cluster.RunsOf(replica).at("runs");
  for (const json& run : runs)
    times.push_back(run.at("at_ms").get<std::int64_t>());
  return times;
}

// The most that arrived in any window that begins at `from` or later.
int MostInWindow(const std::vector<std::int64_t>& times, std::int64_t from) {
  int most = 0;
  for (auto first = std::lower_bound(times.begin(), times.end(), from);
       first != times.end(); ++first) {
    const auto last =
        std::lower_bound(first, times.end(), *first + kWindow.count());
    most = std::max(most, static_cast<int>(last - first));
  }
  return most;
}

std::int64_t NowMs() {
  return std::chrono::duration_cast<Milliseconds>(
             MonotonicNow().time_since_epoch())
      .count();
}

// Guards against an endpoint in need that gets more than it says it can take.
TEST_CASE("all instances together keep to the limit that an endpoint names") {
  GatewayCluster cluster({.gateways = 3});
  const std::size_t limited = cluster.engines();
  NameLimit(cluster, limited);
  const std::int64_t named = NowMs();
  const auto answers = AskFor(cluster, kNotice + 2 * kWindow);
  CHECK(std::all_of(answers.begin(), answers.end(),
                    [](const auto& answer) { return answer.status == 200; }));
  const auto arrivals = ArrivalsAt(cluster, limited);
  CHECK(MostInWindow(arrivals, named + kNotice.count()) <= kMostInWindow);
  // It goes on getting work, and the other endpoint takes the rest.
  CHECK(arrivals.back() > named + kNotice.count() + kWindow.count());
}

// Guards against callers who wait for an endpoint that may not be asked.
TEST_CASE("what no endpoint's limit allows is refused with a time to return") {
  GatewayCluster cluster({.gateways = 2});
  for (std::size_t i = cluster.engines(); i < cluster.replicas(); ++i)
    NameLimit(cluster, i);
  AskFor(cluster, kNotice);
  const int runs = cluster.TotalRuns();
  const auto answers = AskFor(cluster, Seconds(1));
  int served = 0;
  for (const HttpAnswer& answer : answers) {
    if (answer.status == 200) {
      ++served;
      continue;
    }
    CHECK(answer.status == 503);
    CHECK(answer.body.find("not_run") != std::string::npos);
    CHECK(std::stod(answer.Header("Retry-After")) > 0);
  }
  CHECK(served > 0);
  CHECK(served < static_cast<int>(answers.size()));
  CHECK(cluster.TotalRuns() == runs + served);
}

}  // namespace
}  // namespace carobshift
