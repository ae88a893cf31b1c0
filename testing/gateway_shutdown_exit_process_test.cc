// Gateway processes at the end of a planned stop: each open request gets its
// last answer before the process is killed, and no reply is lost on the way
// out.

#include <catch2/catch.hpp>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

// Of GatewayCluster. SIGKILL follows SIGTERM after it.
constexpr Milliseconds kGrace{6000};

void SetQueue(GatewayCluster& cluster, Milliseconds time) {
  const std::string fault = nlohmann::json{{"queue_ms", time.count()}}.dump();
  for (std::size_t i = cluster.engines(); i < cluster.replicas(); ++i) {
    REQUIRE(HttpSend(cluster.replica(i).address(), "POST", "/faults",
                     {.body = fault})
                .status == 200);
  }
}

// Callers whose requests wait for the plain services until after the stop.
class WaitingCallers {
 public:
  WaitingCallers(GatewayCluster& cluster, std::size_t count) : answers_(count) {
    SetQueue(cluster, 4 * kGrace);
    for (std::size_t i = 0; i < count; ++i) {
      HttpSendOptions options;
      options.headers = {{"Host", "api.example"},
                         {"Request-Id", "waiting-" + std::to_string(i)},
                         {"Deadline-Ms", "15000"},
                         {"X-Api-Key", GatewayCluster::kKey}};
      options.timeout = 2 * kGrace;
      threads_.emplace_back(
          [this, i, options, address = cluster.FrontAddress(0)] {
            answers_[i] = HttpSend(address, "POST", "/book/1", options);
          });
    }
    REQUIRE(WaitUntil(
        [&] { return cluster.State(0).at("open_requests") == count; }));
  }

  // To be called once, when the process has ended.
  [[nodiscard]] std::vector<int> Statuses() {
    threads_.clear();
    std::vector<int> statuses;
    for (const HttpAnswer& answer : answers_)
      statuses.push_back(answer.failure.empty() ? answer.status : 0);
    return statuses;
  }

 private:
  std::vector<HttpAnswer> answers_;
  std::vector<std::jthread> threads_;
};

GatewayClusterOptions OneGateway() {
  return {.gateways = 1,
          .engines = 1,
          .plain_services = 1,
          .timeout = Milliseconds(20000)};
}

// Kills the process as the platform does, unless it has ended. Returns its exit
// status.
std::optional<int> EndLikePlatform(Process& process, MonotonicTime stop) {
  std::this_thread::sleep_until(stop);
  std::optional<int> status = process.WaitForExit(
      std::chrono::duration_cast<Milliseconds>(stop + kGrace - MonotonicNow()));
  process.Kill();
  return status;
}

// Guards against requests that are lost without a word, since the grace period
// was counted from the end of a standstill and the process was killed before.
TEST_CASE("a process that stood still at SIGTERM answers before it is killed") {
  const Milliseconds standstill =
      GENERATE(Milliseconds(300), Milliseconds(1500), Milliseconds(3000),
               Milliseconds(5450), Milliseconds(5700));
  CAPTURE(standstill.count());
  GatewayCluster cluster(OneGateway());
  WaitingCallers callers(cluster, 5);
  Process& gateway = cluster.gateway(0);
  // By then the process waits for its sockets.
  std::this_thread::sleep_for(Milliseconds(50));
  gateway.Signal(SIGSTOP);
  const MonotonicTime stop = MonotonicNow();
  gateway.Signal(SIGTERM);
  std::this_thread::sleep_until(stop + standstill);
  gateway.Signal(SIGCONT);
  const std::optional<int> exit_status = EndLikePlatform(gateway, stop);
  CHECK(callers.Statuses() == std::vector<int>(5, 504));
  CHECK(cluster.LogLines("event", "stop_cuts_request").size() == 5);
  CHECK(exit_status == 0);
}

// Guards against the same after a standstill within the grace period.
TEST_CASE("a process that stood still after SIGTERM answers before the end") {
  GatewayCluster cluster(OneGateway());
  WaitingCallers callers(cluster, 5);
  Process& gateway = cluster.gateway(0);
  const MonotonicTime stop = MonotonicNow();
  gateway.Signal(SIGTERM);
  std::this_thread::sleep_until(stop + Milliseconds(300));
  gateway.Signal(SIGSTOP);
  std::this_thread::sleep_until(stop + Milliseconds(5700));
  gateway.Signal(SIGCONT);
  const std::optional<int> exit_status = EndLikePlatform(gateway, stop);
  CHECK(callers.Statuses() == std::vector<int>(5, 504));
  CHECK(exit_status == 0);
}

// Guards against a stop that another signal begins anew, or ends at once.
TEST_CASE("further signals don't change a planned stop") {
  GatewayCluster cluster(OneGateway());
  WaitingCallers callers(cluster, 5);
  Process& gateway = cluster.gateway(0);
  gateway.Signal(SIGHUP);
  const MonotonicTime stop = MonotonicNow();
  gateway.Signal(SIGTERM);
  for (const int signal : {SIGTERM, SIGHUP, SIGINT, SIGTERM, SIGHUP}) {
    std::this_thread::sleep_for(Milliseconds(700));
    gateway.Signal(signal);
  }
  const std::optional<int> exit_status = EndLikePlatform(gateway, stop);
  CHECK(callers.Statuses() == std::vector<int>(5, 504));
  CHECK(exit_status == 0);
}

}  // namespace
}  // namespace carobshift
