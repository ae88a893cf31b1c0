// Requests that come during the grace period of a planned stop, from callers
// whose connections were open when it began or soon after.

#include <Poco/Exception.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <cstddef>
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
// A refusal comes at once.
constexpr Milliseconds kPromptly{500};

GatewayClusterOptions LongStreams() {
  return {.gateways = 2,
          .events = kEvents,
          .event_gap = kEventGap,
          .timeout = kTimeout};
}

std::string CompleteStream() {
  std::string text;
  for (int i = 1; i <= kEvents; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: token" + std::to_string(i) +
            "\n\n";
  }
  return text;
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
  bool connected = false;
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
    outcome.connected = true;
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

bool IsRefusal(const TimedOutcome& outcome) {
  const HttpAnswer& answer = outcome.answer;
  const json body = answer.Json();
  return answer.status == 503 && answer.failure.empty() &&
         outcome.took < kPromptly && !answer.Header("Retry-After").empty() &&
         answer.Header("Connection") == "close" && body.is_object() &&
         body.at("error").at("run_state") == "not_run";
}

bool IsWhole(const TimedOutcome& outcome) {
  const HttpAnswer& answer = outcome.answer;
  const std::string expected = outcome.request.path.starts_with("/book")
                                   ? "done late"
                                   : CompleteStream();
  return answer.status == 200 && answer.failure.empty() &&
         answer.body == expected;
}

// Checks that the request got a whole answer, was refused at once, or was never
// read.
void CheckNotLost(const GatewayCluster& cluster, const TimedOutcome& outcome) {
  const int runs = RunsOf(cluster, outcome.request.id);
  INFO(outcome.request.id << ": status " << outcome.answer.status << ", "
                          << outcome.answer.body.size() << " bytes, "
                          << outcome.answer.failure << ", after "
                          << outcome.took.count() << " ms, " << runs
                          << " runs");
  const bool unread = outcome.answer.status == 0 && runs == 0;
  const bool refused = IsRefusal(outcome) && runs == 0;
  const bool served = IsWhole(outcome) && runs == 1;
  CHECK((unread || refused || served));
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
    CHECK(outcome.connected);
    CHECK(outcome.answer.status == 0);
    CHECK(RunsOf(stopping.cluster(), outcome.request.id) == 0);
  }
}

// Guards against requests that are passed on late in the grace period and cut
// at its end.
TEST_CASE("a request late in the grace period is answered whole or refused") {
  StoppingGateway stopping(LongStreams());
  const Milliseconds connects{2000};
  const Milliseconds early{1000};
  const auto outcomes = stopping.StopUnder({
      {"review-late", "/review/1", connects, Milliseconds(4000),
       Milliseconds(4000)},
      {"ask-late", "/ask/1", early, Milliseconds(3200), Milliseconds(3200)},
      {"ask-soon", "/ask/1", early, early, early},
      {"review-before-close", "/review/1", connects, Milliseconds(2300),
       Milliseconds(2300)},
      {"body-late", "/ask/1", connects, Milliseconds(2300), Milliseconds(3100)},
      {"book-late", "/book/1", connects, Milliseconds(3500),
       Milliseconds(3500)},
      {"book-body-late", "/book/1", connects, Milliseconds(2300),
       Milliseconds(3100)},
  });
  for (const TimedOutcome& outcome : outcomes)
    CheckNotLost(stopping.cluster(), outcome);
}

// Guards against a stop that refuses what it could still answer.
TEST_CASE("a request whose bound fits into the grace period is served") {
  StoppingGateway stopping(LongStreams());
  const auto outcomes = stopping.StopUnder({
      {"book-soon", "/book/1", Milliseconds(300), Milliseconds(300),
       Milliseconds(300), 2000},
      {"book-body-late", "/book/1", Milliseconds(2000), Milliseconds(2300),
       Milliseconds(3000), 1500},
  });
  for (const TimedOutcome& outcome : outcomes) {
    INFO(outcome.request.id << ": " << outcome.answer.status);
    CHECK(IsWhole(outcome));
  }
}

