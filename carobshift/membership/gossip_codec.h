// Encodes and decodes gossip datagrams: a GossipMessage in cereal's portable
// binary format, followed by its HMAC-SHA-256 under the deployment's shared
// secret.
//
//   std::string datagram = EncodeGossip(message, secret);
//   Result<GossipMessage> received = DecodeGossip(datagram, secret);
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

// Below the usual path MTU of 1500 bytes less IP and UDP headers, so that
// datagrams are never fragmented: losing one fragment loses the whole datagram.
inline constexpr std::size_t kMaxDatagramBytes = 1400;

[[nodiscard]] std::string EncodeGossip(const GossipMessage& message,
                                       std::string_view secret);

// Returns kPeerRejected for a wrong HMAC or an invalid datagram size, and
// kMalformedRequest for a body that does not decode. The HMAC is checked first,
// so only holders of the secret reach the decoder.
[[nodiscard]] Result<GossipMessage> DecodeGossip(std::string_view datagram,
                                                 std::string_view secret);

// Encoded sizes in bytes, for filling a datagram up to its limit.
[[nodiscard]] std::size_t EncodedSize(const MemberRecord& record);
[[nodiscard]] std::size_t EncodedSize(const Fact& fact);

}  // namespace carobshift

#endif  // CAROBSHIFT_MEMBERSHIP_GOSSIP_CODEC_H_
