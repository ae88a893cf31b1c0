// Tests which connection HttpClient sends a call on, and when it opens or gives
// up one, over loopback in one event loop.

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "carobshift/net/http_client.h"
#include "carobshift/net/http_test_calls.h"
#include "carobshift/net/loopback_server.h"

namespace carobshift {
namespace {

class RecordingObserver : public HttpClientObserver {
 public:
  void OnConnectStarted(const NetAddress&) override { events += "start "; }
  void OnConnected(const NetAddress&) override { events += "connected "; }
  void OnConnectFailed(const NetAddress&) override { events += "failed "; }
  void OnConnectAbandoned(const NetAddress&) override {
    events += "abandoned ";
  }
  void OnRequestSent(const NetAddress&) override { events += "sent "; }
  void OnRequestEnded(const NetAddress&) override { events += "ended "; }
  void OnBytesReceived(const NetAddress&) override { events += "bytes "; }
  void OnConnectionBroken(const NetAddress&) override { events += "broken "; }

  std::string events;
};

TEST_CASE("calls go over one kept connection") {
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk);
  HttpClient client(loop, {});
  for (int i = 0; i < 3; ++i) {
    TestListener listener;
    const auto call = client.Start(server.address(), Get("/"), {}, &listener);
    RunUntil(loop, [&] { return listener.over(); });
    CHECK(listener.status == 200);
    CHECK(listener.body == "hello");
  }
  CHECK(server.accepted == 1);
  CHECK(client.counters().connections_opened == 1);
}

TEST_CASE("a call that wants a fresh connection does not take an old one") {
  // A booking is sent over a connection that has been idle for a while. If a
  // middlebox has dropped the connection's state, the booking may or may not
  // have arrived, and it can't be retried.
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk);
  HttpClient client(loop, {});
  TestListener first;
  const auto call = client.Start(server.address(), Get("/"), {}, &first);
  RunUntil(loop, [&] { return first.over(); });
  const MonotonicTime later = loop.now() + Milliseconds(30);
  RunUntil(loop, [&] { return loop.now() > later; });
  TestListener second;
  const auto fresh = client.Start(server.address(), Get("/"),
                                  {.max_idle = Milliseconds(10)}, &second);
  RunUntil(loop, [&] { return second.over(); });
  CHECK(server.accepted == 2);
}

// Guards against a request to a peer that has said meanwhile that it wants
// none.
TEST_CASE("a call is withdrawn if its reason ends before it is connected") {
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk);
  HttpClient client(loop, {});
  TestListener listener;
  bool may_send = true;
  const auto call =
      client.Start(server.address(), Get("/"),
                   {.may_send = [&may_send] { return may_send; }}, &listener);
  may_send = false;
  RunUntil(loop, [&] { return listener.over(); });
  REQUIRE(listener.failure.has_value());
  CHECK(listener.failure->fault == CallFault::kWithdrawn);
  CHECK_FALSE(listener.failure->sent);
  RunFor(loop, Milliseconds(50));
  CHECK(server.bodies.empty());
}

TEST_CASE("a late answer to an earlier request is skipped") {
  // An endpoint replies to a request twice. The second reply is read from the
  // reused connection, and the next caller would get a reply to another
  // request.
  EventLoop loop;
  RawServer server(loop,
                   "HTTP/1.1 203 Other\r\nContent-Length: 5\r\n\r\nwrong"
                   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright",
                   /*reset=*/false);
  HttpClient client(loop, {});
  TestListener listener;
  listener.skip_status = 203;
  const auto call = client.Start({"127.0.0.1", server.listener->port()},
                                 Get("/"), {}, &listener);
  RunUntil(loop, [&] { return listener.over(); });
  CHECK(listener.status == 200);
  CHECK(listener.body == "right");
  CHECK(client.counters().unsolicited_replies == 1);
}

// Makes a call whose replies bear `key`, and waits for its end.
void CallWithKey(EventLoop& loop,
                 HttpClient& client,
                 const NetAddress& address,
                 std::uint64_t key) {
  TestListener listener;
  const auto call =
      client.Start(address, Get("/"), {.reply_key = ReplyKey(key)}, &listener);
  RunUntil(loop, [&] { return listener.over(); });
  CHECK(listener.status == 200);
}

// Guards against a late copy of an earlier reply that is taken for the answer
// to a repeat, as both bear the same id.
TEST_CASE("a repeat avoids the connections that carried its request") {
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk);
  HttpClient client(loop, {});
  CallWithKey(loop, client, server.address(), 1);
  CallWithKey(loop, client, server.address(), 1);
  CHECK(server.accepted == 2);
  // Both have carried 1, the second one in the call before the last.
  CallWithKey(loop, client, server.address(), 2);
  CHECK(server.accepted == 2);
  CallWithKey(loop, client, server.address(), 1);
  CHECK(server.accepted == 3);
  CHECK(client.OpenConnections(server.address()) == 3);
}