// Guards against a request behind another one on its connection that is passed
// on by an instance that stops.
TEST_CASE("a request behind another one is not passed on during a stop") {
  StoppingGateway stopping(LongStreams());
  GatewayCluster& cluster = stopping.cluster();
  for (std::size_t i = cluster.engines(); i < cluster.replicas(); ++i) {
    REQUIRE(HttpSend(cluster.replica(i).address(), "POST", "/faults",
                     {.body = R"({"queue_ms": 1500})"})
                .status == 200);
  }
  const bool pipelined = GENERATE(true, false);
  Poco::Net::StreamSocket socket =
      ConnectBlocking(cluster.FrontAddress(0), kTimeout, kTimeout);
  const RequestText first = RequestTo("/book/1", "first", 4000);
  const RequestText next = RequestTo("/ask/1", "next");
  SendBytes(socket, first.head + first.body);
  REQUIRE(WaitUntil([&] { return cluster.State(0).at("open_requests") == 2; }));
  TimedOutcome first_outcome{.request = {.id = "first", .path = "/book/1"}};
  TimedOutcome next_outcome{.request = {.id = "next", .path = "/ask/1"}};
  std::jthread caller([&] {
    if (pipelined)
      SendBytes(socket, next.head + next.body);
    ReadAnswer(socket, MonotonicNow(), first_outcome);
    if (!pipelined)
      SendBytes(socket, next.head + next.body);
    ReadAnswer(socket, MonotonicNow(), next_outcome);
  });
  (void)stopping.StopUnder({});
  caller.join();
  CHECK(IsWhole(first_outcome));
  CheckNotLost(cluster, next_outcome);
}

// Guards against a process that ends as it sees SIGTERM, with requests in its
// sockets that came while it stood still.
TEST_CASE("what came while the process stood still is answered at a stop") {
  GatewayCluster cluster({.gateways = 2});
  cluster.gateway(0).Signal(SIGSTOP);
  Poco::Net::StreamSocket socket =
      ConnectBlocking(cluster.FrontAddress(0), kTimeout, kTimeout);
  const RequestText request = RequestTo("/book/1", "meanwhile", 2000);
  SendBytes(socket, request.head + request.body);
  // Longer than a stopping process accepts connections.
  std::this_thread::sleep_for(Milliseconds(2800));
  cluster.gateway(0).Signal(SIGTERM);
  cluster.gateway(0).Signal(SIGCONT);
  TimedOutcome outcome{.request = {.id = "meanwhile", .path = "/book/1"}};
  ReadAnswer(socket, MonotonicNow(), outcome);
  INFO(outcome.answer.status << " " << outcome.answer.failure);
  CHECK(IsWhole(outcome));
  CHECK(cluster.gateway(0).WaitForExit(Milliseconds(6000)) == 0);
}

// Sends requests to gateway 0, one after the other, for `time`.
std::vector<TimedOutcome> AskFor(const GatewayCluster& cluster,
                                 const std::string& name,
                                 const std::string& path,
                                 Milliseconds time) {
  std::vector<TimedOutcome> outcomes;
  const MonotonicTime end = MonotonicNow() + time;
  while (MonotonicNow() < end) {
    const std::string id = name + "-" + std::to_string(outcomes.size());
    outcomes.push_back(
        Ask(cluster.FrontAddress(0), {id, path}, MonotonicNow()));
  }
  return outcomes;
}

// Guards against requests that are handed over to an instance that stops, and
// cut there.
TEST_CASE("callers are served while the peer that serves them stops") {
  GatewayCluster cluster({.gateways = 3,
                          .events = kEvents,
                          .event_gap = Milliseconds(10),
                          .timeout = kTimeout,
                          .relayed = true});
  cluster.CutPathsToEndpoints(CutForm::kRefused);
  // What is sent while the loss is noticed may be refused.
  REQUIRE(WaitUntil([&] {
    return cluster.Send(0, "POST", "/find/1", {.body = "b"}).body == "done b";
  }));
  std::vector<std::vector<TimedOutcome>> outcomes(6);
  {
    std::list<std::jthread> callers;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
      callers.emplace_back([&cluster, &outcomes, i] {
        outcomes[i] =
            AskFor(cluster, "caller" + std::to_string(i),
                   i % 2 == 0 ? "/ask/1" : "/book/1", Milliseconds(4000));
      });
    }
    SleepUntil(MonotonicNow() + Milliseconds(1000));
    cluster.gateway(1).Signal(SIGTERM);
  }
  CHECK(cluster.gateway(1).WaitForExit(Milliseconds(8000)) == 0);
  for (const auto& of_caller : outcomes) {
    for (const TimedOutcome& outcome : of_caller) {
      INFO(outcome.request.id << ": status " << outcome.answer.status << ", "
                              << outcome.answer.body.size() << " bytes, "
                              << outcome.answer.failure);
      CHECK(IsWhole(outcome));
    }
  }
  cluster.RestorePathsToEndpoints();
}

}  // namespace
}  // namespace carobshift
