// Datagrams between entries: cereal's portable binary form of a GossipMessage
// followed by its HMAC-SHA-256 under the deployment's shared secret.
//
//   std::string datagram = EncodeGossip(message, secret);
//   Result<GossipMessage> heard = DecodeGossip(datagram, secret);
//
// All functions are thread-safe.

#ifndef CAROBSHIFT_MEMBERSHIP_GOSSIP_CODEC_H_
#define CAROBSHIFT_MEMBERSHIP_GOSSIP_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "carobshift/base/result.h"
#include "carobshift/membership/member.h"

namespace carobshift {

// Below the usual path MTU of 1500 bytes less IP and UDP headers, so that no
// datagram is fragmented: the loss of one fragment loses the whole.
inline constexpr std::size_t kMaxDatagramBytes = 1400;

[[nodiscard]] std::string EncodeGossip(const GossipMessage& message,
                                       std::string_view secret);

// kPeerRejected for a wrong HMAC or an oversized datagram,
// kMalformedRequest for a body that does not decode. The HMAC is checked
// first, so only holders of the secret reach the decoder.
[[nodiscard]] Result<GossipMessage> DecodeGossip(std::string_view datagram,
                                                 std::string_view secret);

// Encoded sizes, for filling a datagram up to its limit.
[[nodiscard]] std::size_t EncodedSize(const MemberRecord& record);
[[nodiscard]] std::size_t EncodedSize(const Fact& fact);

}  // namespace carobshift

#endif  // CAROBSHIFT_MEMBERSHIP_GOSSIP_CODEC_H_
