// Real gateway processes whose replicas, or which themselves, stand still for a
// second while configurations change, under callers that keep their
// connections.

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fuzz/simulation.h"
#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

constexpr int kEvents = 20;
constexpr std::size_t kLongBody = 60000;
// Streams of both kinds, requests that may run once and idempotent ones.
constexpr std::array<const char*, 4> kPaths = {"/review/1", "/ask/1", "/book/1",
                                               "/find/1"};

std::string CompleteStream() {
  std::string text;
  for (int i = 1; i <= kEvents; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: token" + std::to_string(i) +
            "\n\n";
  }
  return text;
}

bool IsStream(const std::string& path) {
  return path.starts_with("/review") || path.starts_with("/ask");
}

// Sends one request after the other over a connection that it keeps.
class KeptCaller {
 public:
  KeptCaller(const NetAddress& gateway, std::string name, std::uint64_t seed)
      : session_(gateway.host, static_cast<Poco::UInt16>(gateway.port)),
        name_(std::move(name)),
        random_(seed) {
    session_.setKeepAlive(true);
    session_.setTimeout(Poco::Timespan(10, 0));
  }

  // Asks until `stop`.
  void Run(const std::atomic<bool>& stop) {
    while (!stop) {
      Ask(kPaths[random_.Below(kPaths.size())]);
      std::this_thread::sleep_for(Milliseconds(random_.Below(50)));
    }
  }
  [[nodiscard]] int served() const { return served_; }
  // Requests without a whole answer.
  [[nodiscard]] const std::vector<std::string>& lost() const { return lost_; }

 private:
  void Ask(const std::string& path) {
    const std::string id = name_ + "-" + std::to_string(++requests_);
    const std::string body(random_.Chance(0.3) ? kLongBody : 10, 'b');
    const std::string expected =
        IsStream(path) ? CompleteStream() : "done " + body;
    try {
      Poco::Net::HTTPResponse response;
      const std::string text = Exchange(path, id, body, response);
      const bool ok = response.getStatus() == 200;
      if (ok && text != expected)
        lost_.push_back(id + " " + path + ": cut short");
      served_ += ok ? 1 : 0;
      if (!response.getKeepAlive())
        session_.reset();
    } catch (const Poco::Exception& e) {
      lost_.push_back(id + " " + path + ": " + e.displayText());
      session_.reset();
    }
  }

  std::string Exchange(const std::string& path,
                       const std::string& id,
                       const std::string& body,
                       Poco::Net::HTTPResponse& response) {
    Poco::Net::HTTPRequest request("POST", path, "HTTP/1.1");
    request.setHost("api.example");
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    request.set("Request-Id", id);
    request.set("Deadline-Ms", "6000");
    request.set("X-Api-Key", GatewayCluster::kKey);
    if (IsStream(path)) {
      request.set("Model", "m1");
      request.set("Token-Counts", "300,50");
      request.set("Prompt-Prefix", "aa:100,bb:100,cc:100");
    }
    session_.sendRequest(request) << body;
    std::string text;
    Poco::StreamCopier::copyToString(session_.receiveResponse(response), text);
    return text;
  }

  Poco::Net::HTTPClientSession session_;
  std::string name_;
  SeededRandom random_;
  int requests_ = 0;
  int served_ = 0;
  std::vector<std::string> lost_;
};

// Stops processes by their ids, and lets them go on after `time`.
void StandStill(const std::vector<Process*>& processes, Milliseconds time) {
  for (Process* process : processes)
    process->Signal(SIGSTOP);
  std::this_thread::sleep_for(time);
  for (Process* process : processes)
    process->Signal(SIGCONT);
}

// A change of the configuration, after which all or some replicas, and in turn
// a gateway, stand still.
void PlayRound(GatewayCluster& cluster, int round, SeededRandom& random) {
  cluster.PutConfig(2 + round,
                    {.timeout = Milliseconds(5000 + 500 * random.Below(3)),
                     .idle_timeout = Milliseconds(3000 + random.Below(2000))});
  std::this_thread::sleep_for(Milliseconds(random.Below(600)));
  std::vector<Process*> stopped;
  const bool all = random.Chance(0.5);
  for (std::size_t i = 0; i < cluster.replicas(); ++i) {
    if (all || random.Chance(0.6))
      stopped.push_back(&cluster.replica(i));
  }
  if (round % 2 == 1)
    stopped.push_back(&cluster.gateway(random.Below(cluster.gateways())));
  StandStill(stopped, Milliseconds(1000 + random.Below(301)));
  std::this_thread::sleep_for(Milliseconds(random.Below(500)));
}

void Play(std::uint64_t seed) {
  constexpr std::size_t kCallers = 24;
  constexpr int kRounds = 3;
  GatewayCluster cluster({.gateways = 2,
                          .engines = 3,
                          .events = kEvents,
                          .event_gap = Milliseconds(40)});
  SeededRandom random(seed);
  std::vector<std::unique_ptr<KeptCaller>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<KeptCaller>(
        cluster.FrontAddress(i % cluster.gateways()),
        "caller" + std::to_string(i), random.Next()));
  }
  std::atomic<bool> stop = false;
  {
    std::vector<std::jthread> threads;
    for (const auto& caller : callers)
      threads.emplace_back([&caller, &stop] { caller->Run(stop); });
    for (int round = 0; round < kRounds; ++round)
      PlayRound(cluster, round, random);
    stop = true;
  }
  INFO("seed " << seed);
  for (const auto& caller : callers) {
    for (const std::string& lost : caller->lost())
      FAIL_CHECK(lost);
    CHECK(caller->served() > 0);
  }
}

// Guards against requests that end without an answer beside a configuration,
// while sound replicas are silent for a second and go on.
TEST_CASE("no request is lost while replicas and gateways stand still") {
  Play(1);
}

// For runs by hand.
TEST_CASE("the same with five more seeds", "[.]") {
  for (std::uint64_t seed = 2; seed <= 6; ++seed)
    Play(seed);
}

}  // namespace
}  // namespace carobshift
