// Gateway processes with endpoints whose rejections come a second time, late.

#include <atomic>
#include <catch2/catch.hpp>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

constexpr int kSlots = 2;
constexpr Milliseconds kWorkTime{15};
constexpr int kCallers = 24;
constexpr Milliseconds kLoadTime{6000};
constexpr Milliseconds kPause{20};

// The status of each request, by its id.
using Statuses = std::map<std::string, int>;

HttpAnswer Book(const GatewayCluster& cluster,
                std::size_t gateway,
                const std::string& id) {
  return HttpSend(cluster.FrontAddress(gateway), "POST", "/book/1",
                  {.headers = {{"Host", "api.example"},
                               {"Request-Id", id},
                               {"Deadline-Ms", "2000"},
                               {"X-Api-Key", GatewayCluster::kKey}}});
}

// Sends the request again until it is served or has run, for up to three
// seconds: an endpoint is avoided for a while after its rejections.
HttpAnswer BookUntilServed(const GatewayCluster& cluster,
                           std::size_t gateway,
                           const std::string& id) {
  const MonotonicTime end = MonotonicNow() + Milliseconds(3000);
  HttpAnswer answer;
  do {
    std::this_thread::sleep_for(kPause);
    answer = Book(cluster, gateway, id);
  } while (answer.status != 200 && cluster.TotalRuns() == 0 &&
           MonotonicNow() < end);
  return answer;
}

void SetFaults(GatewayCluster& cluster, const nlohmann::json& faults) {
  for (std::size_t i = 0; i < cluster.replicas(); ++i) {
    REQUIRE(HttpSend(cluster.replica(i).address(), "POST", "/faults",
                     {.body = faults.dump()})
                .status == 200);
  }
}

// Fills the endpoints from kCallers callers, so that many are rejected.
Statuses SendRequests(const GatewayCluster& cluster) {
  Statuses statuses;
  std::mutex mutex;
  std::vector<std::jthread> callers;
  const MonotonicTime end = MonotonicNow() + kLoadTime;
  for (std::size_t caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; MonotonicNow() < end; ++i) {
        const std::string id =
            "late-" + std::to_string(caller) + "-" + std::to_string(i);
        const HttpAnswer answer =
            Book(cluster, caller % cluster.gateways(), id);
        {
          const std::lock_guard lock(mutex);
          statuses[id] = answer.status;
        }
        std::this_thread::sleep_for(kPause);
      }
    });
  }
  callers.clear();
  return statuses;
}

// Guards against a rejection's late copy that is taken for the answer to the
// repeat of its request, which runs.
TEST_CASE("a late copy of a rejection doesn't answer the repeat") {
  GatewayCluster cluster({.gateways = 2,
                          .engines = 0,
                          .plain_services = 2,
                          .slots = kSlots,
                          .retry_budget_extra = 5000});
  SetFaults(
      cluster,
      {{"slots", kSlots}, {"work_ms", kWorkTime.count()}, {"late_copies", 1}});
  const Statuses statuses = SendRequests(cluster);
  std::map<std::string, int> runs;
  int copies = 0;
  for (std::size_t i = 0; i < cluster.replicas(); ++i) {
    const nlohmann::json replica = cluster.RunsOf(i);
    copies += replica.at("late_copies").get<int>();
    for (const auto& run : replica.at("runs"))
      ++runs[run.at("request").get<std::string>()];
  }
  constexpr int kEnoughCopies = 100;
  CHECK(copies > kEnoughCopies);
  CHECK(cluster.LogLines("event", "repeat_answered").size() > kEnoughCopies);
  int run_twice = 0;
  int refused_and_run = 0;
  for (const auto& [id, status] : statuses) {
    const int count = runs[id];
    if (count > 1)
      ++run_twice;
    if (status == 503 && count > 0)
      ++refused_and_run;
  }
  CHECK(run_twice == 0);
  CHECK(refused_and_run == 0);
}

// Guards against a late copy of a rejection that is taken for the answer when a
// caller sends the same request again.
TEST_CASE("a late copy doesn't answer a caller that sends its id again") {
  GatewayCluster cluster(
      {.gateways = 1, .engines = 0, .plain_services = 1, .slots = kSlots});
  SetFaults(cluster, {{"reject", 1}, {"late_copies", 1}});
  CHECK(Book(cluster, 0, "again").status == 503);
  CHECK(cluster.TotalRuns() == 0);
  SetFaults(cluster, {{"reject", 0}});
  const HttpAnswer answer = BookUntilServed(cluster, 0, "again");
  CHECK(answer.status == 200);
  CHECK(cluster.TotalRuns() == 1);
}

// Guards against the same after the request came from another instance, which
// reaches no endpoint.
TEST_CASE("a late copy doesn't answer a request that was handed over") {
  GatewayCluster cluster({.gateways = 2,
                          .engines = 0,
                          .plain_services = 1,
                          .slots = kSlots,
                          .relayed = true});
  SetFaults(cluster, {{"reject", 1}, {"late_copies", 1}});
  CHECK(Book(cluster, 1, "handed").status == 503);
  CHECK(cluster.TotalRuns() == 0);
  cluster.CutPathsToEndpoints(CutForm::kRefused);
  const MonotonicTime end = MonotonicNow() + Milliseconds(6000);
  while (cluster.LogLines("event", "service_unreachable").empty() &&
         MonotonicNow() < end) {
    (void)Book(cluster, 0, "probe");
    std::this_thread::sleep_for(kPause);
  }
  CHECK(Book(cluster, 1, "handed").status == 503);
  SetFaults(cluster, {{"reject", 0}});
  const HttpAnswer answer = BookUntilServed(cluster, 0, "handed");
  CHECK(answer.status == 200);
  CHECK(cluster.TotalRuns() == 1);
  CHECK_FALSE(cluster.LogLines("event", "request_handed_off").empty());
}

}  // namespace
}  // namespace carobshift
