// How HttpServerConnection ends: what its caller gets of requests and replies
// that cross the end.

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <sys/socket.h>

#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "carobshift/net/http_client.h"
#include "carobshift/net/http_server_connection.h"
#include "carobshift/net/http_test_calls.h"
#include "carobshift/net/loopback_server.h"

namespace carobshift {
namespace {

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
  // Returns how many bytes of those that have arrived were received.
  std::size_t ReceiveNow() {
    std::size_t size = 0;
    std::array<char, 4096> buffer;
    while (socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      const int received = ReceiveOnce(buffer);
      if (received <= 0)
        break;
      size += static_cast<std::size_t>(received);
    }
    return size;
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
  CHECK_FALSE(caller.WasReset());
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
  CHECK_FALSE(caller.WasReset());
  CHECK(reply.starts_with("HTTP/1.1 408 "));
  CHECK(reply.find("Connection: close") != std::string::npos);
  CHECK(server.bodies.empty());
}

// Guards against a refusal that its caller doesn't get, since the connection is
// reset while the caller still sends the body.
TEST_CASE("a caller that sends a refused body slowly gets the refusal") {
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk, {.body_bytes = 4});
  SocketCaller caller(loop, server.address());
  caller.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n");
  for (int i = 0; i < 20; ++i) {
    caller.Send(std::string(100, 'x'));
    RunFor(loop, Milliseconds(100));
  }
  CHECK(caller.Receive().starts_with("HTTP/1.1 413 "));
  CHECK_FALSE(caller.WasReset());
}

// Guards against a caller that sends requests, takes no replies and fills the
// memory with them.
TEST_CASE("requests wait until the reply to the one before is sent") {
  constexpr int kRequests = 400;
  constexpr std::size_t kReplyBytes = std::size_t{60} << 10;
  EventLoop loop;
  LoopbackServer server(loop, [](HttpServerConnection& connection,
                                 const HttpServerRequest&) {
    connection.SendCompleteReply(ReplyHead(200), std::string(kReplyBytes, 'x'));
  });
  SocketCaller caller(loop, server.address());
  for (int i = 0; i < kRequests; ++i)
    caller.Send(Get("/"));
  RunFor(loop, Milliseconds(300));
  CHECK(server.connections.front()->unsent_bytes() < 2 * kReplyBytes);
  CHECK(server.bodies.size() < kRequests);
  std::size_t received = 0;
  RunUntil(loop, [&] {
    received += caller.ReceiveNow();
    return received >= kRequests * kReplyBytes;
  });
  CHECK(server.bodies.size() == kRequests);
  CHECK(server.ended == 0);
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

}  // namespace
}  // namespace carobshift
