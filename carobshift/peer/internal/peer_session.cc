#include "carobshift/peer/internal/peer_session.h"

#include "carobshift/base/digest.h"

namespace carobshift {

PeerSession::PeerSession(std::string_view secret,
                         std::string_view server_random,
                         std::string_view client_random,
                         Side side)
    : key_(HmacSha256(secret,
                      "carobshift peer session:" + std::string(server_random) +
                          std::string(client_random))),
      side_(side) {}

std::string PeerSession::Seal(std::string_view payload) {
  return Mac(side_, sent_count_++, payload) + std::string(payload);
}

Result<std::string> PeerSession::Open(std::string_view frame) {
  const Side other = side_ == Side::kClient ? Side::kServer : Side::kClient;
  if (frame.size() < kPeerMacBytes)
    return Error{ResultCode::kPeerRejected, "a peer's frame is too short"};
  const std::string_view payload = frame.substr(kPeerMacBytes);
  if (!ConstantTimeEqual(frame.substr(0, kPeerMacBytes),
                         Mac(other, received_count_, payload)))
    return Error{ResultCode::kPeerRejected,
                 "a peer's frame is not signed with the deployment's secret"};
  ++received_count_;
  return std::string(payload);
}

std::string PeerSession::Mac(Side from,
                             std::uint64_t number,
                             std::string_view payload) const {
  std::string signed_text(1, from == Side::kClient ? 'c' : 's');
  signed_text += std::to_string(number) + ':';
  signed_text += payload;
  return HmacSha256(key_, signed_text);
}

}  // namespace carobshift
