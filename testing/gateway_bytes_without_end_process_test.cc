// A gateway process beside engine entries whose address answers every question
// with bytes that are no answer, or with far more than was asked for.

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "testing/endless_server.h"
#include "testing/faulty_endpoints.h"
#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

using nlohmann::json;

// Within which callers' requests are answered meanwhile. Their streams take
// 0.1 s by themselves.
constexpr Milliseconds kMaxAnswerTime{1000};
// How long callers send their requests.
constexpr Milliseconds kTime{6000};
// Questions that a faulty endpoint may get within kTime. Each kind of call has
// a pause that grows, from less than a second on.
constexpr std::uint64_t kMaxQuestionsEach = 6;

struct CallerResults {
  int sent = 0;
  int whole = 0;
  Milliseconds slowest{0};
};

CallerResults SendRequests(GatewayCluster& cluster) {
  CallerResults results;
  const MonotonicTime end = MonotonicNow() + kTime;
  while (MonotonicNow() < end) {
    for (const std::string_view path : {"/review/1", "/find/1"}) {
      const MonotonicTime begin = MonotonicNow();
      const HttpAnswer answer =
          cluster.Send(0, "POST", std::string(path), {.body = "body"});
      const bool whole =
          answer.status == 200 && answer.failure.empty() &&
          (answer.body.ends_with("token5\n\n") || answer.body == "done body");
      ++results.sent;
      results.whole += whole ? 1 : 0;
      results.slowest = std::max(
          results.slowest,
          std::chrono::duration_cast<Milliseconds>(MonotonicNow() - begin));
    }
  }
  return results;
}

// Sends requests and checks that they are answered, and the instance's memory.
void CheckCallers(GatewayCluster& cluster, const EndlessServer& server) {
  const CallerResults results = SendRequests(cluster);
  const long peak = PeakMemory(cluster.gateway(0));
  std::cout << "endpoints " << server.addresses().size() << ": peak "
            << peak / 1024 << " MB, questions " << server.questions()
            << ", MB sent " << (server.bytes_sent() >> 20) << ", whole "
            << results.whole << " of " << results.sent << ", slowest "
            << results.slowest.count() << " ms" << std::endl;
  CHECK(peak < kSmallestInstance);
  CHECK(results.whole == results.sent);
  CHECK(results.slowest < kMaxAnswerTime);
}

void CheckServed(EndlessForm form, int endpoints) {
  CAPTURE(static_cast<int>(form), endpoints);
  GatewayCluster cluster(
      {.gateways = 1, .engines = 2, .plain_services = 1, .spares = true});
  const EndlessServer server(form, endpoints);
  AddEntries(cluster, server);
  CheckCallers(cluster, server);
  CHECK(server.questions() >= static_cast<std::uint64_t>(endpoints));
  CHECK(server.questions() <=
        kMaxQuestionsEach * static_cast<std::uint64_t>(endpoints));
}
// Guards against an instance that keeps as much as each of its calls may bear.
TEST_CASE("bodies without end cost an instance less than its memory") {
  CheckServed(EndlessForm::kBody, GENERATE(1, 3, 40));
}

TEST_CASE("heads without end cost an instance less than its memory") {
  CheckServed(EndlessForm::kHead, GENERATE(1, 40));
}

// Guards against a tree of many times the text, and against callers that wait
// while it is built.
TEST_CASE("lists that aren't what was asked for cost no caller its answer") {
  CheckServed(EndlessForm::kList, GENERATE(1, 3, 40));
}

TEST_CASE("events beyond any that can be wanted cost no caller its answer") {
  CheckServed(EndlessForm::kEvents, GENERATE(1, 40));
}

TEST_CASE("answers in order and of two MiB are read at a bounded rate") {
  const int endpoints = GENERATE(1, 40);
  GatewayCluster cluster(
      {.gateways = 1, .engines = 2, .plain_services = 1, .spares = true});
  const EndlessServer server(EndlessForm::kLongEvents, endpoints);
  AddEntries(cluster, server);
  CheckCallers(cluster, server);
  CHECK(server.questions() <=
        kMaxQuestionsEach * static_cast<std::uint64_t>(endpoints));
  // One alone is read; of many, some find no room.
  if (endpoints == 1)
    CHECK(cluster.LogLines("event", "cache_reader_lost").empty());
}

TEST_CASE("a byte a second, in a head or in a body, costs no caller's answer") {
  CheckServed(GENERATE(EndlessForm::kSlowHead, EndlessForm::kSlowBody), 40);
}

// The answers are in order, and read again without a pause that grows.
TEST_CASE("bytes without end behind an answer cost no caller its answer") {
  GatewayCluster cluster(
      {.gateways = 1, .engines = 2, .plain_services = 1, .spares = true});
  const EndlessServer server(EndlessForm::kUnsolicited, 40);
  AddEntries(cluster, server);
  CheckCallers(cluster, server);
}

// Guards against an instance that does nothing but ask engines for reports that
// never come.
TEST_CASE("reports without end cost no caller its answer") {
  GatewayCluster cluster(
      {.gateways = 1, .engines = 2, .plain_services = 1, .spares = true});
  const EndlessServer server(
      GENERATE(EndlessForm::kBody, EndlessForm::kHead, EndlessForm::kList), 40);
  AddEntries(cluster, server, "spares",
             json::array({{{"name", "m1"}, {"version", 0}}}));
  cluster.PublishWeightVersion(1);
  CheckCallers(cluster, server);
}

// Guards against an instance that keeps as much as each of its attempts may
// bear, however many callers there are.
TEST_CASE(
    "callers' answers without end cost an instance less than its memory") {
  constexpr int kCallers = 60;
  const auto form = GENERATE(as<std::optional<EndlessForm>>{}, std::nullopt,
                             EndlessForm::kBody, EndlessForm::kHead);
  GatewayCluster cluster({.gateways = 1,
                          .engines = 2,
                          .plain_services = 1,
                          .slots = kCallers,
                          .spares = true});
  const EndlessServer server(form.value_or(EndlessForm::kBody), 8);
  if (form)
    AddEntries(cluster, server, "engines");
  for (std::size_t i = 0; i < 2 && !form; ++i) {
    REQUIRE(HttpSend(cluster.replica(i).address(), "POST", "/faults",
                     {.body = R"({"endless": 1})"})
                .status == 200);
  }
  std::atomic<int> answered = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    HttpSendOptions options =
        GatewayCluster::StreamRequestOptions("endless-" + std::to_string(i));
    options.body = "body";
    callers.emplace_back([&cluster, &answered, options] {
      for (int j = 0; j < 5; ++j) {
        const HttpAnswer answer =
            HttpSend(cluster.FrontAddress(0), "POST", "/review/1", options);
        answered += answer.status != 0 ? 1 : 0;
      }
    });
  }
  const OtherCallers others =
      AskPlainService(cluster, /*count=*/20, Milliseconds(50));
  for (std::thread& caller : callers)
    caller.join();
  const long peak = PeakMemory(cluster.gateway(0));
  std::cout << "callers: questions " << server.questions() << ", peak "
            << peak / 1024 << " MB, answered " << answered << ", others "
            << others.whole << " of " << others.sent << ", slowest "
            << others.slowest.count() << " ms" << std::endl;
  CHECK(peak < kSmallestInstance);
  CHECK(others.whole == others.sent);
  CHECK(others.slowest < kMaxAnswerTime);
  CHECK(answered == 5 * kCallers);
}

}  // namespace
}  // namespace carobshift
