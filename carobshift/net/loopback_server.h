// LoopbackServer is an HTTP server for tests. It runs on loopback in the event
// loop of the code under test and replies through a function of the test.
//
//   EventLoop loop;
//   LoopbackServer server(loop, [](HttpServerConnection& connection,
//                                  const HttpServerRequest& request) {
//     connection.SendCompleteReply(ReplyHead(200), "hello");
//   });
//   // ... start a call to server.address() ...
//   RunUntil(loop, [&] { return answered; });

#ifndef CAROBSHIFT_NET_LOOPBACK_SERVER_H_
#define CAROBSHIFT_NET_LOOPBACK_SERVER_H_

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "carobshift/net/http_server_connection.h"
#include "carobshift/net/tcp_listener.h"

namespace carobshift {

class LoopbackServer : public HttpServerHandler {
 public:
  using Answer =
      std::function<void(HttpServerConnection&, const HttpServerRequest&)>;

  // `host` must be a loopback address.
  LoopbackServer(EventLoop& loop,
                 Answer answer,
                 HttpServerLimits limits = {},
                 std::string host = "127.0.0.1")
      : answer_(std::move(answer)), host_(std::move(host)) {
    auto opened = TcpListener::Open(
        loop, {host_, 0},
        [this, &loop, limits](const Poco::Net::StreamSocket& socket) {
          ++accepted;
          connections.push_back(
              HttpServerConnection::Open(loop, socket, limits, {}, *this));
        });
    REQUIRE(opened.ok());
    listener = opened.value();
  }
  ~LoopbackServer() override {
    listener->Close();
    for (const auto& connection : connections)
      connection->Abort();
  }

  [[nodiscard]] NetAddress address() const { return {host_, listener->port()}; }

  void OnRequest(const std::shared_ptr<HttpServerConnection>& connection,
                 HttpServerRequest request) override {
    bodies.push_back(request.body);
    answer_(*connection, request);
    if (holds_requests)
      held.push_back(std::move(request));
  }
  void OnCallerDisconnected(HttpServerConnection&) override { ++gone; }
  void OnBackpressure(HttpServerConnection&, bool pause) override {
    paused += pause ? 1 : -1;
  }
  void OnConnectionEnd(HttpServerConnection&) override { ++ended; }
  void OnMalformed(int status) override { malformed.push_back(status); }

  std::shared_ptr<TcpListener> listener;
  std::vector<std::shared_ptr<HttpServerConnection>> connections;
  std::vector<std::string> bodies;
  std::vector<int> malformed;
  // Whether requests are held after their answer, as while an endpoint reads
  // them.
  bool holds_requests = false;
  std::vector<HttpServerRequest> held;
  int accepted = 0;
  int gone = 0;
  int ended = 0;
  // Connections whose source is to pause.
  int paused = 0;

 private:
  Answer answer_;
  std::string host_;
};

// Runs the loop until `done` returns true; fails the test after `longest`.
inline void RunUntil(EventLoop& loop,
                     const std::function<bool()>& done,
                     Milliseconds longest = Milliseconds(5000)) {
  const MonotonicTime end = MonotonicNow() + longest;
  while (!done()) {
    REQUIRE(MonotonicNow() < end);
    loop.RunOnce(Milliseconds(20));
  }
}

// Runs the loop for `time`.
inline void RunFor(EventLoop& loop, Milliseconds time) {
  const MonotonicTime end = MonotonicNow() + time;
  while (MonotonicNow() < end)
    loop.RunOnce(Milliseconds(20));
}

inline HttpHead ReplyHead(int status) {
  HttpHead head;
  head.status = status;
  return head;
}

// Pace at which a slow link delivers a reply.
struct ReplyPace {
  std::size_t pieces = 1;
  // Time between two pieces.
  Milliseconds pause{0};

  // Time from the first piece to the last.
  [[nodiscard]] Milliseconds Length() const {
    return pause * static_cast<int>(pieces - 1);
  }
};

namespace internal {

inline void SendPieces(EventLoop& loop,
                       const std::weak_ptr<HttpServerConnection>& to,
                       std::string rest,
                       std::size_t piece,
                       Milliseconds pause) {
  const auto connection = to.lock();
  if (connection == nullptr)
    return;
  connection->SendChunk(rest.substr(0, piece));
  if (rest.size() <= piece) {
    connection->EndStream();
    return;
  }
  loop.AddTimer(loop.now() + pause,
                [&loop, to, rest = rest.substr(piece), piece, pause] {
                  SendPieces(loop, to, rest, piece, pause);
                });
}

}  // namespace internal

// Sends `body`, which must not be empty, in pieces at the given pace.
inline void SendSlowly(EventLoop& loop,
                       HttpServerConnection& connection,
                       HttpHead head,
                       const std::string& body,
                       const ReplyPace& pace) {
  connection.BeginStream(std::move(head));
  const std::size_t piece = (body.size() + pace.pieces - 1) / pace.pieces;
  internal::SendPieces(loop, connection.weak_from_this(), body, piece,
                       pace.pause);
}

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_LOOPBACK_SERVER_H_
