// Gateway processes of which one has lost its paths to all endpoints, while its
// callers, the log and the other gateways still reach it.

#include <catch2/catch.hpp>
#include <cstddef>
#include <string>

#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

using nlohmann::json;

// The platform allows an isolated gateway this long until its callers must be
// served like all others.
constexpr Milliseconds kDetectionTime{3000};
constexpr int kRequestsPerRoute = 10;
// The time that the platform's shortest bookings have.
constexpr char kBookingDeadline[] = "600";

std::string CompleteStream(int events) {
  std::string text;
  for (int i = 1; i <= events; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: token" + std::to_string(i) +
            "\n\n";
  }
  return text;
}

int RunsOfRequest(const GatewayCluster& cluster, const std::string& request) {
  int runs = 0;
  for (std::size_t i = 0; i < cluster.replicas(); ++i) {
    const json answer = cluster.RunsOf(i);
    for (const json& run : answer.at("runs"))
      runs += run.at("request") == request ? 1 : 0;
  }
  return runs;
}

// Sends to gateway 0 for `time`, whatever the answers are.
void SendRequestsFor(GatewayCluster& cluster, Milliseconds time) {
  const MonotonicTime end = MonotonicNow() + time;
  while (MonotonicNow() < end) {
    (void)cluster.Send(0, "POST", "/find/1",
                       {.headers = {{"Deadline-Ms", "600"}}});
    (void)cluster.Send(0, "POST", "/ask/1",
                       {.headers = {{"Deadline-Ms", "600"}}});
  }
}

// Returns the number of requests of a route that were answered in full by
// exactly one run.
int ServedOnce(GatewayCluster& cluster,
               const std::string& path,
               const std::string& answer_text) {
  int served = 0;
  for (int i = 0; i < kRequestsPerRoute; ++i) {
    HttpSendOptions options;
    options.body = "body";
    if (path.starts_with("/book/"))
      options.headers = {{"Deadline-Ms", kBookingDeadline}};
    const HttpAnswer answer = cluster.Send(0, "POST", path, options);
    const bool whole = answer.status == 200 && answer.body == answer_text &&
                       !answer.Header("Response-Stamp").empty();
    served +=
        whole && RunsOfRequest(cluster, cluster.LastRequestId()) == 1 ? 1 : 0;
  }
  return served;
}

void CheckServedWhileCut(CutForm form) {
  GatewayCluster cluster({.gateways = 3, .relayed = true});
  CHECK(ServedOnce(cluster, "/find/1", "done body") == kRequestsPerRoute);
  cluster.CutPathsToEndpoints(form);
  SendRequestsFor(cluster, kDetectionTime);
  CHECK(ServedOnce(cluster, "/book/1", "done body") == kRequestsPerRoute);
  CHECK(ServedOnce(cluster, "/find/1", "done body") == kRequestsPerRoute);
  CHECK(ServedOnce(cluster, "/review/1", CompleteStream(5)) ==
        kRequestsPerRoute);
  cluster.RestorePathsToEndpoints();
}

// Guards against callers of an isolated gateway that are refused, although
// other gateways reach the endpoints.
TEST_CASE(
    "callers of an isolated gateway are served while its connects are "
    "refused") {
  CheckServedWhileCut(CutForm::kRefused);
}

// Guards against callers of an isolated gateway whose deadlines pass while its
// connects hang.
TEST_CASE("callers of an isolated gateway are served while its connects hang") {
  CheckServedWhileCut(CutForm::kHang);
}

// Guards against callers that are refused while only the connections opened
// before the cut still work.
TEST_CASE(
    "callers of an isolated gateway are served while only its new connects "
    "are refused") {
  CheckServedWhileCut(CutForm::kNewRefused);
}

}  // namespace
}  // namespace carobshift
