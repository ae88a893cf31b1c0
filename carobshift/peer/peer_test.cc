#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <catch2/catch.hpp>

#include "carobshift/base/digest.h"
#include "carobshift/peer/internal/frame_io.h"
#include "carobshift/peer/internal/peer_session.h"
#include "carobshift/peer/peer_client.h"
#include "carobshift/peer/peer_codec.h"
#include "carobshift/peer/peer_server.h"

namespace carobshift {
namespace {

constexpr char kSecret[] = "secret";
constexpr Milliseconds kTimeout{2000};

ForwardCall Call() {
  ForwardCall call;
  call.route = CallRoute::kChat;
  call.service = ServiceName("booking");
  call.account = AccountId("north");
  call.key = IdempotencyKey("key");
  call.key_created = WallTime(Milliseconds(17));
  call.owner = Incarnation(99);
  call.body = std::string("a\0b", 3);
  call.time_left = Milliseconds(250);
  call.conversation = ConversationId("c");
  call.not_repeatable = true;
  return call;
}

class EchoHandler : public PeerHandler {
 public:
  CallReply OnForwardCall(const ForwardCall& call) override {
    ++calls;
    return {200, call.content_type, call.body, call.time_left};
  }
  CallReply OnQueryOutcome(const QueryOutcome&) override { return {}; }
  ConfigReply OnFetchConfig(const FetchConfig&) override {
    return {std::string(3'000'000, 'x')};
  }
  std::atomic<int> calls{0};
};

// A raw connection to the server that has received the server's random number.
class RawClient {
 public:
  explicit RawClient(const NetAddress& server)
      : socket_(Poco::Net::SocketAddress(server.host, server.port)) {
    socket_.setReceiveTimeout(Poco::Timespan(2, 0));
    server_random_ = ReadFrame(socket_, 1000).value();
  }
  [[nodiscard]] const std::string& server_random() const {
    return server_random_;
  }
  [[nodiscard]] Poco::Net::StreamSocket& socket() { return socket_; }
  [[nodiscard]] bool IsClosed() {
    const auto frame = ReadFrame(socket_, 1000);
    return !frame.ok() &&
           frame.error().message.find("imeout") == std::string::npos;
  }

 private:
  Poco::Net::StreamSocket socket_;
  std::string server_random_;
};

struct Fixture {
  EchoHandler handler;
  PeerServer server{{NetAddress{"127.0.0.1", 0}}, kSecret, handler};
  NetAddress address = server.Start().value();
};

}  // namespace

TEST_CASE("a request reaches the handler and its reply comes back") {
  Fixture f;
  const PeerClient client(kSecret);
  const auto reply = client.Call(f.address, Call(), kTimeout);
  REQUIRE(reply.ok());
  CHECK(std::get<CallReply>(reply.value()).body == std::string("a\0b", 3));
  CHECK(std::get<CallReply>(reply.value()).retry_after == Milliseconds(250));
  const auto config = client.Call(f.address, FetchConfig{}, kTimeout);
  CHECK(std::get<ConfigReply>(config.value()).checkpoint.size() == 3'000'000);
}

TEST_CASE("messages survive the codec, and damaged ones are refused") {
  const std::string bytes = EncodePeerRequest(Call());
  CHECK(std::get<ForwardCall>(DecodePeerRequest(bytes).value()) == Call());
  for (std::size_t size = 0; size < bytes.size(); ++size)
    CHECK_FALSE(DecodePeerRequest(bytes.substr(0, size)).ok());
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string damaged = bytes;
    damaged[i] = static_cast<char>(damaged[i] ^ 0xff);
    (void)DecodePeerRequest(damaged).ok();
  }
  CHECK_FALSE(DecodePeerRequest("\x01\x09").ok());
}

// Guards against forgery and replay: neither a client without the secret nor
// one that replays a recorded session may cause a booking to run.
TEST_CASE("strangers and recordings are refused and the server lives") {
  Fixture f;
  CHECK_FALSE(PeerClient("wrong").Call(f.address, Call(), kTimeout).ok());
  std::string hello;
  std::string request;
  {
    RawClient recorded(f.address);
    const std::string random = RandomBytes(kPeerRandomBytes);
    PeerSession session(kSecret, recorded.server_random(), random,
                        PeerSession::Side::kClient);
    hello = random + session.Seal("");
    request = session.Seal(EncodePeerRequest(Call()));
    REQUIRE(WriteFrame(recorded.socket(), hello).ok());
    REQUIRE(WriteFrame(recorded.socket(), request).ok());
    CHECK(ReadFrame(recorded.socket(), 10'000).ok());
    REQUIRE(WriteFrame(recorded.socket(), request).ok());
    CHECK(recorded.IsClosed());
  }
  {
    RawClient replay(f.address);
    REQUIRE(WriteFrame(replay.socket(), hello).ok());
    CHECK(replay.IsClosed());
  }
  {
    RawClient oversized(f.address);
    oversized.socket().sendBytes("\xff\xff\xff\xff", 4);
    CHECK(oversized.IsClosed());
  }
  CHECK(f.handler.calls == 1);
  CHECK(f.server.rejected() >= 4);
  CHECK(PeerClient(kSecret).Call(f.address, Call(), kTimeout).ok());
}

TEST_CASE("a peer that is gone or silent is reported in time") {
  NetAddress gone;
  {
    Fixture f;
    gone = f.address;
  }
  const auto reply = PeerClient(kSecret).Call(gone, Call(), kTimeout);
  REQUIRE_FALSE(reply.ok());
  CHECK(reply.error().code == ResultCode::kPeerUnreachable);
  Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
  const NetAddress address{"127.0.0.1", silent.address().port()};
  const auto none =
      PeerClient(kSecret).Call(address, Call(), Milliseconds(100));
  REQUIRE_FALSE(none.ok());
  CHECK(none.error().code == ResultCode::kPeerUnreachable);
}

}  // namespace carobshift
