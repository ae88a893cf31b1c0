// Peer messages as bytes, by cereal's portable binary form.
//
//   std::string bytes = EncodePeerRequest(request);
//   Result<PeerRequest> request = DecodePeerRequest(bytes);
//
// Pure and thread-safe. Decoding allocates no more than the bytes it is given:
// a damaged length would else ask for gigabytes, and the process would be
// killed for it.

#ifndef CAROBSHIFT_PEER_PEER_CODEC_H_
#define CAROBSHIFT_PEER_PEER_CODEC_H_

#include <string>
#include <string_view>

#include "carobshift/base/result.h"
#include "carobshift/peer/peer_messages.h"

namespace carobshift {

[[nodiscard]] std::string EncodePeerRequest(const PeerRequest& request);
[[nodiscard]] std::string EncodePeerReply(const PeerReply& reply);

// kPeerRejected for bytes that encode no message.
[[nodiscard]] Result<PeerRequest> DecodePeerRequest(std::string_view bytes);
[[nodiscard]] Result<PeerReply> DecodePeerReply(std::string_view bytes);

}  // namespace carobshift

#endif  // CAROBSHIFT_PEER_PEER_CODEC_H_
