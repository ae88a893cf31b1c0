// Gateway processes whose callers take streams up again that no gateway knows,
// as their record is lost. Such a stream may go on only if the version that
// began it is certain.

#include <catch2/catch.hpp>
#include <csignal>
#include <string>
#include <thread>

#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

constexpr Milliseconds kTimeout{3000};
// By then a gateway has read a record that was written.
constexpr Milliseconds kReadTime{1500};

// Engines 0 and 2 are of v1, 1 and 3 of v2.
GatewayClusterOptions TwoVersions() {
  return {.gateways = 1,
          .engines = 4,
          .plain_services = 1,
          .software = {"v1", "v2"},
          .timeout = kTimeout};
}

// Takes up a stream of which the caller has three events.
HttpAnswer TakeUp(const GatewayCluster& cluster, const std::string& request) {
  HttpSendOptions options = GatewayCluster::StreamRequestOptions(request);
  options.headers.emplace_back("Last-Event-Id", "3");
  options.headers.emplace_back("Resumes", "a-lost-" + request);
  return HttpSend(cluster.FrontAddress(0), "POST", "/review/1", options);
}

// Removes the records of v1. Its engines serve on, as some do that leave
// without a word.
void EndRollout(GatewayCluster& cluster) {
  cluster.PutReplica(0, "");
  cluster.PutReplica(2, "");
  std::this_thread::sleep_for(kReadTime);
}

bool IsRefused(const HttpAnswer& answer) {
  return answer.status == 503 &&
         answer.body.find("software_unknown") != std::string::npos;
}

// Guards against refusals though there is no choice of versions.
TEST_CASE("a lost stream goes on at the only version of its service") {
  GatewayCluster cluster(TwoVersions());
  EndRollout(cluster);
  CHECK(IsRefused(TakeUp(cluster, "early")));
  // Twice the timeout, the longest that a stream may have been under way.
  std::this_thread::sleep_for(2 * kTimeout);
  const HttpAnswer answer = TakeUp(cluster, "late");
  CHECK(answer.status == 200);
  CHECK(answer.body.find("of v2") != std::string::npos);
}

// Guards against a stream that is taken up at another version, since a new
// configuration has a shorter timeout than the one under which it began.
TEST_CASE("a shorter timeout doesn't make an old version's streams forgotten") {
  GatewayCluster cluster(TwoVersions());
  EndRollout(cluster);
  cluster.PutConfig(2, {.timeout = Milliseconds(200)});
  std::this_thread::sleep_for(kReadTime);
  CHECK(IsRefused(TakeUp(cluster, "shortened")));
}

// Guards against a stream that is taken up at another service, since its route
// has moved there.
TEST_CASE("a lost stream doesn't go on at the service its route moved to") {
  GatewayCluster cluster(TwoVersions());
  cluster.PutConfig(2, {.review_service = "desks"});
  std::this_thread::sleep_for(kReadTime);
  CHECK(IsRefused(TakeUp(cluster, "moved")));
  CHECK(cluster.TotalRuns() == 0);
}

// Guards against a stream that is taken up at the version that a gateway knew
// before it was frozen.
TEST_CASE("a frozen gateway doesn't judge by what it read before") {
  GatewayCluster cluster(TwoVersions());
  EndRollout(cluster);
  std::this_thread::sleep_for(2 * kTimeout);
  REQUIRE(TakeUp(cluster, "before").status == 200);
  cluster.gateway(0).Signal(SIGSTOP);
  // Answers the read that is under way.
  cluster.PutReplica(1, "ready", /*start_time=*/1);
  std::this_thread::sleep_for(kReadTime);
  cluster.PutReplica(0, "ready", /*start_time=*/1);
  HttpAnswer answer;
  {
    const std::jthread caller([&] { answer = TakeUp(cluster, "frozen"); });
    std::this_thread::sleep_for(Milliseconds(200));
    cluster.gateway(0).Signal(SIGCONT);
  }
  CHECK(IsRefused(answer));
}

}  // namespace
}  // namespace carobshift
