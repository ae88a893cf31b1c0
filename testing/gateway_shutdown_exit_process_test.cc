// Gateway processes at the end of a planned stop: each open request gets its
// last answer before the process is killed, and no reply is lost on the way
// out.

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

// Of GatewayCluster. SIGKILL follows SIGTERM after it.
constexpr Milliseconds kGrace{6000};

void SetQueue(GatewayCluster& cluster, Milliseconds time) {
  const std::string fault = nlohmann::json{{"queue_ms", time.count()}}.dump();
  for (std::size_t i = cluster.engines(); i < cluster.replicas(); ++i) {
    REQUIRE(HttpSend(cluster.replica(i).address(), "POST", "/faults",
                     {.body = fault})
                .status == 200);
  }
}

// Callers whose requests wait for the plain services until after the stop.
class WaitingCallers {
 public:
  WaitingCallers(GatewayCluster& cluster, std::size_t count) : answers_(count) {
    SetQueue(cluster, 4 * kGrace);
    for (std::size_t i = 0; i < count; ++i) {
      HttpSendOptions options;
      options.headers = {{"Host", "api.example"},
                         {"Request-Id", "waiting-" + std::to_string(i)},
                         {"Deadline-Ms", "15000"},
                         {"X-Api-Key", GatewayCluster::kKey}};
      options.timeout = 2 * kGrace;
      threads_.emplace_back(
          [this, i, options, address = cluster.FrontAddress(0)] {
            answers_[i] = HttpSend(address, "POST", "/book/1", options);
          });
    }
    REQUIRE(WaitUntil(
        [&] { return cluster.State(0).at("open_requests") == count; }));
  }

  // To be called once, when the process has ended.
  [[nodiscard]] std::vector<int> Statuses() {
    threads_.clear();
    std::vector<int> statuses;
    for (const HttpAnswer& answer : answers_)
      statuses.push_back(answer.failure.empty() ? answer.status : 0);
    return statuses;
  }

 private:
  std::vector<HttpAnswer> answers_;
  std::vector<std::jthread> threads_;
};

GatewayClusterOptions OneGateway() {
  return {.gateways = 1,
          .engines = 1,
          .plain_services = 1,
          .timeout = Milliseconds(20000)};
}

// Kills the process as the platform does, unless it has ended. Returns its exit
// status.
std::optional<int> EndLikePlatform(Process& process, MonotonicTime stop) {
  std::this_thread::sleep_until(stop);
  std::optional<int> status = process.WaitForExit(
      std::chrono::duration_cast<Milliseconds>(stop + kGrace - MonotonicNow()));
  process.Kill();
  return status;
}

// Guards against requests that are lost without a word, since the grace period
// was counted from the end of a standstill and the process was killed before.
TEST_CASE("a process that stood still at SIGTERM answers before it is killed") {
  const Milliseconds standstill =
      GENERATE(Milliseconds(300), Milliseconds(1500), Milliseconds(3000),
               Milliseconds(5450), Milliseconds(5700));
  CAPTURE(standstill.count());
  GatewayCluster cluster(OneGateway());
  WaitingCallers callers(cluster, 5);
  Process& gateway = cluster.gateway(0);
  // By then the process waits for its sockets.
  std::this_thread::sleep_for(Milliseconds(50));
  gateway.Signal(SIGSTOP);
  const MonotonicTime stop = MonotonicNow();
  gateway.Signal(SIGTERM);
  std::this_thread::sleep_until(stop + standstill);
  gateway.Signal(SIGCONT);
  const std::optional<int> exit_status = EndLikePlatform(gateway, stop);
  CHECK(callers.Statuses() == std::vector<int>(5, 504));
  CHECK(cluster.LogLines("event", "stop_cuts_request").size() == 5);
  CHECK(exit_status == 0);
}

