// Tests HttpClient and HttpServerConnection against each other, over loopback
// in one event loop.

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <sys/socket.h>

#include <array>
#include <catch2/catch.hpp>
#include <memory>
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

TEST_CASE(
    "a connection that is to close serves the present stream to its end") {
  // An entry shuts down while it serves a stream whose head has been sent
  // without "Connection: close". The caller would send its next request on a
  // connection that nobody serves. The connection therefore closes with the end
  // of the stream.
  EventLoop loop;
  HttpServerConnection* streaming = nullptr;
  LoopbackServer server(
      loop, [&](HttpServerConnection& connection, const HttpServerRequest&) {
        connection.BeginStream(ReplyHead(200));
        connection.SendChunk("one ");
        streaming = &connection;
      });
  HttpClient client(loop, {});
  TestListener listener;
  const auto call = client.Start(server.address(), Get("/"), {}, &listener);
  RunUntil(loop, [&] { return !listener.body.empty(); });
  streaming->CloseWhenIdle();
  CHECK(server.ended == 0);
  streaming->EndStream();
  RunUntil(loop, [&] { return listener.over() && server.ended == 1; });
  CHECK(listener.ended);
  RunUntil(loop, [&] { return client.OpenConnections(server.address()) == 0; });
}

TEST_CASE("an idle connection that is to close ends at once") {
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk);
  HttpClient client(loop, {});
  TestListener listener;
  const auto call = client.Start(server.address(), Get("/"), {}, &listener);
  RunUntil(loop, [&] { return listener.over(); });
  server.connections.front()->CloseWhenIdle();
  RunUntil(loop, [&] { return client.OpenConnections(server.address()) == 0; });
  CHECK(server.ended == 1);
}

// A caller with a plain socket, to see how its connection ends.
class SocketCaller {
 public:
  SocketCaller(EventLoop& loop, const NetAddress& address)
      : loop_(loop),
        socket_(Poco::Net::SocketAddress(address.host, address.port)) {}

  void Send(const std::string& bytes) {
    socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  }
  // Returns what arrives until the server ends its side or is silent.
  std::string Receive() {
    std::string all;
    std::array<char, 4096> buffer;
    for (;;) {
      RunFor(loop_, Milliseconds(30));
      if (!socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
        return all;
      const int received = ReceiveOnce(buffer);
      if (received <= 0)
        return all;
      all.append(buffer.data(), static_cast<std::size_t>(received));
    }
  }
  [[nodiscard]] bool WasReset() {
    int error = 0;
    socket_.impl()->getOption(SOL_SOCKET, SO_ERROR, error);
    return reset_ || error != 0;
  }

 private:
  int ReceiveOnce(std::array<char, 4096>& buffer) {
    try {
      return socket_.receiveBytes(buffer.data(), buffer.size());
    } catch (const Poco::Net::ConnectionResetException&) {
      reset_ = true;
      return 0;
    }
  }

  EventLoop& loop_;
  Poco::Net::StreamSocket socket_;
  bool reset_ = false;
};

// Guards against a request that has arrived and is thrown away because its
// connection counts as idle.
TEST_CASE("a request that is there before an idle close is answered") {
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk);
  SocketCaller caller(loop, server.address());
  caller.Send(Get("/"));
  REQUIRE(caller.Receive().ends_with("hello"));
  caller.Send(Get("/"));
  server.connections.front()->CloseWhenIdle();
  const std::string reply = caller.Receive();
  CHECK(reply.ends_with("hello"));
  CHECK(reply.find("Connection: close") != std::string::npos);
  CHECK(server.ended == 1);
}

// Guards against a request that crosses an idle close and is read without being
// served, so that its caller may not send it again.
TEST_CASE("a request that crosses an idle close stays unread") {
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk, {.idle_timeout = Milliseconds(200)});
  SocketCaller caller(loop, server.address());
  caller.Send(Get("/"));
  REQUIRE(caller.Receive().ends_with("hello"));
  SECTION("at a planned stop") {
    server.connections.front()->CloseWhenIdle();
  }
  SECTION("after the idle timeout") {
    RunUntil(loop, [&] { return server.ended == 1; });
  }
  RunFor(loop, Milliseconds(30));
  CHECK_FALSE(caller.WasReset());
  caller.Send(Get("/"));
  RunFor(loop, Milliseconds(30));
  CHECK(caller.WasReset());
  CHECK(server.bodies.size() == 1);
}

