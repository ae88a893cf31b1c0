// A gateway process whose callers send large bodies to endpoints that don't
// read them.

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "testing/endless_server.h"
#include "testing/faulty_endpoints.h"
#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

using nlohmann::json;

constexpr int kCallers = 40;
constexpr int kBodyBytes = 4 << 20;
// Within which callers of other endpoints are answered meanwhile.
constexpr Milliseconds kMaxAnswerTime{1000};

HttpSendOptions LargeRequest(int caller) {
  HttpSendOptions options =
      GatewayCluster::StreamRequestOptions("large-" + std::to_string(caller));
  options.body = std::string(kBodyBytes, 'x');
  // Beyond that of the route.
  options.timeout = Milliseconds(10000);
  return options;
}

// Guards against an instance that holds as many bodies as its callers send.
TEST_CASE("bodies that aren't read cost an instance less than its memory") {
  GatewayCluster cluster({.gateways = 1,
                          .engines = 1,
                          .plain_services = 1,
                          .slots = 1,
                          .max_body_bytes = kBodyBytes,
                          .memory_mb = kSmallestInstance >> 10});
  const EndlessServer server(EndlessForm::kUnread, 8);
  AddEntries(cluster, server, "engines",
             json::array({{{"name", "m1"}, {"version", 0}}}));
  std::vector<std::thread> callers;
  std::vector<HttpAnswer> answers(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&cluster, &answer = answers[i], i] {
      answer = HttpSend(cluster.FrontAddress(0), "POST", "/review/1",
                        LargeRequest(i));
    });
  }
  const OtherCallers others =
      AskPlainService(cluster, /*count=*/20, Milliseconds(100));
  for (std::thread& caller : callers)
    caller.join();
  std::map<int, int> by_status;
  for (const HttpAnswer& answer : answers) {
    UNSCOPED_INFO(answer.status << " " << answer.failure);
    ++by_status[answer.failure.empty() ? answer.status : 0];
  }
  const long peak = PeakMemory(cluster.gateway(0));
  std::cout << "peak " << peak / 1024 << " MB, others " << others.whole
            << " of " << others.sent << ", slowest " << others.slowest.count()
            << " ms, answers " << json(by_status).dump() << std::endl;
  CHECK(peak < kSmallestInstance);
  CHECK(others.whole == others.sent);
  CHECK(others.slowest < kMaxAnswerTime);
  // Each caller has an answer.
  CHECK(by_status[0] == 0);
  CHECK(cluster.State(0).at("open_requests") == 0);
}

}  // namespace
}  // namespace carobshift
