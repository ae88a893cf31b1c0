// Requests that come during the grace period of a planned stop, from callers
// whose connections were open when it began or soon after.

#include <Poco/Exception.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <list>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "carobshift/net/blocking_http_call.h"
#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

using nlohmann::json;

constexpr int kEvents = 60;
// A stream of kEvents lasts twice as long as the grace period.
constexpr Milliseconds kEventGap{200};
constexpr Milliseconds kTimeout{20000};

GatewayClusterOptions LongStreams() {
  return {.gateways = 2,
          .events = kEvents,
          .event_gap = kEventGap,
          .timeout = kTimeout};
}

void SleepUntil(MonotonicTime time) {
  std::this_thread::sleep_until(time);
}

struct RequestText {
  std::string head;
  std::string body;
};

// `deadline_ms` limits how long the request may take.
RequestText RequestTo(const std::string& path,
                      const std::string& id,
                      int deadline_ms = 15000) {
  RequestText text;
  text.body = "late";
  HttpHead head;
  head.method = "POST";
  head.target = path;
  head.Set("Host", "api.example");
  head.Set("Content-Length", std::to_string(text.body.size()));
  head.Set("Request-Id", id);
  head.Set("Deadline-Ms", std::to_string(deadline_ms));
  head.Set("X-Api-Key", GatewayCluster::kKey);
  if (!path.starts_with("/book")) {
    head.Set("Model", "m1");
    head.Set("Token-Counts", "300,50");
    head.Set("Prompt-Prefix", "aa:100,bb:100,cc:100");
  }
  text.head = SerializeRequestHead(head);
  return text;
}

// A request with times after the stop's beginning.
struct TimedRequest {
  std::string id;
  std::string path;
  Milliseconds connects{0};
  Milliseconds sends_head{0};
  Milliseconds sends_body{0};
  int deadline_ms = 15000;
};

struct TimedOutcome {
  TimedRequest request{};
  HttpAnswer answer{};
  // From the last byte of the request to the end of the answer.
  Milliseconds took{0};
};

// Reads the answer to a request whose last byte was sent at `sent`.
void ReadAnswer(Poco::Net::StreamSocket& socket,
                MonotonicTime sent,
                TimedOutcome& outcome) {
  HttpAnswer& answer = outcome.answer;
  try {
    BlockingHttpCall call(socket);
    const HttpHead& head = call.ReadHead();
    answer.status = head.status;
    for (const HttpField& field : head.fields)
      answer.headers.emplace_back(field.name, field.value);
    while (call.ReadBody(answer.body)) {
    }
  } catch (const Poco::Exception& error) {
    answer.failure = error.displayText();
  }
  outcome.took =
      std::chrono::duration_cast<Milliseconds>(MonotonicNow() - sent);
}

void SendBytes(Poco::Net::StreamSocket& socket, const std::string& bytes) {
  try {
    BlockingHttpCall(socket).Send(bytes);
  } catch (const Poco::Exception&) {
    // Seen by the functions that read.
  }
}

TimedOutcome Ask(const NetAddress& gateway,
                 const TimedRequest& request,
                 MonotonicTime stop) {
  TimedOutcome outcome{.request = request};
  try {
    SleepUntil(stop + request.connects);
    Poco::Net::StreamSocket socket =
        ConnectBlocking(gateway, kTimeout, kTimeout);
    const RequestText text =
        RequestTo(request.path, request.id, request.deadline_ms);
    SleepUntil(stop + request.sends_head);
    SendBytes(socket, text.head);
    SleepUntil(stop + request.sends_body);
    const MonotonicTime sent = MonotonicNow();
    SendBytes(socket, text.body);
    ReadAnswer(socket, sent, outcome);
  } catch (const Poco::Exception& error) {
    outcome.answer.failure = error.displayText();
  }
  return outcome;
}

int RunsOf(const GatewayCluster& cluster, const std::string& request) {
  int runs = 0;
  for (std::size_t i = 0; i < cluster.replicas(); ++i) {
    const json answer = cluster.RunsOf(i);
    for (const json& run : answer.at("runs"))
      runs += run.at("request") == request ? 1 : 0;
  }
  return runs;
}

// Callers of gateway 0, which is about to stop and has an open stream, so that
// it stays for its whole grace period.
class StoppingGateway {
 public:
  explicit StoppingGateway(const GatewayClusterOptions& options)
      : cluster_(options) {
    open_stream_ = std::jthread([this] {
      HttpSendOptions options;
      options.headers = {{"Deadline-Ms", "15000"}};
      (void)cluster_.Send(0, "POST", "/review/1", options);
    });
    REQUIRE(WaitUntil(
        [this] { return cluster_.State(0).at("open_requests") == 1; }));
  }

  // Sends SIGTERM, and the requests at their times. Returns when all are over.
  std::list<TimedOutcome> StopUnder(const std::vector<TimedRequest>& requests) {
    const MonotonicTime stop = MonotonicNow();
    cluster_.gateway(0).Signal(SIGTERM);
    std::list<TimedOutcome> outcomes;
    {
      std::list<std::jthread> callers;
      for (const TimedRequest& request : requests) {
        TimedOutcome& outcome = outcomes.emplace_back();
        callers.emplace_back([&outcome, request, stop, this] {
          outcome = Ask(cluster_.FrontAddress(0), request, stop);
        });
      }
    }
    CHECK(cluster_.gateway(0).WaitForExit(Milliseconds(8000)) == 0);
    return outcomes;
  }
  [[nodiscard]] GatewayCluster& cluster() { return cluster_; }

 private:
  GatewayCluster cluster_;
  std::jthread open_stream_;
};

// Guards against connections that stay open for a late request, whose caller
// could have sent it elsewhere.
TEST_CASE("a connection without a request is closed in the grace period") {
  StoppingGateway stopping(LongStreams());
  const auto outcomes = stopping.StopUnder({
      {"book-late", "/book/1", Milliseconds(1000), Milliseconds(3500),
       Milliseconds(3500), 600},
      {"review-late", "/review/1", Milliseconds(2000), Milliseconds(4000),
       Milliseconds(4000)},
  });
  for (const TimedOutcome& outcome : outcomes) {
    INFO(outcome.request.id << ": status " << outcome.answer.status);
    CHECK(outcome.answer.status == 0);
    CHECK(RunsOf(stopping.cluster(), outcome.request.id) == 0);
  }
}

}  // namespace
}  // namespace carobshift