// Guards against the same after a standstill within the grace period.
TEST_CASE("a process that stood still after SIGTERM answers before the end") {
  GatewayCluster cluster(OneGateway());
  WaitingCallers callers(cluster, 5);
  Process& gateway = cluster.gateway(0);
  const MonotonicTime stop = MonotonicNow();
  gateway.Signal(SIGTERM);
  std::this_thread::sleep_until(stop + Milliseconds(300));
  gateway.Signal(SIGSTOP);
  std::this_thread::sleep_until(stop + Milliseconds(5700));
  gateway.Signal(SIGCONT);
  const std::optional<int> exit_status = EndLikePlatform(gateway, stop);
  CHECK(callers.Statuses() == std::vector<int>(5, 504));
  CHECK(exit_status == 0);
}

// Guards against a stop that another signal begins anew, or ends at once.
TEST_CASE("further signals don't change a planned stop") {
  GatewayCluster cluster(OneGateway());
  WaitingCallers callers(cluster, 5);
  Process& gateway = cluster.gateway(0);
  gateway.Signal(SIGHUP);
  const MonotonicTime stop = MonotonicNow();
  gateway.Signal(SIGTERM);
  for (const int signal : {SIGTERM, SIGHUP, SIGINT, SIGTERM, SIGHUP}) {
    std::this_thread::sleep_for(Milliseconds(700));
    gateway.Signal(signal);
  }
  const std::optional<int> exit_status = EndLikePlatform(gateway, stop);
  CHECK(callers.Statuses() == std::vector<int>(5, 504));
  CHECK(exit_status == 0);
}

// A caller that keeps its connection.
class KeptConnection {
 public:
  // As little as the kernel allows.
  static constexpr int kSmallBuffer = 4096;

  explicit KeptConnection(const NetAddress& address, int receive_buffer = 0) {
    socket_.init(AF_INET);
    if (receive_buffer > 0)
      socket_.setReceiveBufferSize(receive_buffer);
    socket_.connect(Poco::Net::SocketAddress(address.host, address.port));
    socket_.setReceiveTimeout(Poco::Timespan(8, 0));
  }

  void Send(const std::string& path,
            const std::string& request,
            const std::string& body = "",
            const std::string& deadline_ms = "15000") {
    std::string text = "POST " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] :
         GatewayCluster::StreamRequestOptions(request).headers)
      text +=
          name + ": " + (name == "Deadline-Ms" ? deadline_ms : value) + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    text += body;
    try {
      for (std::size_t at = 0; at < text.size();)
        at += static_cast<std::size_t>(socket_.sendBytes(
            text.data() + at, static_cast<int>(text.size() - at)));
    } catch (const Poco::Exception&) {
      // The end is seen by the next read.
    }
  }

  // Reads at most `most` bytes. Returns false at the end of the connection.
  bool Read(std::size_t most = std::size_t{64} << 10) {
    std::string buffer(most, ' ');
    try {
      const int size =
          socket_.receiveBytes(buffer.data(), static_cast<int>(most));
      if (size <= 0)
        return false;
      received_.append(buffer, 0, static_cast<std::size_t>(size));
      return true;
    } catch (const Poco::Exception&) {
      reset_ = true;
      return false;
    }
  }
  // Reads until `text` has arrived or the connection ends.
  void ReadUntil(std::string_view text) {
    while (received_.find(text) == std::string::npos && Read()) {
    }
  }
  void ReadToEnd() {
    while (Read()) {
    }
  }
  [[nodiscard]] const std::string& received() const { return received_; }
  // Removes and returns what has been received.
  std::string Take() { return std::exchange(received_, {}); }
  // Whether the other side reset the connection, as it does if it closes it
  // before it has read all.
  [[nodiscard]] bool WasReset() {
    std::this_thread::sleep_for(Milliseconds(50));
    int error = 0;
    socket_.impl()->getOption(SOL_SOCKET, SO_ERROR, error);
    return reset_ || error != 0;
  }

 private:
  Poco::Net::StreamSocket socket_;
  std::string received_;
  bool reset_ = false;
};

