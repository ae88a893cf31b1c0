// A gateway process beside many callers that send all they may, or stop short
// of it, and stay. The gateway must live within its memory and its descriptors,
// and answer an ordinary request while they are there.
//
// The time limits of heads, bodies and idle connections, and the streams of the
// endpoints, are longer than a test, so that what a caller holds isn't freed by
// time.

#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <iostream>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "carobshift/net/blocking_http_call.h"
#include "carobshift/net/event_loop.h"
#include "carobshift/net/loopback_server.h"
#include "testing/crowd.h"
#include "testing/faulty_endpoints.h"
#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

constexpr int kCrowd = 600;
constexpr int kLargeBodies = 60;
// Of the sites' smallest instances.
constexpr int kDescriptors = 4100;
constexpr int kFewDescriptors = 400;
// Part of the descriptors that isn't for sockets (DEPLOY.md).
constexpr int kFileDescriptors = 200;
constexpr std::size_t kMaxHeadBytes = 16384;
constexpr int kMaxBodyBytes = 4 << 20;
constexpr int kSmallBodyBytes = 64 << 10;
constexpr int kOk = 200;

GatewayClusterOptions Options(int descriptors = kDescriptors) {
  return {.gateways = 1,
          .engines = 1,
          .plain_services = 1,
          .event_gap = Milliseconds(1000),
          .max_body_bytes = kMaxBodyBytes,
          .memory_mb = kSmallestInstance >> 10,
          .file_descriptors = descriptors,
          .header_timeout = Milliseconds(60000),
          .idle_timeout = Milliseconds(60000)};
}

std::string Repeat(std::string_view piece, int count) {
  std::string out;
  out.reserve(piece.size() * static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    out += piece;
  return out;
}

// The start line and the fields that a request needs, without the empty line.
std::string HeadBeginning(const std::string& path, int caller) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: api.example\r\nRequest-Id: crowd-" +
         std::to_string(caller) +
         "\r\nDeadline-Ms: 5000\r\nX-Api-Key: " + GatewayCluster::kKey +
         "\r\nModel: m1\r\nToken-Counts: 300,50\r\n"
         "Prompt-Prefix: aa:100,bb:100,cc:100\r\n";
}

constexpr int kShortLines = 3800;

std::string ManyLines(const std::string& path, int caller) {
  return HeadBeginning(path, caller) + Repeat("a:\r\n", kShortLines);
}

std::string WithBody(int caller, int declared, int sent) {
  return HeadBeginning("/find/1", caller) +
         "Content-Length: " + std::to_string(declared) + "\r\n\r\n" +
         std::string(static_cast<std::size_t>(sent), 'x');
}

std::string ChunkedHead(int caller) {
  return HeadBeginning("/find/1", caller) +
         "Transfer-Encoding: chunked\r\n\r\n";
}

// The body lacks the line that ends it.
std::string InOneChunk(int caller, int size) {
  std::ostringstream out;
  out << ChunkedHead(caller) << std::hex << size << "\r\n"
      << std::string(static_cast<std::size_t>(size), 'x') << "\r\n";
  return out.str();
}

bool IsServed(GatewayCluster& cluster) {
  constexpr std::size_t kOrdinaryBytes = 2000;
  const std::string body(kOrdinaryBytes, 'o');
  const HttpAnswer answer = cluster.Send(
      0, "POST", "/find/1", {.body = body, .timeout = Milliseconds(20000)});
  UNSCOPED_INFO("ordinary request: " << answer.status << " " << answer.failure);
  return answer.status == kOk && answer.body == "done " + body;
}

// What must hold beside the crowd, and after it.
void CheckHolds(GatewayCluster& cluster, int descriptors = kDescriptors) {
  const long held = HeldMemory(
      cluster.gateway(0),
      {cluster.FrontAddress(0).port, cluster.ReadyAddress(0).port,
       cluster.DirectoryAddress(0).port, cluster.HandoffAddress(0).port});
  const int sockets = OpenSockets(cluster.gateway(0));
  std::cout << "held " << held / 1024 << " MB, " << sockets << " sockets"
            << std::endl;
  CHECK(cluster.gateway(0).running());
  CHECK(held < kSmallestInstance);
  CHECK(sockets <= descriptors - kFileDescriptors);
  CHECK(IsServed(cluster));
}

