// Gateway processes before engines of two software versions, whose events state
// the version.

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

using nlohmann::json;

constexpr int kEvents = 30;
constexpr int kStreams = 16;
// Events that each caller has when the streams are broken.
constexpr int kEventsBeforeBreak = 3;
constexpr Milliseconds kRetryInterval{300};

GatewayClusterOptions TwoVersions(int gateways) {
  return {.gateways = gateways,
          .engines = 4,
          .software = {"v1", "v2"},
          .events = kEvents,
          .event_gap = Milliseconds(40),
          .retry_budget_extra = 1000};
}

// A caller that takes its stream up again, at another gateway if one breaks.
class StreamCaller {
 public:
  StreamCaller(const GatewayCluster& cluster, std::string name)
      : cluster_(cluster), name_(std::move(name)) {}

  // Sends the request, or continues the stream if it has events.
  void SendTo(std::size_t gateway) {
    const std::string request = name_ + "-" + std::to_string(++tries_);
    HttpSendOptions options = GatewayCluster::StreamRequestOptions(request);
    if (last_event_ > 0) {
      options.headers.emplace_back("Last-Event-Id",
                                   std::to_string(last_event_));
      options.headers.emplace_back("Resumes", beginning_);
    }
    options.on_line = [&](std::string_view line) {
      OnLine(request, line);
      return true;
    };
    status_ =
        HttpSend(cluster_.FrontAddress(gateway), "POST", "/review/1", options)
            .status;
  }

  // Takes the stream up until it is whole, at most `tries` times.
  void TakeUpAt(std::size_t gateway, int tries) {
    for (int i = 0; i < tries && !whole(); ++i) {
      if (i > 0)
        std::this_thread::sleep_for(kRetryInterval);
      SendTo(gateway);
    }
  }

  [[nodiscard]] int events() const { return last_event_; }
  [[nodiscard]] bool whole() const { return last_event_ == kEvents; }
  [[nodiscard]] bool gap() const { return gap_; }
  [[nodiscard]] const std::set<std::string>& versions() const {
    return versions_;
  }
  [[nodiscard]] int status() const { return status_; }

 private:
  void OnLine(const std::string& request, std::string_view line) {
    constexpr std::string_view kId = "id: ";
    constexpr std::string_view kOf = " of ";
    if (line.starts_with(kId)) {
      number_ = std::stoi(std::string(line.substr(kId.size())));
      return;
    }
    const std::size_t of = line.find(kOf);
    if (of == std::string_view::npos)
      return;
    std::string version(line.substr(of + kOf.size()));
    version.erase(version.find_last_not_of("\r\n") + 1);
    versions_.insert(version);
    if (last_event_ == 0)
      beginning_ = request;
    gap_ = gap_ || number_ != last_event_ + 1;
    last_event_ = number_;
  }

  const GatewayCluster& cluster_;
  std::string name_;
  int tries_ = 0;
  int number_ = 0;
  std::atomic<int> last_event_ = 0;
  std::string beginning_;
  std::set<std::string> versions_;
  bool gap_ = false;
  int status_ = 0;
};

struct Outcome {
  int mixed = 0;
  int whole = 0;
  int gaps = 0;
};

Outcome OutcomeOf(const std::vector<std::unique_ptr<StreamCaller>>& callers) {
  Outcome outcome;
  for (const auto& caller : callers) {
    outcome.mixed += caller->versions().size() > 1 ? 1 : 0;
    outcome.whole += caller->whole() ? 1 : 0;
    outcome.gaps += caller->gap() ? 1 : 0;
  }
  return outcome;
}

std::vector<std::unique_ptr<StreamCaller>> MakeCallers(
    const GatewayCluster& cluster) {
  std::vector<std::unique_ptr<StreamCaller>> callers;
  for (int i = 0; i < kStreams; ++i) {
    callers.push_back(
        std::make_unique<StreamCaller>(cluster, "caller-" + std::to_string(i)));
  }
  return callers;
}

// Begins all streams at gateway 0, calls `break_streams` when each has events,
// and continues those that broke at the gateways `others` in turn. Each caller
// tries `tries` times.
template <typename BreakStreams>
std::vector<std::unique_ptr<StreamCaller>> BreakAndTakeUpAll(
    const GatewayCluster& cluster,
    const std::vector<std::size_t>& others,
    const BreakStreams& break_streams,
    int tries = 1) {
  auto callers = MakeCallers(cluster);
  {
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < callers.size(); ++i) {
      threads.emplace_back([&, i] {
        callers[i]->SendTo(0);
        callers[i]->TakeUpAt(others[i % others.size()], tries);
      });
    }
    REQUIRE(WaitUntil([&] {
      return std::all_of(callers.begin(), callers.end(), [](const auto& one) {
        return one->events() >= kEventsBeforeBreak;
      });
    }));
    break_streams();
  }
  return callers;
}

template <typename BreakStreams>
Outcome BreakAndTakeUp(const GatewayCluster& cluster,
                       const std::vector<std::size_t>& others,
                       const BreakStreams& break_streams) {
  return OutcomeOf(BreakAndTakeUpAll(cluster, others, break_streams));
}

// Guards against streams that callers take up again at another software version
// than the one that began them.
TEST_CASE("streams taken up after a killed gateway stay at their software") {
  GatewayCluster cluster(TwoVersions(/*gateways=*/3));
  const Outcome outcome =
      BreakAndTakeUp(cluster, {1, 2}, [&] { cluster.gateway(0).Kill(); });
  CHECK(outcome.mixed == 0);
  CHECK(outcome.gaps == 0);
  CHECK(outcome.whole > kStreams / 2);
}