constexpr std::string_view kStreamEnd = "0\r\n\r\n";
constexpr int kEvents = 30;
constexpr Milliseconds kStreamTime{3000};

GatewayClusterOptions StreamingGateway() {
  GatewayClusterOptions options = OneGateway();
  options.events = kEvents;
  options.event_gap = kStreamTime / kEvents;
  return options;
}

bool HasRun(const GatewayCluster& cluster, const std::string& request) {
  for (std::size_t i = 0; i < cluster.replicas(); ++i) {
    for (const auto& run : cluster.RunsOf(i).at("runs")) {
      if (run.at("request") == request)
        return true;
    }
  }
  return false;
}

// Guards against a request that is read and thrown away, so that its caller
// may not send it again.
TEST_CASE("a request behind a stream is answered or stays unread at a stop") {
  // Of the stream at SIGTERM.
  const Milliseconds age = GENERATE(Milliseconds(300), Milliseconds(1500));
  const bool pipelined = GENERATE(false, true);
  CAPTURE(age.count(), pipelined);
  GatewayCluster cluster(StreamingGateway());
  KeptConnection caller(cluster.FrontAddress(0));
  caller.Send("/review/1", "first");
  caller.ReadUntil("token1");
  std::this_thread::sleep_for(age);
  cluster.gateway(0).Signal(SIGTERM);
  if (pipelined)
    caller.Send("/book/1", "second");
  caller.ReadUntil(kStreamEnd);
  const std::string stream = caller.Take();
  CHECK(stream.find("token" + std::to_string(kEvents)) != std::string::npos);
  if (!pipelined)
    caller.Send("/book/1", "second");
  caller.ReadToEnd();
  const std::string rest =
      stream.substr(stream.find(kStreamEnd) + kStreamEnd.size()) +
      caller.received();
  CAPTURE(rest);
  const bool answered = rest.starts_with("HTTP/1.1 ");
  CHECK((answered || (!pipelined && caller.WasReset())));
  CHECK((answered || !HasRun(cluster, "second")));
  CHECK(cluster.gateway(0).WaitForExit(kGrace) == 0);
}

// Sends a request as its stream ends. Returns whether the stream is whole, and
// the request answered or left unread.
bool IsServedOrUnread(const GatewayCluster& cluster, int number) {
  const std::string request = std::to_string(number);
  KeptConnection caller(cluster.FrontAddress(0));
  caller.Send("/ask/1", "stream-" + request);
  caller.ReadUntil(kStreamEnd);
  const std::string stream = caller.Take();
  caller.Send("/book/1", "next-" + request);
  caller.ReadToEnd();
  const std::string answer =
      stream.substr(stream.find(kStreamEnd) + kStreamEnd.size()) +
      caller.received();
  return stream.find("token" + std::to_string(kEvents)) != std::string::npos &&
         (answer.starts_with("HTTP/1.1 ") || caller.WasReset());
}

// Guards against the same among callers whose streams end one after the other
// until the process is gone.
TEST_CASE("no caller of many loses a request behind its stream at a stop") {
  GatewayClusterOptions options = StreamingGateway();
  // No stream waits for room and begins after SIGTERM.
  options.engines = 8;
  GatewayCluster cluster(options);
  constexpr int kCallers = 40;
  std::array<bool, kCallers> good{};
  {
    std::vector<std::jthread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([&cluster, &good, i] {
        std::this_thread::sleep_for(i * Milliseconds(50));
        good[static_cast<std::size_t>(i)] = IsServedOrUnread(cluster, i);
      });
    }
    std::this_thread::sleep_for(kCallers * Milliseconds(50));
    cluster.gateway(0).Signal(SIGTERM);
  }
  CHECK(std::count(good.begin(), good.end(), true) == kCallers);
  CHECK(cluster.gateway(0).WaitForExit(kGrace) == 0);
}