void CheckCrowd(int count, const Crowd::BytesOf& bytes_of) {
  GatewayCluster cluster(Options());
  const Crowd crowd(cluster.FrontAddress(0), count, bytes_of);
  CheckHolds(cluster);
}

// Guards against heads that take many times their bytes.
TEST_CASE("crowd: heads of very many short lines, without end") {
  CheckCrowd(kCrowd, [](int i) { return ManyLines("/find/1", i); });
}

TEST_CASE("crowd: heads of very many short lines, bodies a byte short") {
  CheckCrowd(kCrowd, [](int i) {
    return ManyLines("/find/1", i) + "Content-Length: 2\r\n\r\nx";
  });
}

TEST_CASE("crowd: whole requests of very many short lines") {
  CheckCrowd(kCrowd, [](int i) { return ManyLines("/review/1", i) + "\r\n"; });
}

// Guards against a prompt whose parts take many times their bytes.
TEST_CASE("crowd: whole requests whose prompt has very many parts") {
  constexpr int kParts = 3000;
  CheckCrowd(kCrowd, [](int i) {
    return "POST /review/1 HTTP/1.1\r\nHost: api.example\r\nRequest-Id: "
           "crowd-" +
           std::to_string(i) +
           "\r\nDeadline-Ms: 5000\r\nX-Api-Key: " + GatewayCluster::kKey +
           "\r\nModel: m1\r\nToken-Counts: 300,50\r\nPrompt-Prefix: " +
           Repeat("a:1,", kParts) + "b:1\r\n\r\n";
  });
}

// Guards against work for a head that grows with the square of its size.
TEST_CASE("crowd: Connection fields of very many names") {
  constexpr int kNames = 3500;
  constexpr int kLines = 1900;
  CheckCrowd(kCrowd, [](int i) {
    return HeadBeginning("/find/1", i) + "Connection: " + Repeat("b,", kNames) +
           "b\r\n" + Repeat("a:\r\n", kLines) + "\r\n";
  });
}

TEST_CASE("crowd: odd lines") {
  CheckCrowd(kCrowd, [](int i) {
    switch (i % 4) {
      case 0:
        return HeadBeginning("/find/1", i) + Repeat("a:\t \t\r\n", 2000);
      case 1:
        return HeadBeginning("/find/1", i) + std::string(15000, 'n');
      case 2:
        return HeadBeginning("/find/1", i) + "a: " + std::string(15000, 'v');
      default:
        return "GET /" + std::string(15000, 'p');
    }
  });
}

TEST_CASE("crowd: large bodies by length, a byte short") {
  CheckCrowd(kLargeBodies, [](int i) {
    return WithBody(i, kMaxBodyBytes, kMaxBodyBytes - 1);
  });
}

TEST_CASE("crowd: large bodies in one chunk, without their end") {
  CheckCrowd(kLargeBodies, [](int i) { return InOneChunk(i, kMaxBodyBytes); });
}

// The last callers take what the others leave.
int SmallBodyBytes(int caller) {
  constexpr int kTinyBodyBytes = 1 << 10;
  return caller < kCrowd ? kSmallBodyBytes : kTinyBodyBytes;
}

// Guards against small bodies that leave no room for an ordinary one.
TEST_CASE("crowd: small bodies by length, a byte short") {
  CheckCrowd(kCrowd + 100, [](int i) {
    return WithBody(i, SmallBodyBytes(i), SmallBodyBytes(i) - 1);
  });
}

TEST_CASE("crowd: small bodies in one chunk, without their end") {
  CheckCrowd(kCrowd + 100,
             [](int i) { return InOneChunk(i, SmallBodyBytes(i)); });
}

TEST_CASE("crowd: bodies in chunks of one byte, without their end") {
  constexpr int kChunks = 33000;
  CheckCrowd(kCrowd, [](int i) {
    return ChunkedHead(i) + Repeat("1\r\nx\r\n", kChunks);
  });
}