// Guards against repeats that open a connection while a usable one is idle.
TEST_CASE("a repeat takes an idle connection that didn't carry its request") {
  EventLoop loop;
  std::vector<HttpServerConnection*> waiting;
  LoopbackServer server(loop, [&](HttpServerConnection& connection,
                                  const HttpServerRequest& request) {
    if (request.head.target == "/wait")
      waiting.push_back(&connection);
    else
      AnswerOk(connection, request);
  });
  HttpClient client(loop, {});
  TestListener other;
  const auto call = client.Start(server.address(), Get("/wait"),
                                 {.reply_key = ReplyKey(2)}, &other);
  CallWithKey(loop, client, server.address(), 1);
  RunUntil(loop, [&] { return !waiting.empty(); });
  waiting.front()->SendCompleteReply(ReplyHead(200), "hello");
  RunUntil(loop, [&] { return other.over(); });
  CHECK(server.accepted == 2);
  CallWithKey(loop, client, server.address(), 1);
  CHECK(server.accepted == 2);
}

// Guards against a repeat that fails as one too many at an address whose
// connections are idle.
TEST_CASE("a repeat at the connection limit replaces an idle connection") {
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk);
  HttpClient client(loop, {});
  client.SetConnectionLimit(server.address(), 1);
  CallWithKey(loop, client, server.address(), 1);
  CHECK(client.HasFreeConnection(server.address()));
  CallWithKey(loop, client, server.address(), 1);
  CHECK(server.accepted == 2);
  CHECK(client.OpenConnections(server.address()) == 1);
}

// Guards against connections that remember all requests of their lives.
TEST_CASE("a connection forgets a request after many others") {
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk);
  HttpClient client(loop, {});
  constexpr std::uint64_t kMany = 40;
  for (std::uint64_t key = 1; key <= kMany; ++key)
    CallWithKey(loop, client, server.address(), key);
  CallWithKey(loop, client, server.address(), 1);
  CHECK(server.accepted == 1);
}

TEST_CASE("a connection with bytes after its answer is not used again") {
  EventLoop loop;
  RawServer server(loop, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokSTRAY",
                   /*reset=*/false);
  HttpClient client(loop, {});
  TestListener listener;
  const NetAddress address{"127.0.0.1", server.listener->port()};
  const auto call = client.Start(address, Get("/"), {}, &listener);
  RunUntil(loop, [&] { return listener.over(); });
  CHECK(listener.ended);
  CHECK(client.OpenConnections(address) == 0);
}

TEST_CASE("a refused connection proves that nothing was sent") {
  EventLoop loop;
  HttpClient client(loop, {});
  NetAddress closed_address;
  {
    LoopbackServer server(loop, AnswerOk);
    closed_address = server.address();
  }
  TestListener listener;
  const auto call = client.Start(closed_address, Get("/"), {}, &listener);
  RunUntil(loop, [&] { return listener.over(); });
  REQUIRE(listener.failure.has_value());
  CHECK(listener.failure->fault == CallFault::kNotConnected);
  CHECK_FALSE(listener.failure->sent);
}

TEST_CASE("an address takes no more connections than its limit") {
  // An endpoint resets connections beyond its limit, and a request on such a
  // connection may have run. The client therefore enforces the limit.
  EventLoop loop;
  LoopbackServer server(loop,
                        [](HttpServerConnection&, const HttpServerRequest&) {});
  HttpClient client(loop, {});
  client.SetConnectionLimit(server.address(), 1);
  TestListener first;
  TestListener second;
  const auto one = client.Start(server.address(), Get("/"), {}, &first);
  const auto two = client.Start(server.address(), Get("/"), {}, &second);
  RunUntil(loop, [&] { return second.over(); });
  REQUIRE(second.failure.has_value());
  CHECK(second.failure->fault == CallFault::kConnectionLimit);
  CHECK_FALSE(second.failure->sent);
  CHECK_FALSE(first.over());
  one->Cancel();
}

// Guards against a booking that is sent on a connection which its endpoint has
// already closed, so that its outcome is unknown.
TEST_CASE("no call is sent on a connection whose close has arrived") {
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk);
  HttpClient client(loop, {});
  TestListener first;
  const auto call = client.Start(server.address(), Get("/"), {}, &first);
  RunUntil(loop, [&] { return first.over(); });
  SECTION("normally") {
    server.connections.front()->CloseWhenIdle();
  }
  SECTION("by a reset") {
    server.connections.front()->Abort();
  }
  // The loop has not seen the close yet.
  TestListener second;
  const auto fresh = client.Start(server.address(), Get("/"), {}, &second);
  RunUntil(loop, [&] { return second.over(); });
  CHECK_FALSE(second.failure.has_value());
  CHECK(second.status == 200);
  CHECK(client.counters().connections_opened == 2);
  CHECK(client.OpenConnections(server.address()) == 1);
}