// Guards against the same if the caller once sent a request before it had the
// reply to the one before, and against replies that such a caller loses.
TEST_CASE("a request that crosses a pipelining caller's close stays unread") {
  EventLoop loop;
  std::shared_ptr<HttpServerConnection> serving;
  LoopbackServer server(
      loop,
      [&](HttpServerConnection& connection, const HttpServerRequest&) {
        serving = connection.shared_from_this();
      },
      {.idle_timeout = Milliseconds(200)});
  SocketCaller caller(loop, server.address());
  caller.Send(Get("/1"));
  RunUntil(loop, [&] { return server.bodies.size() == 1; });
  caller.Send(Get("/2"));
  RunFor(loop, Milliseconds(30));
  serving->SendCompleteReply(ReplyHead(200), "first");
  RunUntil(loop, [&] { return server.bodies.size() == 2; });
  serving->SendCompleteReply(ReplyHead(200), "second");
  SECTION("at a planned stop") {
    serving->CloseWhenIdle();
  }
  RunUntil(loop, [&] { return server.ended == 1; });
  caller.Send(Get("/3"));
  RunFor(loop, Milliseconds(30));
  CHECK(caller.Receive().ends_with("second"));
  CHECK(caller.WasReset());
  CHECK(server.bodies.size() == 2);
}

// Guards against a slow caller that is told that its request is malformed, and
// so doesn't send it again.
TEST_CASE("a request that doesn't arrive in time is answered with 408") {
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk, {.head_timeout = Milliseconds(100)});
  SocketCaller caller(loop, server.address());
  SECTION("in its head") {
    caller.Send("POST / HTTP/1.1\r\nHost: a\r\n");
  }
  SECTION("in its body") {
    caller.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n1234");
  }
  RunFor(loop, Milliseconds(150));
  const std::string reply = caller.Receive();
  CHECK(reply.starts_with("HTTP/1.1 408 "));
  CHECK(reply.find("Connection: close") != std::string::npos);
  CHECK(server.bodies.empty());
}

// Guards against a further request that is served after a reply which announces
// the end of its connection.
TEST_CASE("no request is served behind the last reply of a connection") {
  EventLoop loop;
  const std::string body(std::size_t{24} << 20, 'x');
  LoopbackServer server(
      loop, [&](HttpServerConnection& connection, const HttpServerRequest&) {
        connection.CloseAfterReply();
        connection.SendCompleteReply(ReplyHead(200), body);
      });
  HttpClient client(loop, {});
  TestListener listener;
  const auto call =
      client.Start(server.address(), Get("/1") + Get("/2"), {}, &listener);
  RunUntil(loop, [&] { return listener.over(); });
  CHECK(listener.body.size() == body.size());
  CHECK(server.bodies.size() == 1);
}

// Guards against a request that is read and thrown away behind a stream whose
// head didn't announce that its connection would end.
TEST_CASE("a request behind the last stream of a connection gets an answer") {
  EventLoop loop;
  std::shared_ptr<HttpServerConnection> streaming;
  LoopbackServer server(
      loop, [&](HttpServerConnection& connection, const HttpServerRequest&) {
        if (streaming != nullptr) {
          connection.SendCompleteReply(ReplyHead(200), "hello");
          return;
        }
        streaming = connection.shared_from_this();
        streaming->BeginStream(ReplyHead(200));
      });
  SocketCaller caller(loop, server.address());
  caller.Send(Get("/1"));
  CHECK(caller.Receive().starts_with("HTTP/1.1 200 "));
  streaming->CloseWhenIdle();
  SECTION("that arrives within the stream") {
    caller.Send(Get("/2"));
    RunFor(loop, Milliseconds(30));
    streaming->EndStream();
  }
  SECTION("that arrives with its end") {
    caller.Send(Get("/2"));
    streaming->EndStream();
  }
  const std::string reply = caller.Receive();
  CHECK(reply.ends_with("hello"));
  CHECK(reply.find("Connection: close") != std::string::npos);
  CHECK(server.bodies.size() == 2);
  RunUntil(loop, [&] { return server.ended == 1; });
}

// Guards against replies that lose their end because a caller needs more than a
// second to read them before its connection closes.
TEST_CASE("a reply is sent whole before its connection closes") {
  EventLoop loop;
  const std::string body(std::size_t{24} << 20, 'x');
  bool close_after_reply = false;
  LoopbackServer server(
      loop,
      [&](HttpServerConnection& connection, const HttpServerRequest&) {
        if (close_after_reply)
          connection.CloseAfterReply();
        connection.SendCompleteReply(ReplyHead(200), body);
      },
      {.idle_timeout = Milliseconds(200)});
  HttpClient client(loop, {});
  TestListener listener;
  SECTION("which the reply announces") {
    close_after_reply = true;
  }
  SECTION("since the caller seems idle") {}
  const auto call = client.Start(server.address(), Get("/"), {}, &listener);
  RunUntil(loop, [&] { return listener.status == 200; });
  call->SetReading(false);
  RunFor(loop, Milliseconds(700));
  if (!close_after_reply)
    server.connections.front()->CloseWhenIdle();
  CHECK(server.connections.front()->busy());
  RunFor(loop, Milliseconds(800));
  CHECK(server.ended == 0);
  call->SetReading(true);
  RunUntil(loop, [&] { return listener.over(); });
  CHECK(listener.body.size() == body.size());
  RunUntil(loop, [&] { return server.ended == 1; });
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
