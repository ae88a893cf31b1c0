// Bodies of requests beside a budget in sum, and bodies that a client shares.

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "carobshift/base/byte_budget.h"
#include "carobshift/base/shared_bytes.h"
#include "carobshift/net/http_client.h"
#include "carobshift/net/http_server_connection.h"
#include "carobshift/net/http_test_calls.h"
#include "carobshift/net/loopback_server.h"

namespace carobshift {
namespace {

constexpr std::size_t kBodyBytes = std::size_t{1} << 20;

std::string PostHead(std::size_t length) {
  return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n";
}

std::string ChunkedPost(std::size_t length) {
  constexpr char kChunk[] = "400\r\n";
  constexpr std::size_t kChunkBytes = 1024;
  std::string request =
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t sent = 0; sent < length; sent += kChunkBytes)
    request += kChunk + std::string(kChunkBytes, 'x') + "\r\n";
  return request + "0\r\n\r\n";
}

// Sends one request and returns the status of its reply.
int StatusOf(EventLoop& loop,
             const NetAddress& address,
             const std::string& request) {
  HttpClient client(loop, {});
  TestListener listener;
  const auto call = client.Start(address, request, {}, &listener);
  RunUntil(loop, [&] { return listener.over(); });
  return listener.status;
}

// Guards against an instance that reads as many bodies as its callers send.
TEST_CASE("a request whose body has no room is refused before it is read") {
  ByteBudget budget(4 * kBodyBytes);
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk, {.caller_budget = &budget});
  server.holds_requests = true;
  const bool chunked = GENERATE(false, true);
  CAPTURE(chunked);
  const std::string request =
      chunked ? ChunkedPost(kBodyBytes)
              : PostHead(kBodyBytes) + std::string(kBodyBytes, 'x');
  int accepted = 0;
  while (accepted < 8 && StatusOf(loop, server.address(), request) == 200)
    ++accepted;
  // A chunked body may take up to twice its size.
  CHECK(accepted >= 1);
  CHECK(accepted <= 3);
  CHECK(budget.held() <= 3 * kBodyBytes);
  CHECK(server.bodies.size() == static_cast<std::size_t>(accepted));
  CHECK(StatusOf(loop, server.address(), request) == 503);
  // Small ones still have room.
  CHECK(StatusOf(loop, server.address(), PostHead(5) + "hello") == 200);
  server.held.clear();
  CHECK(budget.held() == 0);
  CHECK(StatusOf(loop, server.address(), request) == 200);
}

TEST_CASE("a connection that ends within a body gives its room back") {
  ByteBudget budget(4 * kBodyBytes);
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk, {.caller_budget = &budget});
  HttpClient client(loop, {});
  TestListener listener;
  const auto call = client.Start(server.address(),
                                 PostHead(kBodyBytes) + "part", {}, &listener);
  // The head counts too.
  constexpr std::size_t kMaxHead = 1024;
  RunUntil(loop, [&] {
    return budget.held() >= kBodyBytes &&
           budget.held() <= kBodyBytes + kMaxHead;
  });
  call->Cancel();
  RunUntil(loop, [&] { return server.ended == 1; });
  server.connections.clear();
  CHECK(budget.held() == 0);
}

// Guards against an instance that holds as much of each reply as one caller may
// leave unread, however many callers there are.
TEST_CASE("replies that aren't read pause their sources within the budget") {
  constexpr std::size_t kCallers = 12;
  constexpr std::size_t kPiece = std::size_t{16} << 10;
  ByteBudget budget(std::size_t{1} << 20);
  EventLoop loop;
  LoopbackServer server(
      loop,
      [](HttpServerConnection& connection, const HttpServerRequest&) {
        connection.BeginStream(ReplyHead(200));
      },
      {.caller_budget = &budget});
  HttpClient client(loop, {});
  std::vector<std::unique_ptr<TestListener>> listeners;
  std::vector<std::shared_ptr<ClientCall>> calls;
  for (std::size_t i = 0; i < kCallers; ++i) {
    listeners.push_back(std::make_unique<TestListener>());
    calls.push_back(
        client.Start(server.address(), Get("/"), {}, listeners.back().get()));
    RunUntil(loop, [&] { return server.bodies.size() == i + 1; });
    calls.back()->SetReading(false);
  }
  std::size_t unsent = 0;
  int paused = 0;
  for (const auto& connection : server.connections) {
    while (server.paused == paused)
      connection->SendChunk(std::string(kPiece, 'x'));
    ++paused;
    unsent += connection->unsent_bytes();
  }
  CHECK(unsent <= budget.limit() + 2 * kCallers * kPiece);
  for (const auto& call : calls)
    call->SetReading(true);
  RunUntil(loop, [&] { return server.paused == 0; });
  CHECK(budget.held() == 0);
  for (const auto& call : calls)
    call->Cancel();
}

// Guards against a source that stays paused, since its caller has taken all
// before the connection is told.
TEST_CASE("a source goes on if all is sent with the piece behind the pause") {
  // Room for a request, and for no piece of its reply.
  ByteBudget budget(1024);
  EventLoop loop;
  std::shared_ptr<HttpServerConnection> serving;
  LoopbackServer server(
      loop,
      [&](HttpServerConnection& connection, const HttpServerRequest&) {
        serving = connection.shared_from_this();
        serving->BeginStream(ReplyHead(200));
      },
      {.caller_budget = &budget});
  Poco::Net::StreamSocket caller(
      Poco::Net::SocketAddress("127.0.0.1", server.address().port));
  const std::string request = Get("/");
  caller.sendBytes(request.data(), static_cast<int>(request.size()));
  RunUntil(loop, [&] { return serving != nullptr; });
  while (server.paused == 0)
    serving->SendChunk(std::string(std::size_t{4} << 10, 'x'));
  std::string buffer(std::size_t{1} << 20, ' ');
  while (caller.poll(Poco::Timespan(0, 50'000), Poco::Net::Socket::SELECT_READ))
    caller.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
  serving->SendChunk("x");
  CHECK(serving->unsent_bytes() == 0);
  CHECK(server.paused == 0);
}

// Guards against a body that is held twice while its peer reads slowly.
TEST_CASE("a shared body is sent whole and not copied") {
  ByteBudget budget(8 * kBodyBytes);
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk, {.body_bytes = 8 * kBodyBytes});
  HttpClient client(loop, {});
  const std::size_t size = GENERATE(std::size_t{0}, std::size_t{5},
                                    std::size_t{17} << 10, 8 * kBodyBytes);
  CAPTURE(size);
  ByteReservation reserved(&budget, ByteImportance::kRequired);
  REQUIRE(reserved.GrowTo(size));
  HttpCallOptions options;
  options.body = SharedBytes(std::string(size, 'x'), std::move(reserved));
  for (int i = 0; i < 2; ++i) {
    TestListener listener;
    const auto call =
        client.Start(server.address(), PostHead(size), options, &listener);
    RunUntil(loop, [&] { return listener.over(); });
    CHECK(listener.status == 200);
    CHECK(server.bodies.back() == options.body.view());
  }
  CHECK(server.accepted == 1);
  options.body = SharedBytes();
  CHECK(budget.held() == 0);
}

}  // namespace
}  // namespace carobshift
