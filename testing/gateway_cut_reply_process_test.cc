// Endpoints whose connection ends within the head or the body of an answer. By
// default a sample of the places is tried; with CAROBSHIFT_ALL_CUTS set, each
// byte is.

#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

using nlohmann::json;

constexpr int kEvents = 3;

// How the connection ends, and on which one.
struct CutSeries {
  std::string framing;
  bool reset = false;
  // The request goes over a connection that has served another one.
  bool kept = false;
};

std::vector<CutSeries> AllSeries() {
  std::vector<CutSeries> all;
  for (const char* framing : {"length", "chunks", "until_close"}) {
    for (const bool reset : {false, true}) {
      for (const bool kept : {false, true})
        all.push_back({framing, reset, kept});
    }
  }
  return all;
}

// A cluster with one endpoint of each kind, so that it is known which one a
// request reaches.
class CutCluster {
 public:
  CutCluster()
      : cluster_({.gateways = 1,
                  .engines = 1,
                  .plain_services = 1,
                  .events = kEvents,
                  .event_gap = Milliseconds(1),
                  .retry_budget_extra = 100000}) {}

  // The endpoint that serves `path`.
  [[nodiscard]] static std::size_t EndpointOf(const std::string& route) {
    return route == "review" || route == "ask" ? 0 : 1;
  }

  // Ends the connection of the next request that runs.
  void SetCut(const std::string& route,
              const CutSeries& series,
              std::size_t bytes) {
    SetFaults(route, {{"until_close", series.kept ? 0 : 1},
                      {"cut",
                       {{"bytes", bytes},
                        {"reset", series.reset},
                        {"framing", series.framing}}}});
  }
  void SetFaults(const std::string& route, const json& faults) {
    REQUIRE(HttpSend(cluster_.replica(EndpointOf(route)).address(), "POST",
                     "/faults", {.body = faults.dump()})
                .status == 200);
  }

  // Each request has a body, a path and prompt parts of its own, so that none
  // is taken for one that crashes endpoints. Their ids have the same length,
  // and so do the responses.
  HttpAnswer Send(const std::string& route) {
    ++number_;
    HttpSendOptions options;
    options.body = Body();
    options.headers = {{"Request-Id", RequestId()}};
    const std::string number = std::to_string(number_);
    if (EndpointOf(route) == 0) {
      options.headers.emplace_back("Prompt-Prefix",
                                   "a" + number + ":100,b" + number + ":200");
    }
    return cluster_.Send(0, "POST", "/" + route + "/" + number, options);
  }
  [[nodiscard]] std::string RequestId() const {
    return "cut-" + std::to_string(number_);
  }
  [[nodiscard]] std::string Body() const {
    return "body-" + std::to_string(number_);
  }
  [[nodiscard]] std::string WholeAnswer(const std::string& route) const {
    if (EndpointOf(route) == 1)
      return "done " + Body();
    std::string text;
    for (int i = 1; i <= kEvents; ++i) {
      text += "id: " + std::to_string(i) + "\ndata: token" + std::to_string(i) +
              "\n\n";
    }
    return text;
  }

  // What ends between two events without a length can't be told from a whole
  // stream, unless the connection is reset.
  [[nodiscard]] bool IsWholeStream(const HttpAnswer& answer,
                                   const CutSeries& series) const {
    const std::string whole = WholeAnswer("review");
    const bool ends_with_connection =
        series.framing == "until_close" && !series.reset;
    return answer.body == whole ||
           (ends_with_connection && answer.body.ends_with("\n\n") &&
            whole.starts_with(answer.body));
  }

  // How often the latest request has run.
  [[nodiscard]] int Runs(const std::string& route) const {
    int count = 0;
    const json report = cluster_.RunsOf(EndpointOf(route));
    for (const json& run : report.at("runs")) {
      if (run.at("request") == RequestId())
        ++count;
    }
    return count;
  }
  // Waits until the gateway, which has just started, may retry many requests.
  void WaitForRetries(const std::string& route) {
    constexpr int kInARow = 30;
    int count = 0;
    REQUIRE(WaitUntil([&] {
      SetCut(route, {.framing = "length"}, 0);
      const HttpAnswer answer = Send(route);
      count = answer.body == WholeAnswer(route) ? count + 1 : 0;
      return count >= kInARow;
    }));
  }
  // The sizes of the latest response that was cut.
  [[nodiscard]] json CutResponse(const std::string& route) const {
    return cluster_.RunsOf(EndpointOf(route)).at("cut_response");
  }

 private:
  GatewayCluster cluster_;
  int number_ = 100000;
};