// Guards against replies that lose their end, since the process has ended and
// the kernel resets a connection on which more arrives.
TEST_CASE("a process waits until slow callers have taken their replies") {
  GatewayCluster cluster(OneGateway());
  const std::string body(60000, 'x');
  const bool begun_before = GENERATE(true, false);
  CAPTURE(begun_before);
  const auto stop_process = [&] {
    std::this_thread::sleep_for(Milliseconds(100));
    cluster.gateway(0).Signal(SIGTERM);
    return MonotonicNow();
  };
  MonotonicTime stop{};
  if (!begun_before) {
    stop = stop_process();
    std::this_thread::sleep_for(Milliseconds(1800));
  }
  KeptConnection caller(cluster.FrontAddress(0), KeptConnection::kSmallBuffer);
  // Near enough that the request may start during a stop.
  caller.Send("/book/1", "slow", body, "3000");
  if (begun_before)
    stop = stop_process();
  bool sent_more = false;
  while (MonotonicNow() < stop + Milliseconds(5000) && caller.Read(1000)) {
    std::this_thread::sleep_for(Milliseconds(40));
    if (!sent_more && MonotonicNow() >= stop + Milliseconds(2700)) {
      caller.Send("/book/1", "more");
      sent_more = true;
    }
  }
  CHECK(sent_more);
  const std::size_t end = caller.received().find("done " + body);
  REQUIRE(end != std::string::npos);
  const std::string rest = caller.received().substr(end + body.size() + 5);
  CHECK((rest.ends_with("\r\n\r\ndone ") || !HasRun(cluster, "more")));
  CHECK(cluster.gateway(0).WaitForExit(kGrace) == 0);
}

// Callers of one gateway, each with a stream that lasts kStreamTime.
class StreamCallers {
 public:
  StreamCallers(GatewayCluster& cluster, std::size_t gateway, int count)
      : answers_(static_cast<std::size_t>(count)) {
    for (std::size_t i = 0; i < answers_.size(); ++i) {
      HttpSendOptions options = GatewayCluster::StreamRequestOptions(
          "stream-" + std::to_string(gateway) + "-" + std::to_string(i));
      options.timeout = 2 * kGrace;
      threads_.emplace_back(
          [this, i, options, address = cluster.FrontAddress(gateway)] {
            answers_[i] = HttpSend(
                address, "POST", i % 2 == 0 ? "/review/1" : "/ask/1", options);
          });
    }
    REQUIRE(WaitUntil([&] {
      return cluster.State(gateway).at("open_requests") == answers_.size();
    }));
  }

  // To be called once. Waits for the ends of the streams.
  [[nodiscard]] int Whole() {
    threads_.clear();
    int whole = 0;
    for (const HttpAnswer& answer : answers_) {
      if (answer.failure.empty() &&
          answer.body.find("token" + std::to_string(kEvents)) !=
              std::string::npos)
        ++whole;
    }
    return whole;
  }

 private:
  std::vector<HttpAnswer> answers_;
  std::vector<std::jthread> threads_;
};

enum class Beside { kNothing, kTimeouts, kRoute, kSilentLog };

