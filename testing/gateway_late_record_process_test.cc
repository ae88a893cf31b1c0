// Gateway processes while the log writes heartbeats of endpoints late.

#include <catch2/catch.hpp>
#include <string>

#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

using nlohmann::json;

constexpr std::size_t kLeaving = 0;

int Arrivals(const GatewayCluster& cluster) {
  return static_cast<int>(cluster.RunsOf(kLeaving).at("arrivals").size());
}

// Returns "ready", "leaving" or "gone".
std::string StateAt(const GatewayCluster& cluster, std::size_t gateway) {
  const json state = cluster.State(gateway);
  for (const json& endpoint : state.at("endpoints")) {
    if (endpoint.at("id") == "desk-0")
      return endpoint.at("leaving").get<bool>() ? "leaving" : "ready";
  }
  return "gone";
}

bool WaitUntilAllKnow(const GatewayCluster& cluster, const std::string& state) {
  return WaitUntil([&] {
    for (std::size_t i = 0; i < cluster.gateways(); ++i) {
      if (StateAt(cluster, i) != state)
        return false;
    }
    return true;
  });
}

void SendToAll(GatewayCluster& cluster, Milliseconds time) {
  const MonotonicTime end = MonotonicNow() + time;
  while (MonotonicNow() < end) {
    for (std::size_t i = 0; i < cluster.gateways(); ++i)
      CHECK(cluster.Send(i, "POST", "/find/1").status == 200);
  }
}

// Guards against requests to an endpoint that has said that it leaves, or is
// gone after that: a heartbeat that it sent before is written after it.
TEST_CASE("a heartbeat that is written late brings a leaver no requests") {
  constexpr Milliseconds kSendTime{2000};
  const bool gone = GENERATE(false, true);
  CAPTURE(gone);
  GatewayCluster cluster({.gateways = 2, .engines = 0, .plain_services = 2});
  const std::string late = cluster.NextHeartbeat(kLeaving, "ready");
  cluster.PutReplica(kLeaving, "draining");
  REQUIRE(WaitUntilAllKnow(cluster, "leaving"));
  if (gone) {
    cluster.PutReplica(kLeaving, "");
    REQUIRE(WaitUntilAllKnow(cluster, "gone"));
  }
  const int before = Arrivals(cluster);
  cluster.PutReplicaRecord(kLeaving, late);
  SendToAll(cluster, kSendTime);
  CHECK(Arrivals(cluster) == before);
  for (std::size_t i = 0; i < cluster.gateways(); ++i)
    CHECK(StateAt(cluster, i) == (gone ? "gone" : "leaving"));

  cluster.PutReplica(kLeaving, "ready", /*start_time=*/7);
  REQUIRE(WaitUntilAllKnow(cluster, "ready"));
  SendToAll(cluster, Milliseconds(200));
  CHECK(Arrivals(cluster) > before);
}

}  // namespace
}  // namespace carobshift