// Sizes at which a response is cut: all, or a sample that contains the end of
// the head.
std::vector<std::size_t> CutSizes(std::size_t head_size, std::size_t size) {
  constexpr std::size_t kStep = 29;
  const bool all = std::getenv("CAROBSHIFT_ALL_CUTS") != nullptr;
  std::vector<std::size_t> sizes;
  for (std::size_t bytes = 0; bytes <= size; ++bytes) {
    const bool near_end = bytes + 2 >= head_size && bytes <= head_size + 1;
    if (all || near_end || bytes % kStep == 15 || bytes + 1 >= size)
      sizes.push_back(bytes);
  }
  return sizes;
}

// Calls `check` with the size of each cut, after a request whose answer was cut
// there. `sizes` are those of the whole response.
template <typename Check>
void ForEachCut(CutCluster& cluster,
                const std::string& route,
                const CutSeries& series,
                Check check) {
  cluster.SetCut(route, series, 0);
  (void)cluster.Send(route);
  const json whole = cluster.CutResponse(route);
  const auto head_size = whole.at("head_size").get<std::size_t>();
  const auto size = whole.at("size").get<std::size_t>();
  REQUIRE(size > head_size);
  for (const std::size_t bytes : CutSizes(head_size, size)) {
    // A whole answer, which leaves a connection or ends it. After it, the
    // endpoint counts as sound again.
    cluster.SetFaults(route, {{"until_close", series.kept ? 0 : 1}});
    REQUIRE(WaitUntil([&] {
      const HttpAnswer answer = cluster.Send(route);
      return answer.body == cluster.WholeAnswer(route);
    }));
    cluster.SetCut(route, series, bytes);
    CAPTURE(route, series.framing, series.reset, series.kept, bytes, head_size,
            size);
    const HttpAnswer answer = cluster.Send(route);
    REQUIRE(cluster.Runs(route) >= 1);
    // A body without a length whose connection is closed can't be told from a
    // whole one.
    const bool looks_whole =
        series.framing == "until_close" && !series.reset && bytes >= head_size;
    check(answer, bytes, size, looks_whole);
  }
}

// Guards against an answer that breaks off and is passed on as whole, and
// against one that is lost although the request may run again.
TEST_CASE("an idempotent request whose answer breaks off runs again") {
  CutCluster cluster;
  cluster.WaitForRetries("find");
  for (const CutSeries& series : AllSeries()) {
    ForEachCut(cluster, "find", series,
               [&](const HttpAnswer& answer, std::size_t, std::size_t,
                   bool looks_whole) {
                 if (looks_whole)
                   return;
                 CHECK(answer.failure.empty());
                 CHECK(answer.status == 200);
                 CHECK(answer.body == cluster.WholeAnswer("find"));
               });
  }
}

// Guards against a booking that runs twice, or is said not to have run, after
// its answer broke off.
TEST_CASE("a booking whose answer breaks off runs once, and isn't refused") {
  CutCluster cluster;
  for (const CutSeries& series : AllSeries()) {
    ForEachCut(cluster, "book", series,
               [&](const HttpAnswer& answer, std::size_t bytes,
                   std::size_t size, bool looks_whole) {
                 CHECK(cluster.Runs("book") == 1);
                 CHECK(answer.failure.empty());
                 const bool whole = bytes == size;
                 if (answer.status == 200 && !looks_whole) {
                   CHECK(whole);
                   CHECK(answer.body == cluster.WholeAnswer("book"));
                 } else if (answer.status != 200) {
                   CHECK(answer.status == 502);
                   CHECK(answer.Json().at("error").at("run_state") ==
                         "outcome_unknown");
                   CHECK((!whole || series.reset));
                 }
               });
  }
}

// Guards against a stream whose answer breaks off and which ends as whole, also
// before its first event.
TEST_CASE("a stream whose answer breaks off goes on") {
  CutCluster cluster;
  cluster.WaitForRetries("review");
  for (const CutSeries& series : AllSeries()) {
    ForEachCut(cluster, "review", series,
               [&](const HttpAnswer& answer, std::size_t, std::size_t, bool) {
                 CHECK(answer.failure.empty());
                 CHECK(answer.status == 200);
                 CHECK(cluster.IsWholeStream(answer, series));
               });
  }
}

// Guards against the same in a stream that may run only once.
TEST_CASE("a stream that may not go on breaks off visibly, and runs once") {
  CutCluster cluster;
  for (const CutSeries& series : AllSeries()) {
    ForEachCut(cluster, "ask", series,
               [&](const HttpAnswer& answer, std::size_t, std::size_t, bool) {
                 CHECK(cluster.Runs("ask") == 1);
                 if (!answer.failure.empty()) {
                   CHECK(cluster.WholeAnswer("ask").starts_with(answer.body));
                 } else if (answer.status != 200) {
                   CHECK(answer.status == 502);
                   CHECK(answer.Json().at("error").at("run_state") ==
                         "outcome_unknown");
                 } else {
                   CHECK(cluster.IsWholeStream(answer, series));
                 }
               });
  }
}

}  // namespace
}  // namespace carobshift