// Guards against streams that a stop cuts off since other planned work, or an
// outage of the log, comes beside it.
TEST_CASE("two stops within a second finish the streams beside other work") {
  const Beside beside = GENERATE(Beside::kNothing, Beside::kTimeouts,
                                 Beside::kRoute, Beside::kSilentLog);
  CAPTURE(static_cast<int>(beside));
  GatewayClusterOptions options = StreamingGateway();
  options.gateways = 2;
  options.engines = 2;
  GatewayCluster cluster(options);
  StreamCallers first(cluster, 0, 4);
  StreamCallers second(cluster, 1, 4);
  if (beside == Beside::kSilentLog)
    cluster.platform().Signal(SIGSTOP);
  cluster.gateway(0).Signal(SIGTERM);
  std::this_thread::sleep_for(Milliseconds(300));
  if (beside == Beside::kTimeouts) {
    cluster.PutConfig(
        2, {.timeout = Milliseconds(5000), .idle_timeout = Milliseconds(500)});
  } else if (beside == Beside::kRoute) {
    cluster.PutConfig(2, {.review_service = "desks"});
  }
  std::this_thread::sleep_for(Milliseconds(500));
  cluster.gateway(1).Signal(SIGHUP);
  cluster.gateway(1).Signal(SIGTERM);
  CHECK(first.Whole() == 4);
  CHECK(second.Whole() == 4);
  CHECK(cluster.gateway(0).WaitForExit(kGrace) == 0);
  CHECK(cluster.gateway(1).WaitForExit(kGrace) == 0);
  if (beside == Beside::kSilentLog)
    cluster.platform().Signal(SIGCONT);
}

// Guards against an instance that is stopped as it starts and neither answers
// nor ends.
TEST_CASE("an instance that is stopped as it starts ends in time") {
  GatewayClusterOptions options = OneGateway();
  options.gateways = 2;
  GatewayCluster cluster(options);
  cluster.gateway(1).Kill();
  cluster.StartGateway(1);
  const MonotonicTime stop = MonotonicNow();
  cluster.gateway(1).Signal(SIGTERM);
  const HttpAnswer answer = cluster.Send(1, "POST", "/book/1");
  CHECK(answer.failure.empty());
  CHECK_FALSE(cluster.Ready(1));
  CHECK(EndLikePlatform(cluster.gateway(1), stop) == 0);
}

// Guards against early streams that are cut though their endpoint has ended,
// since their callers read slowly.
TEST_CASE("a stream whose endpoint has ended reaches a slow caller whole") {
  GatewayClusterOptions options = OneGateway();
  options.events = 3000;
  options.event_gap = Milliseconds(0);
  GatewayCluster cluster(options);
  KeptConnection caller(cluster.FrontAddress(0), KeptConnection::kSmallBuffer);
  caller.Send("/ask/1", "slow");
  REQUIRE(WaitUntil(
      [&] { return cluster.LogLines("event", "request_done").size() == 1; }));
  cluster.gateway(0).Signal(SIGTERM);
  const MonotonicTime stop = MonotonicNow();
  constexpr Milliseconds kPause{60};
  while (MonotonicNow() < stop + 2 * kGrace &&
         caller.received().find(kStreamEnd) == std::string::npos &&
         caller.Read(1000)) {
    std::this_thread::sleep_for(kPause);
  }
  // Otherwise the process may have lived on until the caller had all.
  CHECK(MonotonicNow() > stop + kGrace);
  CHECK(caller.received().ends_with(kStreamEnd));
  CHECK(EndLikePlatform(cluster.gateway(0), stop) == 0);
}

// Guards against streams that are cut since one of the two instances is stopped
// through which they go.
TEST_CASE("streams that are handed over outlast the stop of either instance") {
  const std::size_t stopped = GENERATE(std::size_t{0}, std::size_t{1});
  CAPTURE(stopped);
  GatewayClusterOptions options = StreamingGateway();
  options.gateways = 2;
  options.engines = 2;
  options.relayed = true;
  GatewayCluster cluster(options);
  cluster.CutPathsToEndpoints(CutForm::kRefused);
  REQUIRE(WaitUntil(
      [&] { return cluster.Send(0, "POST", "/find/1").status == 200; }));
  StreamCallers callers(cluster, 0, 6);
  REQUIRE(WaitUntil([&] { return cluster.State(1).at("open_requests") == 6; }));
  cluster.gateway(stopped).Signal(SIGTERM);
  CHECK(callers.Whole() == 6);
  CHECK(cluster.gateway(stopped).WaitForExit(kGrace) == 0);
}

}  // namespace
}  // namespace carobshift
