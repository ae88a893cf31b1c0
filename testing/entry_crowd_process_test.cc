// An entry's own interface beside many callers that send all they may, or stop
// short of it, and stay. See gateway_crowd_process_test.cc.

#include <catch2/catch.hpp>
#include <iostream>
#include <sstream>
#include <string>

#include "testing/cluster.h"
#include "testing/crowd.h"
#include "testing/http_client.h"

namespace carobshift {
namespace {

// Of an entry, in KB, as docs/CONFIGURATION.md states it.
constexpr long kMemory = 160L << 10;
constexpr int kLargeBodies = 200;
constexpr int kMaxBodyBytes = 4 << 20;
constexpr int kThreads = 32;
constexpr int kQueued = 64;
constexpr int kCrowd = 200;
// Sockets that an entry has for its own work.
constexpr int kOwnSockets = 64;
constexpr int kOk = 200;

ClusterOptions Options(std::vector<std::string> flags) {
  flags.emplace_back("--read_timeout_ms=60000");
  flags.emplace_back("--keep_alive_timeout_ms=60000");
  return {.entries = 1, .engines = 1, .entry_flags = std::move(flags)};
}

ClusterOptions FewThreads() {
  return Options({"--http_threads=" + std::to_string(kThreads),
                  "--max_connections=" + std::to_string(kQueued)});
}

std::string CallPath() {
  return "/v1/services/" + std::string(kPlainService) + "/call";
}

std::string Credentials() {
  return "Bearer " + std::string(kAccountKey);
}

std::string HeadBeginning() {
  return "POST " + CallPath() +
         " HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\n"
         "Authorization: " +
         Credentials() + "\r\n";
}

std::string LargeBody() {
  return HeadBeginning() + "Content-Length: " + std::to_string(kMaxBodyBytes) +
         "\r\n\r\n" + std::string(kMaxBodyBytes - 1, 'x');
}

// The body lacks the line that ends it.
std::string InChunks(int size, int count) {
  std::ostringstream out;
  out << HeadBeginning() << "Transfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < count; ++i) {
    out << std::hex << size << "\r\n"
        << std::string(static_cast<std::size_t>(size), 'x') << "\r\n";
  }
  return out.str();
}

bool IsServed(Cluster& cluster) {
  const HttpAnswer answer =
      HttpSend(cluster.entry(0).address(), "POST", CallPath(),
               {.body = "body",
                .headers = {{"Authorization", Credentials()}},
                .timeout = Milliseconds(20000)});
  UNSCOPED_INFO("ordinary call: " << answer.status << " " << answer.failure);
  return answer.status == kOk;
}

void CheckCrowd(const ClusterOptions& options,
                int count,
                const std::string& bytes) {
  Cluster cluster(options);
  const NetAddress address = cluster.entry(0).address();
  const Crowd crowd(address, count, [&bytes](int) { return bytes; });
  const long held = HeldMemory(cluster.entry(0), {address.port});
  const int sockets = OpenSockets(cluster.entry(0));
  std::cout << "held " << held / 1024 << " MB, " << sockets << " sockets"
            << std::endl;
  CHECK(cluster.entry(0).running());
  CHECK(held < kMemory);
  CHECK(IsServed(cluster));
  if (options.entry_flags.size() > 2)
    CHECK(sockets <= kThreads + kQueued + kOwnSockets);
}

// Guards against bodies that are bounded each and not in sum.
TEST_CASE("entry crowd: large bodies by length, a byte short") {
  CheckCrowd(Options({}), kLargeBodies, LargeBody());
}

TEST_CASE("entry crowd: large bodies in one chunk, without their end") {
  CheckCrowd(Options({}), kLargeBodies, InChunks(kMaxBodyBytes, 1));
}

TEST_CASE("entry crowd: bodies in chunks of one byte, without their end") {
  constexpr int kChunks = 33000;
  CheckCrowd(Options({}), kLargeBodies, InChunks(1, kChunks));
}

// Guards against callers that hold all threads without a request.
TEST_CASE("entry crowd: connections on which nothing is sent") {
  CheckCrowd(FewThreads(), kCrowd, "");
}

TEST_CASE("entry crowd: heads without end") {
  CheckCrowd(FewThreads(), kCrowd, HeadBeginning() + "a: b\r\n");
}

TEST_CASE("entry crowd: small bodies, a byte short") {
  CheckCrowd(FewThreads(), kCrowd,
             HeadBeginning() + "Content-Length: 2\r\n\r\nx");
}

TEST_CASE("entry crowd: lines and fields without end") {
  std::string lines = HeadBeginning();
  for (int i = 0; i < 50000; ++i)
    lines += "a:\r\n";
  CheckCrowd(FewThreads(), kCrowd, lines);
  CheckCrowd(FewThreads(), kCrowd,
             HeadBeginning() + "a: " + std::string(200000, 'v'));
}

// Guards against a bound that a single caller inside the limits meets.
TEST_CASE("a single call with the largest body is served in calm") {
  Cluster cluster(FewThreads());
  const HttpAnswer answer =
      HttpSend(cluster.entry(0).address(), "POST", CallPath(),
               {.body = std::string(kMaxBodyBytes, 'x'),
                .headers = {{"Authorization", Credentials()}},
                .timeout = Milliseconds(20000)});
  CHECK(answer.status == kOk);
}

}  // namespace
}  // namespace carobshift
