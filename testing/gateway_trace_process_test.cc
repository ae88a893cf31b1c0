// Every response can be explained from the request id by the log lines of the
// gateways alone.

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "testing/cluster.h"
#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

using nlohmann::json;

// Waits for the final log line of the request and returns all its lines.
std::vector<json> LinesOf(const GatewayCluster& cluster,
                          const std::string& request) {
  std::vector<json> lines;
  CHECK(WaitUntil([&] {
    lines = cluster.LogLines("request", request);
    return !lines.empty() && (lines.back().at("event") == "request_done" ||
                              lines.back().at("event") == "request_rejected");
  }));
  return lines;
}

TEST_CASE("explained by its id: a request whose endpoint is down") {
  // All plain services are down. The log lines of the request name the
  // attempts, why each failed, and the response.
  GatewayCluster cluster({.plain_services = 1});
  cluster.replica(2).Kill();
  const HttpAnswer answer = cluster.Send(0, "POST", "/book/1");
  CHECK(answer.status == 503);
  CHECK_FALSE(answer.Header("Retry-After").empty());
  const auto lines = LinesOf(cluster, cluster.LastRequestId());
  REQUIRE(lines.size() >= 2);
  for (const json& line : lines) {
    if (line.at("event") == "request_handed_off")
      CHECK(line.at("peer") == "gateway-1");
    else
      CHECK(line.at("endpoint") == "desk-0");
  }
  CHECK(lines.front().at("event") == "attempt_failed");
  CHECK(lines.front().at("fault") == "not_connected");
  CHECK(lines.back().at("status") == 503);
}

TEST_CASE("explained by its id: a request rejected under load") {
  // Engines are busy with two very long prompts. A request that arrives
  // meanwhile waits, and is rejected before its caller leaves. Its log lines
  // state how many tokens were ahead of it, the expected wait, and its latency
  // target.
  GatewayCluster cluster({});
  for (std::size_t i = 0; i < 2; ++i)
    SetFaults(cluster.replica(i), {{"delay_ms", 1500}});
  std::vector<std::thread> callers;
  for (int i = 0; i < 2; ++i) {
    callers.emplace_back([&cluster, i] {
      const std::string part = "d" + std::to_string(i) + ":79000";
      const HttpAnswer answer =
          HttpSend(cluster.FrontAddress(0), "POST", "/review/1",
                   {.headers = {{"Host", "api.example"},
                                {"Request-Id", "long-" + std::to_string(i)},
                                {"Deadline-Ms", "5000"},
                                {"X-Api-Key", GatewayCluster::kKey},
                                {"Model", "m1"},
                                {"Token-Counts", "79200,50"},
                                {"Prompt-Prefix", "aa:200," + part}}});
      (void)answer;
    });
  }
  const bool both_open =
      WaitUntil([&] { return cluster.State(0).at("open_requests") == 2; });
  const HttpAnswer answer = cluster.Send(0, "POST", "/review/1");
  for (std::thread& caller : callers)
    caller.join();
  CHECK(both_open);
  CHECK(answer.status == 503);
  CHECK_FALSE(answer.Header("Retry-After").empty());
  const auto lines = LinesOf(cluster, cluster.LastRequestId());
  REQUIRE(lines.size() == 3);
  const json& wait = lines.front();
  CHECK(wait.at("event") == "request_waits");
  CHECK(wait.at("ahead") >= 79000);
  CHECK(wait.at("endpoint_wait_ms") > wait.at("target_ms"));
  CHECK(lines[1].at("event") == "wait_expired");
  CHECK(lines.back().at("code") == "overloaded");
  CHECK(lines.back().at("attempts") == 0);
}

TEST_CASE("explained by its id: a stream cut off when its engine died") {
  // An engine dies while it streams a response that is not resumable. The log
  // lines name the engine, and that its connection broke after the response had
  // started.
  GatewayCluster cluster({.events = 8});
  for (std::size_t i = 0; i < 2; ++i)
    SetFaults(cluster.replica(i), {{"break_after", 3}});
  const HttpAnswer answer = cluster.Send(0, "POST", "/ask/1");
  CHECK_FALSE(answer.failure.empty());
  const auto lines = LinesOf(cluster, cluster.LastRequestId());
  REQUIRE(lines.size() == 2);
  const json& failed = lines.front();
  const json& done = lines.back();
  CHECK(failed.at("event") == "attempt_failed");
  CHECK(failed.at("fault") == "connection_broken");
  CHECK(failed.at("sent") == true);
  CHECK(done.at("code") == "endpoint_failed");
  CHECK(done.at("status") == 200);
  CHECK(done.contains("first_ms"));
  CHECK(done.at("endpoint") == failed.at("endpoint"));
}

TEST_CASE("explained by its id: 401 after a key was revoked") {
  // The operator revokes an API key. The log lines of a rejected request name
  // the configuration version that rejected it; the log line of that
  // configuration states since when it is in force and at which offset of the
  // operator stream the instance read it.
  GatewayCluster cluster({});
  cluster.PutConfig(5, /*with_key=*/false);
  CHECK(WaitUntil(
      [&] { return cluster.Send(0, "POST", "/book/1").status == 401; }));
  const auto lines = LinesOf(cluster, cluster.LastRequestId());
  REQUIRE(lines.size() == 1);
  CHECK(lines.front().at("event") == "request_rejected");
  CHECK(lines.front().at("code") == "unauthenticated");
  const auto by_number = cluster.LogLines("config", lines.front().at("config"));
  const auto in_force =
      std::find_if(by_number.begin(), by_number.end(), [&](const json& line) {
        return line.at("event") == "config_in_force" &&
               line.at("process") == lines.front().at("process");
      });
  REQUIRE(in_force != by_number.end());
  CHECK(in_force->contains("offset"));
  CHECK(in_force->at("config") == 5);
}

}  // namespace
}  // namespace carobshift
