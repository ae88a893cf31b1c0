// Gateway processes with endpoints that bear few rejections for lack of room.
// The limit applies to all instances together.

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

using nlohmann::json;

constexpr int kSlots = 6;
constexpr Milliseconds kWorkTime{15};
// Time after the statement within which every instance must keep to the limit.
constexpr Milliseconds kAdoptionTime{3500};
constexpr int kBursts = 15;
constexpr int kCallersInBurst = 40;
constexpr Milliseconds kBurstInterval{200};

GatewayClusterOptions Options() {
  return {.gateways = 3, .engines = 0, .plain_services = 2, .slots = kSlots};
}

void SetFaults(GatewayCluster& cluster, const json& faults) {
  for (std::size_t i = 0; i < cluster.replicas(); ++i) {
    REQUIRE(HttpSend(cluster.replica(i).address(), "POST", "/faults",
                     {.body = faults.dump()})
                .status == 200);
  }
}

void StateLimit(GatewayCluster& cluster, const std::string& text) {
  SetFaults(
      cluster,
      {{"brittle", text}, {"slots", kSlots}, {"work_ms", kWorkTime.count()}});
}

int Sum(const GatewayCluster& cluster, const std::string& field) {
  int sum = 0;
  for (std::size_t i = 0; i < cluster.replicas(); ++i)
    sum += cluster.RunsOf(i).at(field).get<int>();
  return sum;
}

// Sends requests for `time`, one after another, to all instances in turn.
void SendRequestsFor(GatewayCluster& cluster, Milliseconds time) {
  const MonotonicTime end = MonotonicNow() + time;
  for (std::size_t i = 0; MonotonicNow() < end; ++i)
    (void)cluster.Send(i % cluster.gateways(), "POST", "/find/1");
}

// Sends one request from each of kCallersInBurst callers at the same time.
std::vector<HttpAnswer> SendBurst(const GatewayCluster& cluster, int burst) {
  std::vector<HttpAnswer> answers(kCallersInBurst);
  std::vector<std::jthread> callers;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    callers.emplace_back([&cluster, &answers, burst, i] {
      const std::string id =
          "burst-" + std::to_string(burst) + "-" + std::to_string(i);
      answers[i] = HttpSend(cluster.FrontAddress(i % cluster.gateways()),
                            "POST", "/find/1",
                            {.headers = {{"Host", "api.example"},
                                         {"Request-Id", id},
                                         {"Deadline-Ms", "600"},
                                         {"X-Api-Key", GatewayCluster::kKey}}});
    });
  }
  callers.clear();
  return answers;
}

// Returns the number of requests that were served. Checks that the others were
// refused and have not run.
int SendBursts(GatewayCluster& cluster) {
  const int runs = cluster.TotalRuns();
  int served = 0;
  for (int burst = 0; burst < kBursts; ++burst) {
    for (const HttpAnswer& answer : SendBurst(cluster, burst)) {
      if (answer.status == 200) {
        ++served;
        continue;
      }
      CHECK(answer.status == 503);
      CHECK(answer.body.find("not_run") != std::string::npos);
      CHECK_FALSE(answer.Header("Retry-After").empty());
    }
    std::this_thread::sleep_for(kBurstInterval);
  }
  CHECK(cluster.TotalRuns() == runs + served);
  return served;
}

// Guards against endpoints that fall over in a burst because each instance
// takes them for idle.
TEST_CASE("a burst doesn't make endpoints reject more than they bear") {
  GatewayCluster cluster(Options());
  StateLimit(cluster, "2");
  SendRequestsFor(cluster, kAdoptionTime);
  const int rejections = Sum(cluster, "rejections");
  const int served = SendBursts(cluster);
  CHECK(Sum(cluster, "falls") == 0);
  CHECK(Sum(cluster, "rejections") == rejections);
  // Each burst fills the usable slots of both endpoints at least once.
  constexpr int kUsableSlots = 2 * (kSlots * 9 / 10);
  CHECK(served >= kBursts * kUsableSlots / 2);
}

// Guards against an instance that takes a value it can't read for a limit, or
// for the end of one.
TEST_CASE("a rejection limit that can't be read changes nothing") {
  GatewayCluster cluster(Options());
  StateLimit(cluster, "few");
  SendRequestsFor(cluster, Milliseconds(500));
  CHECK_FALSE(cluster.LogLines("event", "rejection_limit_unreadable").empty());
  CHECK(cluster.LogLines("event", "rejection_limit").empty());
  StateLimit(cluster, "2");
  SendRequestsFor(cluster, kAdoptionTime);
  const auto stated = cluster.LogLines("event", "rejection_limit").size();
  CHECK(stated > 0);
  StateLimit(cluster, "-1");
  SendRequestsFor(cluster, Milliseconds(500));
  CHECK(cluster.LogLines("event", "rejection_limit").size() == stated);
  StateLimit(cluster, "");
  SendRequestsFor(cluster, Milliseconds(500));
  CHECK(cluster.LogLines("event", "rejection_limit").size() > stated);
}

}  // namespace
}  // namespace carobshift
