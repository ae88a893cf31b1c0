#include "carobshift/peer/peer_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <utility>

#include "carobshift/base/digest.h"
#include "carobshift/peer/internal/frame_io.h"
#include "carobshift/peer/internal/peer_session.h"
#include "carobshift/peer/peer_codec.h"

namespace carobshift {
namespace {

// A healthy peer accepts within a few round trips of at most 3 ms. A peer that
// doesn't must not block the caller until its deadline.
constexpr Milliseconds kConnectTimeout{1000};

Poco::Timespan AsTimespan(Milliseconds duration) {
  return {std::chrono::duration_cast<Microseconds>(duration).count()};
}

Status Connect(Poco::Net::StreamSocket& socket,
               const NetAddress& peer,
               Milliseconds timeout) {
  try {
    socket.connect(Poco::Net::SocketAddress(peer.host, peer.port),
                   AsTimespan(std::min(timeout, kConnectTimeout)));
    socket.setNoDelay(true);
    socket.setReceiveTimeout(AsTimespan(timeout));
    socket.setSendTimeout(AsTimespan(timeout));
    return {};
  } catch (const Poco::Exception& e) {
    return Error{ResultCode::kPeerUnreachable,
                 "peer " + peer.ToString() + ": " + e.displayText()};
  }
}

}  // namespace

PeerClient::PeerClient(std::string secret) : secret_(std::move(secret)) {}

Result<PeerReply> PeerClient::Call(const NetAddress& peer,
                                   const PeerRequest& request,
                                   Milliseconds timeout) const {
  Poco::Net::StreamSocket socket;
  if (Status status = Connect(socket, peer, timeout); !status.ok())
    return status.error();
  const Result<std::string> hello = ReadFrame(socket, kPeerRandomBytes);
  if (!hello.ok())
    return hello.error();
  const std::string random = RandomBytes(kPeerRandomBytes);
  PeerSession session(secret_, hello.value(), random,
                      PeerSession::Side::kClient);
  // The client proves its knowledge of the secret in a separate small frame, so
  // that the peer reads no large frame from an unauthenticated client.
  if (Status sent = WriteFrame(socket, random + session.Seal("")); !sent.ok())
    return sent.error();
  if (Status sent =
          WriteFrame(socket, session.Seal(EncodePeerRequest(request)));
      !sent.ok())
    return sent.error();
  const Result<std::string> frame = ReadFrame(socket, kMaxPeerFrameBytes);
  if (!frame.ok())
    return frame.error();
  const Result<std::string> payload = session.Open(frame.value());
  if (!payload.ok())
    return payload.error();
  return DecodePeerReply(payload.value());
}

}  // namespace carobshift