TEST_CASE("crowd: chunk extensions and trailers without end") {
  constexpr int kBytes = 200000;
  CheckCrowd(kCrowd, [](int i) {
    return i % 2 == 0 ? ChunkedHead(i) + "1;" + std::string(kBytes, 'e')
                      : ChunkedHead(i) + "1\r\nx\r\n0\r\n" +
                            Repeat("a:\r\n", kBytes / 4);
  });
}

// Guards against bytes that lie unread in the process and in the kernel.
TEST_CASE("crowd: whole requests with many bytes behind them") {
  constexpr int kBehind = 200000;
  CheckCrowd(kCrowd, [](int i) {
    return HeadBeginning("/review/1", i) + "\r\n" + std::string(kBehind, 'x');
  });
}

// Guards against connections that leave no descriptor for a caller, or for an
// endpoint's connection.
TEST_CASE("crowd: connections on which nothing is sent") {
  GatewayCluster cluster(Options(kFewDescriptors));
  LimitDescriptors(cluster.gateway(0), kFewDescriptors);
  const Crowd crowd(cluster.FrontAddress(0), kCrowd,
                    [](int) { return std::string(); });
  CheckHolds(cluster, kFewDescriptors);
}

TEST_CASE("crowd: more heads without end than descriptors") {
  GatewayCluster cluster(Options(kFewDescriptors));
  LimitDescriptors(cluster.gateway(0), kFewDescriptors);
  const Crowd crowd(cluster.FrontAddress(0), kCrowd,
                    [](int i) { return ManyLines("/find/1", i); });
  CheckHolds(cluster, kFewDescriptors);
}

TEST_CASE("crowd: more refused requests than descriptors") {
  GatewayCluster cluster(Options(kFewDescriptors));
  LimitDescriptors(cluster.gateway(0), kFewDescriptors);
  const Crowd crowd(cluster.FrontAddress(0), kCrowd, [](int i) {
    return WithBody(i, kMaxBodyBytes + 1, kSmallBodyBytes);
  });
  CheckHolds(cluster, kFewDescriptors);
}

TEST_CASE("crowd: at the listeners for addresses and readiness") {
  GatewayCluster cluster(Options(kFewDescriptors));
  LimitDescriptors(cluster.gateway(0), kFewDescriptors);
  const Crowd addresses(cluster.DirectoryAddress(0), kCrowd,
                        [](int i) { return ManyLines("/resolution", i); });
  const Crowd readiness(cluster.ReadyAddress(0), kCrowd,
                        [](int) { return std::string(); });
  CheckHolds(cluster, kFewDescriptors);
  CHECK(cluster.Addresses(0).at("addresses").size() == 1);
  CHECK(cluster.Ready(0));
}

TEST_CASE("crowd: heads of very many short lines at the address listener") {
  GatewayCluster cluster(Options());
  const Crowd crowd(cluster.DirectoryAddress(0), kCrowd,
                    [](int i) { return ManyLines("/resolution", i); });
  CheckHolds(cluster);
  CHECK(cluster.Addresses(0).at("addresses").size() == 1);
}

TEST_CASE("crowd: at the listener for other instances") {
  GatewayCluster cluster(Options());
  const Crowd crowd(cluster.HandoffAddress(0), kCrowd,
                    [](int i) { return ManyLines("/find/1", i); });
  CheckHolds(cluster);
}

TEST_CASE("crowd: some of everything") {
  GatewayCluster cluster(Options(kFewDescriptors));
  LimitDescriptors(cluster.gateway(0), kFewDescriptors);
  const Crowd crowd(cluster.FrontAddress(0), kCrowd, [](int i) {
    switch (i % 6) {
      case 0:
        return ManyLines("/find/1", i);
      case 1:
        return WithBody(i, kMaxBodyBytes, kSmallBodyBytes);
      case 2:
        return InOneChunk(i, kSmallBodyBytes);
      case 3:
        return ChunkedHead(i) + Repeat("1\r\nx\r\n", 3000);
      case 4:
        return ManyLines("/review/1", i) + "\r\n" + std::string(200000, 'x');
      default:
        return std::string();
    }
  });
  CheckHolds(cluster, kFewDescriptors);
}

