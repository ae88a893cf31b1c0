// Tests HttpClient and HttpServerConnection against each other, over loopback
// in one event loop.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "carobshift/net/http_client.h"
#include "carobshift/net/http_fetch.h"
#include "carobshift/net/http_server_connection.h"
#include "carobshift/net/http_test_calls.h"
#include "carobshift/net/loopback_server.h"
#include "carobshift/net/tcp_listener.h"
#include "carobshift/net/udp_port.h"

namespace carobshift {
namespace {

// Guards against a peer that answers without end with something that is no
// answer, and whose bytes are read until the call's deadline.
TEST_CASE("bytes without end that are no answer fail the call") {
  EventLoop loop;
  std::string reply;
  SECTION("interim replies") {
    for (int i = 0; i <= HttpClientOptions::kMaxInterimReplies; ++i)
      reply += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  SECTION("a skipped reply") {
    reply = "HTTP/1.1 203 Other\r\n\r\n" +
            std::string(HttpClientOptions::kMaxShortReplyBytes + 1, 'x');
  }
  SECTION("a head") {
    reply = "HTTP/1.1 200 OK\r\nField: " +
            std::string(HttpClientOptions().max_head_bytes, 'x');
  }
  SECTION("a chunk extension") {
    reply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;" +
            std::string(std::size_t{2} << 20, 'x');
  }
  SECTION("trailers") {
    reply =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nField: " +
        std::string(std::size_t{2} << 20, 'x');
  }
  RawServer server(loop, reply, /*reset=*/false);
  HttpClient client(loop, {});
  TestListener listener;
  listener.skip_status = 203;
  const auto call = client.Start({"127.0.0.1", server.listener->port()},
                                 Get("/"), {}, &listener);
  RunUntil(loop, [&] { return listener.over(); });
  REQUIRE(listener.failure.has_value());
  CHECK(listener.failure->fault == CallFault::kMalformed);
}

TEST_CASE("an answer without a length that is reset is broken") {
  // An endpoint sends a reply that ends with the connection, and crashes in the
  // middle. The reset must not be taken for the end of the reply.
  EventLoop loop;
  RawServer server(loop, "HTTP/1.1 200 OK\r\n\r\nhalf an ans", /*reset=*/true);
  HttpClient client(loop, {});
  TestListener listener;
  const auto call = client.Start({"127.0.0.1", server.listener->port()},
                                 Get("/"), {}, &listener);
  RunUntil(loop, [&] { return listener.over(); });
  REQUIRE(listener.failure.has_value());
  CHECK(listener.failure->fault == CallFault::kBroken);
  CHECK(listener.failure->sent);
}

TEST_CASE("a cancelled call is seen by the server as a caller who has left") {
  EventLoop loop;
  LoopbackServer server(loop,
                        [](HttpServerConnection&, const HttpServerRequest&) {});
  HttpClient client(loop, {});
  TestListener listener;
  const auto call = client.Start(server.address(), Get("/"), {}, &listener);
  RunUntil(loop, [&] { return !server.bodies.empty(); });
  call->Cancel();
  RunUntil(loop, [&] { return server.gone == 1; });
  CHECK_FALSE(listener.over());
}

TEST_CASE("a reply larger than the connection takes at once arrives whole") {
  // The receiver's TCP window is full for a moment. If this were treated as a
  // failure, the reply would break off at the same place on each attempt.
  EventLoop loop;
  const std::string body(std::size_t{24} << 20, 'x');
  LoopbackServer server(loop, [&](auto& connection, const auto&) {
    connection.SendCompleteReply(ReplyHead(200), body);
  });
  HttpClient client(loop, {});
  TestListener listener;
  const auto call = client.Start(server.address(), Get("/"), {}, &listener);
  RunUntil(loop, [&] { return listener.over(); });
  CHECK(listener.body.size() == body.size());
  CHECK(server.ended == 0);
}

TEST_CASE("a stream reaches its caller piece by piece and ends as a whole") {
  EventLoop loop;
  LoopbackServer server(
      loop, [](HttpServerConnection& connection, const HttpServerRequest&) {
        connection.BeginStream(ReplyHead(200));
        connection.SendChunk("one ");
        connection.SendChunk("two");
        connection.EndStream();
      });
  HttpClient client(loop, {});
  TestListener listener;
  const auto call = client.Start(server.address(), Get("/"), {}, &listener);
  RunUntil(loop, [&] { return listener.over(); });
  CHECK(listener.ended);
  CHECK(listener.body == "one two");
}

TEST_CASE("a stream that is broken off does not look complete") {
  EventLoop loop;
  LoopbackServer server(
      loop, [](HttpServerConnection& connection, const HttpServerRequest&) {
        connection.BeginStream(ReplyHead(200));
        connection.SendChunk("one ");
        connection.Abort();
      });
  HttpClient client(loop, {});
  TestListener listener;
  const auto call = client.Start(server.address(), Get("/"), {}, &listener);
  RunUntil(loop, [&] { return listener.over(); });
  CHECK(listener.failure.has_value());
}

TEST_CASE("a body over its limit is refused and its connection ended") {
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk, {.body_bytes = 4});
  HttpClient client(loop, {});
  TestListener listener;
  const auto call = client.Start(
      server.address(),
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n123456789", {},
      &listener);
  RunUntil(loop, [&] { return listener.over(); });
  CHECK(listener.status == 413);
  CHECK(server.bodies.empty());
  CHECK(server.malformed == std::vector<int>{413});
}

TEST_CASE("requests that were sent together are answered in order") {
  EventLoop loop;
  int answered = 0;
  LoopbackServer server(loop, [&](HttpServerConnection& connection,
                                  const HttpServerRequest& request) {
    ++answered;
    connection.SendCompleteReply(ReplyHead(200), request.head.target);
  });
  HttpClient client(loop, {});
  TestListener listener;
  const auto call =
      client.Start(server.address(), Get("/1") + Get("/2"), {}, &listener);
  RunUntil(loop, [&] { return answered == 2 && listener.over(); });
  CHECK(listener.body == "/1");
}

TEST_CASE("a fetch gives up at its time limit and tells why") {
  // A middlebox between this process and the log has dropped the connection's
  // state: the call is sent, and neither a reply nor an error comes back.
  EventLoop loop;
  LoopbackServer server(loop,
                        [](HttpServerConnection&, const HttpServerRequest&) {});
  HttpClient client(loop, {});
  HttpFetch fetch;
  std::optional<FetchOutcome> outcome;
  fetch.Start(client, loop, server.address(), Get("/"),
              {.call = {}, .timeout = Milliseconds(50)},
              [&](const FetchOutcome& given) { outcome = given; });
  RunUntil(loop, [&] { return outcome.has_value(); });
  CHECK_FALSE(outcome->status.has_value());
  CHECK(outcome->reason == "timeout");
  CHECK_FALSE(fetch.active());
}

TEST_CASE("a fetch goes on as long as pieces of the reply come") {
  // If a long reply over a slow link were cut off at a fixed time, it would be
  // requested again and never complete.
  EventLoop loop;
  const std::string body(2000, 'x');
  ReplyPace pace{.pieces = 10, .pause = Milliseconds(40)};
  LoopbackServer server(loop, [&](auto& connection, const auto&) {
    SendSlowly(loop, connection, ReplyHead(200), body, pace);
  });
  HttpClient client(loop, {});
  HttpFetch fetch;
  std::optional<FetchOutcome> outcome;
  FetchOptions options{.call = {},
                       .timeout = Milliseconds(100),
                       .stall_timeout = Milliseconds(100)};
  SECTION("to its end") {}
  SECTION("but not if the peer falls silent") {
    pace = {.pieces = 2, .pause = Milliseconds(60000)};
  }
  SECTION("but not for ever") {
    options.max_reply_time = Milliseconds(200);
  }
  const bool whole =
      pace.pieces == 10 && options.max_reply_time > pace.Length();
  const MonotonicTime began = MonotonicNow();
  fetch.Start(client, loop, server.address(), Get("/"), options,
              [&](const FetchOutcome& given) { outcome = given; });
  RunUntil(loop, [&] { return outcome.has_value(); });
  CHECK(outcome->status.has_value() == whole);
  CHECK(outcome->received > 0);
  CHECK((outcome->received == body.size()) == whole);
  CHECK((outcome->reason == "timeout") == !whole);
  CHECK(MonotonicNow() - began < Milliseconds(1000));
}

TEST_CASE("an address that one process has bound can't be bound again") {
  // An instance is started twice by mistake, or again while its first process
  // still runs. The lease holder takes a successful bind as proof that its
  // previous process has ended; if both processes could bind, both would give
  // orders.
  EventLoop loop;
  const auto listener =
      TcpListener::Open(loop, {"127.0.0.1", 0}, [](const auto&) {});
  REQUIRE(listener.ok());
  const NetAddress address{"127.0.0.1", listener.value()->port()};
  SECTION("callers' port") {
    CHECK_FALSE(TcpListener::Open(loop, address, [](const auto&) {}).ok());
  }
  SECTION("datagrams' port") {
    const auto first = UdpPort::Open(loop, address, [](auto&&...) {});
    REQUIRE(first.ok());
    CHECK_FALSE(UdpPort::Open(loop, address, [](auto&&...) {}).ok());
  }
}

}  // namespace
}  // namespace carobshift
