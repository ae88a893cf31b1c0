#include "carobshift/gateway/connection_options.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/net/loopback_server.h"

namespace carobshift {
namespace {

// A sound endpoint may be silent for a second or so.
constexpr Milliseconds kLongestSoundSilence{2000};
// Time after which Linux sends unacknowledged bytes again at the earliest; it
// doubles with each time.
constexpr Milliseconds kFirstRetransmission{200};

// Returns when bytes that were sent at the start of a silence are first sent
// again after its end.
Milliseconds RetransmissionAfter(Milliseconds silence) {
  Milliseconds wait = kFirstRetransmission;
  Milliseconds at = wait;
  while (at <= silence) {
    wait *= 2;
    at += wait;
  }
  return at;
}

// Returns when the first keep-alive probe is sent after the end of a silence
// that began with the last bytes received.
Milliseconds ProbeAfter(Milliseconds silence, const TcpOptions& options) {
  Milliseconds at = options.probe_interval;
  while (at <= silence)
    at += options.probe_interval;
  return at;
}

// Guards against connections that are given up although their peer was silent
// for no longer than a sound one may be, since retransmissions and probes that
// are lost in the silence are followed by the next ones only later.
TEST_CASE("a sound peer's silence ends no connection that serves a request") {
  for (const TcpOptions& options : {kEndpointTcp, kCallerTcp}) {
    CHECK(RetransmissionAfter(kLongestSoundSilence) < options.user_timeout);
    CHECK(ProbeAfter(kLongestSoundSilence, options) < options.user_timeout);
  }
}

// A peer that doesn't read, so that the sender's window is full.
class PeerThatDoesNotRead : public TcpConnectionHandler {
 public:
  PeerThatDoesNotRead(EventLoop& loop, const TcpOptions& options)
      : loop_(loop) {
    auto opened = TcpListener::Open(
        loop, {"127.0.0.1", 0},
        [this](const Poco::Net::StreamSocket& socket) { peer_ = socket; });
    REQUIRE(opened.ok());
    listener_ = opened.value();
    sender_ = TcpConnection::Connect(loop, {"127.0.0.1", listener_->port()},
                                     options, this);
    sender_->Send(std::string(kBytes, 'x'));
  }
  ~PeerThatDoesNotRead() override {
    listener_->Close();
    sender_->Close();
  }

  // Reads until all bytes or the end have arrived.
  std::size_t Read() {
    std::size_t all = 0;
    std::vector<char> buffer(std::size_t{1} << 20);
    while (all < kBytes) {
      loop_.RunOnce(Milliseconds(1));
      if (!peer_->poll(Poco::Timespan(1000), Poco::Net::Socket::SELECT_READ)) {
        if (closed_at)
          break;
        continue;
      }
      int received = -1;
      try {
        received =
            peer_->receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      } catch (const Poco::Exception&) {
        break;
      }
      if (received <= 0)
        break;
      all += static_cast<std::size_t>(received);
    }
    return all;
  }

  void OnData(std::string_view) override {}
  void OnClosed(CloseReason) override { closed_at = MonotonicNow(); }

  static constexpr std::size_t kBytes = std::size_t{24} << 20;
  std::optional<MonotonicTime> closed_at;

 private:
  EventLoop& loop_;
  std::optional<Poco::Net::StreamSocket> peer_;
  std::shared_ptr<TcpListener> listener_;
  std::shared_ptr<TcpConnection> sender_;
};

// Guards against requests and replies that are broken off because their peer
// doesn't read for a moment.
TEST_CASE("a peer that reads nothing for three seconds gets all bytes") {
  EventLoop loop;
  PeerThatDoesNotRead endpoint(loop, kEndpointTcp);
  PeerThatDoesNotRead caller(loop, kCallerTcp);
  PeerThatDoesNotRead log(loop, kControlTcp);
  const MonotonicTime start = MonotonicNow();
  RunFor(loop, Milliseconds(3000));
  CHECK(endpoint.Read() == PeerThatDoesNotRead::kBytes);
  CHECK(caller.Read() == PeerThatDoesNotRead::kBytes);
  // A call to the log is repeated instead.
  RunUntil(loop, [&] { return log.closed_at.has_value(); });
  CHECK(*log.closed_at - start >= kControlTcp.user_timeout);
  CHECK(*log.closed_at - start < kEndpointTcp.user_timeout);
}

TEST_CASE("a connection has the options of its purpose") {
  EventLoop loop;
  std::optional<Poco::Net::StreamSocket> accepted;
  const auto listener = TcpListener::Open(
      loop, {"127.0.0.1", 0},
      [&](const Poco::Net::StreamSocket& socket) { accepted = socket; });
  REQUIRE(listener.ok());
  Poco::Net::StreamSocket caller;
  caller.connect({"127.0.0.1", listener.value()->port()});
  RunUntil(loop, [&] { return accepted.has_value(); });
  for (const TcpOptions& options : {kEndpointTcp, kCallerTcp, kControlTcp}) {
    const auto connection =
        TcpConnection::Accept(loop, *accepted, options, nullptr);
    int value = 0;
    accepted->getOption(IPPROTO_TCP, TCP_USER_TIMEOUT, value);
    CHECK(Milliseconds(value) == options.user_timeout);
    accepted->getOption(IPPROTO_TCP, TCP_KEEPINTVL, value);
    CHECK(Seconds(value) == options.probe_interval);
    accepted->getOption(IPPROTO_TCP, TCP_KEEPCNT, value);
    // Where the count decides, it gives up no sooner.
    CHECK(options.probe_interval * (value + 1) >= options.user_timeout);
    accepted->getOption(SOL_SOCKET, SO_KEEPALIVE, value);
    CHECK(value == 1);
    loop.Remove(*accepted);
  }
  listener.value()->Close();
}

}  // namespace
}  // namespace carobshift