// Guards against streams of a version that has crashed to its last endpoint and
// that go on at another version, which has room.
TEST_CASE("streams go on at the last endpoint of their software") {
  GatewayCluster cluster(TwoVersions(/*gateways=*/3));
  const Outcome outcome = BreakAndTakeUp(cluster, {1, 2}, [&] {
    cluster.replica(0).Kill();
    cluster.gateway(0).Kill();
  });
  CHECK(outcome.mixed == 0);
  CHECK(outcome.gaps == 0);
  CHECK(outcome.whole > kStreams / 2);
}

// Guards against streams that go on at another version because theirs is gone,
// and against refusals of the other version's streams for that reason.
TEST_CASE("streams end with the last endpoint of their software") {
  GatewayCluster cluster(TwoVersions(/*gateways=*/3));
  const auto callers = BreakAndTakeUpAll(cluster, {1, 2}, [&] {
    for (const std::size_t old : {0, 2}) {
      cluster.PutReplica(old, "");
      cluster.replica(old).Kill();
    }
    cluster.gateway(0).Kill();
  });
  const Outcome outcome = OutcomeOf(callers);
  CHECK(outcome.mixed == 0);
  CHECK(outcome.gaps == 0);
  for (const auto& caller : callers) {
    const bool at_old = caller->versions().contains("v1");
    CHECK(caller->whole() != at_old);
    if (at_old)
      CHECK(caller->status() == 503);
  }
}

// Guards against streams that change their version because the gateway that
// began them can no longer reach any endpoint.
TEST_CASE("streams of a gateway that is cut off stay at their software") {
  for (const CutForm form : {CutForm::kRefused, CutForm::kHang}) {
    GatewayClusterOptions options = TwoVersions(/*gateways=*/3);
    options.relayed = true;
    GatewayCluster cluster(options);
    const Outcome outcome = BreakAndTakeUp(
        cluster, {1, 2}, [&] { cluster.CutPathsToEndpoints(form); });
    CHECK(outcome.mixed == 0);
    CHECK(outcome.gaps == 0);
    CHECK(outcome.whole > kStreams / 2);
  }
}

// Guards against streams that change their version when a rollout is undone:
// the old version's endpoints are listed again while the new one's leave.
TEST_CASE("streams stay at their software while a rollout is rolled back") {
  GatewayCluster cluster(TwoVersions(/*gateways=*/3));
  for (const std::size_t old : {0, 2})
    cluster.PutReplica(old, "draining");
  const Outcome outcome = BreakAndTakeUp(cluster, {1, 2}, [&] {
    // One that has said that it leaves comes back as another incarnation.
    cluster.PutReplica(0, "ready", /*start_time=*/1);
    cluster.PutReplica(2, "ready", /*start_time=*/1);
    cluster.PutReplica(1, "draining");
    cluster.gateway(0).Kill();
  });
  CHECK(outcome.mixed == 0);
  CHECK(outcome.gaps == 0);
  CHECK(outcome.whole > kStreams / 2);
}

// Guards against streams that are lost because the gateway to which their
// callers return has just started and remembers nothing.
TEST_CASE("streams are taken up at the gateway that has started again") {
  GatewayCluster cluster(TwoVersions(/*gateways=*/3));
  const Outcome outcome = OutcomeOf(BreakAndTakeUpAll(
      cluster, {0},
      [&] {
        cluster.gateway(0).Kill();
        cluster.StartGateway(0);
      },
      /*tries=*/10));
  CHECK(outcome.mixed == 0);
  CHECK(outcome.gaps == 0);
  CHECK(outcome.whole > kStreams / 2);
}

// Guards against a guess after all gateways have lost their memory.
TEST_CASE("streams that no gateway knows are refused") {
  GatewayCluster cluster(TwoVersions(/*gateways=*/3));
  const auto callers = BreakAndTakeUpAll(
      cluster, {0, 1, 2},
      [&] {
        for (std::size_t i = 0; i < cluster.gateways(); ++i)
          cluster.gateway(i).Kill();
        for (std::size_t i = 0; i < cluster.gateways(); ++i)
          cluster.StartGateway(i);
      },
      /*tries=*/10);
  CHECK(OutcomeOf(callers).mixed == 0);
  for (const auto& caller : callers) {
    CHECK_FALSE(caller->whole());
    CHECK(caller->status() == 503);
  }
}

// Guards against streams that a gateway resumes within one answer at another
// software version.
TEST_CASE("streams resumed by a gateway stay at their software") {
  GatewayCluster cluster(TwoVersions(/*gateways=*/1));
  const auto callers = MakeCallers(cluster);
  for (const auto& caller : callers) {
    for (std::size_t i = 0; i < cluster.engines(); ++i) {
      REQUIRE(HttpSend(cluster.replica(i).address(), "POST", "/faults",
                       {.body = R"({"break_after":3})"})
                  .status == 200);
    }
    caller->SendTo(0);
  }
  const Outcome outcome = OutcomeOf(callers);
  CHECK(outcome.mixed == 0);
  CHECK(outcome.gaps == 0);
  CHECK(outcome.whole > kStreams / 2);
}

}  // namespace
}  // namespace carobshift
