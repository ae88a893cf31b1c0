// Gateway processes with endpoints that announce a limit on requests per
// second. The limit applies to all instances together.

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

using nlohmann::json;

constexpr double kLimitPerSecond = 3;
constexpr Milliseconds kWindow{4000};
// The platform allows 1.5 times the limit plus five requests in a window.
constexpr int kMaxInWindow =
    static_cast<int>(1.5 * kLimitPerSecond * kWindow.count() / 1000) + 5;
// Time after the announcement within which every instance must apply the limit.
constexpr Milliseconds kAdoptionTime{3000};

// Sends requests for `time`, one after another, to all instances in turn.
std::vector<HttpAnswer> SendRequestsFor(GatewayCluster& cluster,
                                        Milliseconds time) {
  std::vector<HttpAnswer> answers;
  const MonotonicTime end = MonotonicNow() + time;
  while (MonotonicNow() < end) {
    answers.push_back(
        cluster.Send(answers.size() % cluster.gateways(), "POST", "/find/1"));
  }
  return answers;
}

void AnnounceLimit(GatewayCluster& cluster, std::size_t replica) {
  const json fault = {{"limit", std::to_string(kLimitPerSecond)}};
  REQUIRE(HttpSend(cluster.replica(replica).address(), "POST", "/faults",
                   {.body = fault.dump()})
              .status == 200);
}

// Returns the arrival times of requests at the endpoint, in milliseconds.
std::vector<std::int64_t> ArrivalsAt(const GatewayCluster& cluster,
                                     std::size_t replica) {
  std::vector<std::int64_t> times;
  const json runs = cluster.RunsOf(replica).at("runs");
  for (const json& run : runs)
    times.push_back(run.at("at_ms").get<std::int64_t>());
  return times;
}

// Returns the largest number of arrivals in any window that starts at `from` or
// later.
int MaxInWindow(const std::vector<std::int64_t>& times, std::int64_t from) {
  int max_count = 0;
  for (auto first = std::lower_bound(times.begin(), times.end(), from);
       first != times.end(); ++first) {
    const auto last =
        std::lower_bound(first, times.end(), *first + kWindow.count());
    max_count = std::max(max_count, static_cast<int>(last - first));
  }
  return max_count;
}

std::int64_t NowMs() {
  return std::chrono::duration_cast<Milliseconds>(
             MonotonicNow().time_since_epoch())
      .count();
}

// Guards against an overloaded endpoint that receives more requests than the
// limit it announced, because each instance applies the limit on its own.
TEST_CASE("all instances together keep to the limit that an endpoint names") {
  GatewayCluster cluster({.gateways = 3});
  const std::size_t limited = cluster.engines();
  AnnounceLimit(cluster, limited);
  const std::int64_t announced = NowMs();
  const auto answers = SendRequestsFor(cluster, kAdoptionTime + 2 * kWindow);
  CHECK(std::all_of(answers.begin(), answers.end(),
                    [](const auto& answer) { return answer.status == 200; }));
  const auto arrivals = ArrivalsAt(cluster, limited);
  CHECK(MaxInWindow(arrivals, announced + kAdoptionTime.count()) <=
        kMaxInWindow);
  // The limited endpoint still gets work, and the other endpoint takes the
  // rest.
  CHECK(arrivals.back() > announced + kAdoptionTime.count() + kWindow.count());
}

// Guards against callers that wait for an endpoint whose limit is used up: the
// request is rejected at once with a Retry-After.
TEST_CASE("what no endpoint's limit allows is refused with a time to return") {
  GatewayCluster cluster({.gateways = 2});
  for (std::size_t i = cluster.engines(); i < cluster.replicas(); ++i)
    AnnounceLimit(cluster, i);
  SendRequestsFor(cluster, kAdoptionTime);
  const int runs = cluster.TotalRuns();
  const auto answers = SendRequestsFor(cluster, Seconds(1));
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
