// Tests in which order EventLoop reads sockets and runs timers, over loopback.

#include "carobshift/net/event_loop.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "carobshift/net/http_client.h"
#include "carobshift/net/http_test_calls.h"
#include "carobshift/net/loopback_server.h"
#include "carobshift/net/tcp_connection.h"

namespace carobshift {
namespace {

// A connection in the loop whose peer is a plain socket of the test.
class ReadingConnection : public TcpConnectionHandler {
 public:
  explicit ReadingConnection(EventLoop& loop) {
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    peer_.connect(listener.address());
    socket_ = listener.acceptConnection();
    connection_ = TcpConnection::Accept(loop, socket_, {}, this);
  }
  ~ReadingConnection() override { connection_->Close(); }

  // Sends bytes to the connection and waits until they have arrived.
  void Receive(int bytes) {
    const std::string text(static_cast<std::size_t>(bytes), 'x');
    REQUIRE(peer_.sendBytes(text.data(), bytes) == bytes);
    const MonotonicTime end = MonotonicNow() + Seconds(5);
    while (socket_.available() < bytes)
      REQUIRE(MonotonicNow() < end);
  }
  [[nodiscard]] std::size_t received() const { return received_; }
  // Called for each piece that has been read.
  void SetOnData(std::function<void()> on_data) {
    on_data_ = std::move(on_data);
  }

  void OnData(std::string_view bytes) override {
    received_ += bytes.size();
    if (on_data_)
      on_data_();
  }
  void OnClosed(CloseReason) override {}

 private:
  Poco::Net::StreamSocket peer_;
  Poco::Net::StreamSocket socket_;
  std::shared_ptr<TcpConnection> connection_;
  std::size_t received_ = 0;
  std::function<void()> on_data_;
};

// Guards against timeouts that act while input of their time is unread.
TEST_CASE("a timer runs after all input that had arrived has been read") {
  constexpr int kSeveralReads = 48 << 10;
  EventLoop loop;
  ReadingConnection connection(loop);
  connection.Receive(kSeveralReads);
  std::size_t read_before = 0;
  loop.AddTimer(loop.now(), [&] { read_before = connection.received(); });
  loop.RunOnce(Milliseconds(0));
  CHECK(read_before == kSeveralReads);
}

// Guards against a peer that sends without pause and holds up all timeouts.
TEST_CASE("input without end doesn't keep timers from running") {
  EventLoop loop;
  ReadingConnection connection(loop);
  connection.SetOnData([&] { connection.Receive(1); });
  connection.Receive(1);
  bool has_run = false;
  loop.AddTimer(loop.now(), [&] { has_run = true; });
  loop.RunOnce(Milliseconds(0));
  CHECK(has_run);
}

// A server at which the first request makes the loop stand still, in the middle
// of an iteration, and then opens a connection.
class StandingStill {
 public:
  // `meanwhile` is called while the loop stands still.
  StandingStill(EventLoop& loop,
                Milliseconds time,
                std::function<void()> meanwhile)
      : client_(loop, {}),
        server_(loop,
                [this, time, meanwhile](HttpServerConnection& connection,
                                        const HttpServerRequest& request) {
                  if (call_ == nullptr) {
                    meanwhile();
                    std::this_thread::sleep_for(time);
                    call_ = client_.Start(server_.address(), Get("/"), {},
                                          &listener_);
                  }
                  AnswerOk(connection, request);
                }) {}

  void Run(EventLoop& loop) {
    TestListener listener;
    HttpClient client(loop, {});
    const auto call = client.Start(server_.address(), Get("/"), {}, &listener);
    RunUntil(loop, [&] { return listener.over(); });
    call_->Cancel();
  }

 private:
  HttpClient client_;
  LoopbackServer server_;
  TestListener listener_;
  std::shared_ptr<ClientCall> call_;
};

// Guards against callers that are told 408 although their request was there.
TEST_CASE("a request that arrives while the loop stands still is not late") {
  constexpr Milliseconds kHeadTimeout{400};
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk, {.head_timeout = kHeadTimeout});
  Poco::Net::StreamSocket caller(
      Poco::Net::SocketAddress("127.0.0.1", server.address().port));
  const std::string request = Get("/");
  const int half = static_cast<int>(request.size() / 2);
  caller.sendBytes(request.data(), half);
  RunUntil(loop, [&] { return server.accepted == 1; });
  RunFor(loop, Milliseconds(20));
  StandingStill pause(loop, kHeadTimeout + Milliseconds(100), [&] {
    caller.sendBytes(request.data() + half,
                     static_cast<int>(request.size()) - half);
  });
  pause.Run(loop);
  RunUntil(loop,
           [&] { return !server.bodies.empty() || !server.malformed.empty(); });
  CHECK(server.malformed.empty());
  CHECK(server.bodies.size() == 1);
}

// Guards against attempts that are given up although they are connected.
TEST_CASE("a connection made while the loop stands still is not given up") {
  constexpr Milliseconds kConnectTimeout{100};
  EventLoop loop;
  LoopbackServer server(loop, AnswerOk);
  HttpClient client(loop, {});
  TestListener listener;
  std::shared_ptr<ClientCall> call;
  StandingStill pause(loop, kConnectTimeout + Milliseconds(50), [&] {
    if (call == nullptr)
      call = client.Start(server.address(), Get("/"),
                          {.connect_timeout = kConnectTimeout}, &listener);
  });
  pause.Run(loop);
  RunUntil(loop, [&] { return listener.over(); });
  CHECK_FALSE(listener.failure.has_value());
  CHECK(listener.status == 200);
}

}  // namespace
}  // namespace carobshift
