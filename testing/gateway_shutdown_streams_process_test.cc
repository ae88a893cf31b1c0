// Requests that a gateway process has taken before a planned stop, and whose
// endpoints end or fall silent around it.

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

// Of GatewayCluster.
constexpr Milliseconds kGrace{6000};
constexpr int kEvents = 30;
constexpr Milliseconds kStreamTime{3000};
constexpr std::size_t kCallers = 6;

GatewayClusterOptions Streaming(int engines) {
  return {.gateways = 1,
          .engines = engines,
          .plain_services = 1,
          .events = kEvents,
          .event_gap = kStreamTime / kEvents,
          .timeout = Milliseconds(20000)};
}

struct CallerResult {
  HttpAnswer answer;
  MonotonicTime end{};
};

// Callers of streams that may be resumed.
class ResumableStreams {
 public:
  explicit ResumableStreams(GatewayCluster& cluster) {
    for (std::size_t i = 0; i < kCallers; ++i) {
      HttpSendOptions options =
          GatewayCluster::StreamRequestOptions("stream-" + std::to_string(i));
      options.timeout = 2 * kGrace;
      threads_.emplace_back(
          [&result = results_[i], options, address = cluster.FrontAddress(0)] {
            result.answer = HttpSend(address, "POST", "/review/1", options);
            result.end = MonotonicNow();
          });
    }
    REQUIRE(WaitUntil(
        [&] { return cluster.State(0).at("open_requests") == kCallers; }));
  }

  // To be called once. Waits for the ends of the streams.
  [[nodiscard]] const std::vector<CallerResult>& Results() {
    threads_.clear();
    return results_;
  }

 private:
  std::vector<CallerResult> results_{kCallers};
  std::vector<std::jthread> threads_;
};

bool IsWhole(const HttpAnswer& answer) {
  return answer.status == 200 && answer.failure.empty() &&
         answer.body.find("token" + std::to_string(kEvents)) !=
             std::string::npos;
}

// Guards against streams that a stop doesn't let go on elsewhere.
TEST_CASE("streams whose endpoint is killed around a stop go on elsewhere") {
  const Milliseconds kill = GENERATE(Milliseconds(-200), Milliseconds(0),
                                     Milliseconds(300), Milliseconds(1200));
  CAPTURE(kill.count());
  GatewayCluster cluster(Streaming(/*engines=*/2));
  ResumableStreams streams(cluster);
  std::this_thread::sleep_for(Milliseconds(1000));
  const MonotonicTime stop = MonotonicNow() + Milliseconds(200);
  if (kill < Milliseconds(0))
    cluster.replica(0).Kill();
  std::this_thread::sleep_until(stop);
  cluster.gateway(0).Signal(SIGTERM);
  if (kill >= Milliseconds(0)) {
    std::this_thread::sleep_until(stop + kill);
    cluster.replica(0).Kill();
  }
  for (const CallerResult& result : streams.Results()) {
    CAPTURE(result.answer.status, result.answer.failure);
    CHECK(IsWhole(result.answer));
  }
  CHECK(cluster.gateway(0).WaitForExit(kGrace) == 0);
}

// Guards against streams that nobody can continue, and that keep the process
// until it is killed.
TEST_CASE("streams whose only endpoint is killed at a stop end before it") {
  GatewayCluster cluster(Streaming(/*engines=*/1));
  ResumableStreams streams(cluster);
  std::this_thread::sleep_for(Milliseconds(1000));
  const MonotonicTime stop = MonotonicNow();
  cluster.gateway(0).Signal(SIGTERM);
  cluster.replica(0).Kill();
  for (const CallerResult& result : streams.Results()) {
    CHECK_FALSE(IsWhole(result.answer));
    CHECK(result.end < stop + kGrace);
  }
  CHECK(cluster.gateway(0).WaitForExit(kGrace) == 0);
}

// Guards against requests that wait for their endpoint at a stop and get no
// answer.
TEST_CASE("requests whose endpoint stands still at a stop get an answer") {
  const Milliseconds before = GENERATE(Milliseconds(0), Milliseconds(500));
  CAPTURE(before.count());
  GatewayCluster cluster(Streaming(/*engines=*/1));
  cluster.replica(0).Signal(SIGSTOP);
  ResumableStreams streams(cluster);
  std::this_thread::sleep_for(before);
  cluster.gateway(0).Signal(SIGTERM);
  for (const CallerResult& result : streams.Results()) {
    CAPTURE(result.answer.status, result.answer.failure);
    CHECK(result.answer.failure.empty());
    CHECK(result.answer.status >= 429);
  }
  CHECK(cluster.gateway(0).WaitForExit(kGrace) == 0);
  cluster.replica(0).Signal(SIGCONT);
}

// Guards against a request that is read in part, and cut without an answer as
// the process ends.
TEST_CASE("a request that arrives in pieces until a stop ends is answered") {
  GatewayCluster cluster(Streaming(/*engines=*/1));
  const NetAddress address = cluster.FrontAddress(0);
  Poco::Net::StreamSocket caller(
      Poco::Net::SocketAddress(address.host, address.port));
  const auto send = [&caller](const std::string& bytes) {
    caller.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  };
  std::string head = "POST /book/1 HTTP/1.1\r\n";
  for (const auto& [name, value] :
       GatewayCluster::StreamRequestOptions("slow").headers)
    head += name + ": " + value + "\r\n";
  send(head + "Content-Length: 100\r\n\r\n");
  std::this_thread::sleep_for(Milliseconds(200));
  cluster.gateway(0).Signal(SIGTERM);
  // Shorter than the time in which the rest of a request has to come.
  const Poco::Timespan pause(0, 400'000);
  while (!caller.poll(pause, Poco::Net::Socket::SELECT_READ))
    send("x");
  std::string reply(4096, ' ');
  const int size =
      caller.receiveBytes(reply.data(), static_cast<int>(reply.size()));
  reply.resize(static_cast<std::size_t>(std::max(size, 0)));
  CHECK(reply.starts_with("HTTP/1.1 408 "));
  CHECK(cluster.gateway(0).WaitForExit(kGrace) == 0);
  CHECK(cluster.TotalRuns() == 0);
}

}  // namespace
}  // namespace carobshift