// Guards against attempts that are given up at once, as not connected, since
// the process was busy just before they began.
TEST_CASE("the time to connect counts from the start of the call") {
  EventLoop loop;
  // A listener whose queue is full answers no further connection for a second.
  Poco::Net::ServerSocket listener;
  listener.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
  listener.listen(0);
  std::vector<Poco::Net::StreamSocket> queued(4);
  for (Poco::Net::StreamSocket& socket : queued)
    socket.connectNB(listener.address());
  constexpr Milliseconds kBusy{300};
  constexpr Milliseconds kConnectTimeout{200};
  HttpClient client(loop, {});
  TestListener call_listener;
  std::this_thread::sleep_for(kBusy);
  const MonotonicTime start = MonotonicNow();
  const auto call =
      client.Start({"127.0.0.1", listener.address().port()}, Get("/"),
                   {.connect_timeout = kConnectTimeout}, &call_listener);
  RunUntil(loop, [&] { return call_listener.over(); });
  REQUIRE(call_listener.failure.has_value());
  CHECK(call_listener.failure->fault == CallFault::kNotConnected);
  CHECK(MonotonicNow() - start >= kConnectTimeout);
}

TEST_CASE("an observer sees what the client's connections do") {
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk);
  RecordingObserver observer;
  HttpClient client(loop, {});
  client.SetObserver(&observer);
  TestListener listener;
  const auto call = client.Start(server.address(), Get("/"), {}, &listener);
  RunUntil(loop, [&] { return listener.over(); });
  CHECK(observer.events == "start connected sent bytes ended ");
  SECTION("a call on the open connection") {
    observer.events.clear();
    TestListener second;
    const auto next = client.Start(server.address(), Get("/"), {}, &second);
    RunUntil(loop, [&] { return second.over(); });
    CHECK(observer.events == "sent bytes ended ");
  }
  SECTION("the idle connection is reset") {
    observer.events.clear();
    for (const auto& connection : server.connections)
      connection->Abort();
    RunUntil(loop, [&] { return !observer.events.empty(); });
    CHECK(observer.events == "broken ");
  }
  SECTION("a connection that is refused, and one that is given up") {
    const NetAddress closed = server.address();
    server.listener->Close();
    client.RemoveAddress(closed);
    observer.events.clear();
    TestListener refused;
    const auto failing = client.Start(closed, Get("/"), {}, &refused);
    RunUntil(loop, [&] { return refused.over(); });
    CHECK(observer.events == "start failed ");
    TestListener given_up;
    client.Start(closed, Get("/"), {}, &given_up)->Cancel();
    CHECK(observer.events == "start failed start abandoned ");
  }
}

TEST_CASE("a connection that was opened as a probe serves the next call") {
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk);
  RecordingObserver observer;
  HttpClient client(loop, {});
  client.SetObserver(&observer);
  client.SetConnectionLimit(server.address(), 1);
  CHECK(client.OpenConnection(server.address(), Milliseconds(500)));
  CHECK(!client.OpenConnection(server.address(), Milliseconds(500)));
  RunUntil(loop, [&] { return server.accepted == 1; });
  RunFor(loop, Milliseconds(20));
  CHECK(observer.events == "start connected ");
  TestListener listener;
  const auto call = client.Start(server.address(), Get("/"), {}, &listener);
  RunUntil(loop, [&] { return listener.over(); });
  CHECK(listener.ended);
  CHECK(observer.events == "start connected sent bytes ended ");
  CHECK(client.counters().connections_opened == 1);
}

TEST_CASE("a probe that is refused frees its place") {
  EventLoop loop;
  NetAddress closed;
  {
    const LoopbackServer server(loop, AnswerOk);
    closed = server.address();
  }
  RecordingObserver observer;
  HttpClient client(loop, {});
  client.SetObserver(&observer);
  client.OpenConnection(closed, Milliseconds(500));
  RunUntil(loop, [&] { return observer.events == "start failed "; });
  CHECK(client.OpenConnections(closed) == 0);
  client.OpenConnection(closed, Milliseconds(500));
  client.RemoveAddress(closed);
  CHECK(observer.events == "start failed start abandoned ");
  CHECK(client.OpenConnections(closed) == 0);
}

}  // namespace
}  // namespace carobshift