// Returns the status of the answer to a request that is sent as it is.
int StatusOf(const NetAddress& address, const std::string& request) {
  constexpr Milliseconds kTimeout{20000};
  Poco::Net::StreamSocket socket = ConnectBlocking(address, kTimeout, kTimeout);
  BlockingHttpCall call(socket);
  call.Send(request);
  return call.ReadHead().status;
}

// Guards against a bound that a single caller inside the limits meets.
TEST_CASE("single requests at the limits are served in calm") {
  GatewayCluster cluster(Options(kFewDescriptors));
  LimitDescriptors(cluster.gateway(0), kFewDescriptors);
  HttpSendOptions long_lines{.body = "body"};
  for (int i = 0; i < 60; ++i) {
    long_lines.headers.emplace_back("n" + std::to_string(i),
                                    std::string(240, 'v'));
  }
  CHECK(cluster.Send(0, "POST", "/find/1", long_lines).status == kOk);
  const std::string largest(kMaxBodyBytes, 'x');
  CHECK(cluster.Send(0, "POST", "/find/1", {.body = largest}).body ==
        "done " + largest);
  CHECK(StatusOf(cluster.FrontAddress(0),
                 InOneChunk(1, kMaxBodyBytes) + "0\r\n\r\n") == kOk);
}

// An endpoint that takes heads of any number of lines, in a thread of its own.
class PatientEndpoint {
 public:
  PatientEndpoint() {
    thread_ = std::jthread([this](const std::stop_token& stop) {
      loop_.Run([&stop] { return stop.stop_requested(); });
    });
  }

  [[nodiscard]] NetAddress address() const { return server_.address(); }
  // Fields of the largest head that was received.
  [[nodiscard]] std::size_t fields() const { return fields_; }

 private:
  EventLoop loop_;
  std::atomic<std::size_t> fields_ = 0;
  LoopbackServer server_{
      loop_,
      [this](HttpServerConnection& connection,
             const HttpServerRequest& request) {
        fields_ = std::max(fields_.load(), request.head.fields.size());
        HttpHead head;
        head.status = kOk;
        head.Set("Request-Id", "calm");
        connection.SendCompleteReply(std::move(head), "done");
      },
      {.head_bytes = 2 * kMaxHeadBytes}};
  std::jthread thread_;
};

TEST_CASE("a single head of very many short lines is served in calm") {
  GatewayCluster cluster(Options(kFewDescriptors));
  LimitDescriptors(cluster.gateway(0), kFewDescriptors);
  const PatientEndpoint endpoint;
  cluster.PutReplica(1, "");
  cluster.PutKeyed("keyed.servers", "patient",
                   nlohmann::json{{"service", "desks"},
                                  {"address", endpoint.address().ToString()},
                                  {"zone", "z1"},
                                  {"version", "v1"},
                                  {"slots", 16},
                                  {"state", "ready"},
                                  {"sequence", 1},
                                  {"born", 0},
                                  {"models", nlohmann::json::array()}}
                       .dump());
  const std::string beginning =
      "GET /find/1 HTTP/1.1\r\nHost: api.example\r\nRequest-Id: calm\r\n"
      "Deadline-Ms: 5000\r\nX-Api-Key: " +
      std::string(GatewayCluster::kKey) + "\r\n";
  REQUIRE(WaitUntil([&] {
    return StatusOf(cluster.FrontAddress(0), beginning + "\r\n") == kOk &&
           endpoint.fields() > 0;
  }));
  const std::string request = beginning + Repeat("a:\r\n", 4000) + "\r\n";
  REQUIRE(request.size() > kMaxHeadBytes - 300);
  REQUIRE(request.size() <= kMaxHeadBytes);
  CHECK(StatusOf(cluster.FrontAddress(0), request) == kOk);
  CHECK(endpoint.fields() >= 4000);
}

}  // namespace
}  // namespace carobshift
