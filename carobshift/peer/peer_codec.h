// Encodes and decodes peer messages in cereal's portable binary format.
//
//   std::string bytes = EncodePeerRequest(request);
//   Result<PeerRequest> request = DecodePeerRequest(bytes);
//
// Pure functions; thread-safe. Decoding allocates no more than the size of its
// input: otherwise a corrupt length would request gigabytes, and the process
// would be killed for it.

#ifndef CAROBSHIFT_PEER_PEER_CODEC_H_
#define CAROBSHIFT_PEER_PEER_CODEC_H_

#include <string>
#include <string_view>

#include "carobshift/base/result.h"
#include "carobshift/peer/peer_messages.h"

namespace carobshift {

[[nodiscard]] std::string EncodePeerRequest(const PeerRequest& request);
[[nodiscard]] std::string EncodePeerReply(const PeerReply& reply);

// Return kPeerRejected for bytes that encode no message.
[[nodiscard]] Result<PeerRequest> DecodePeerRequest(std::string_view bytes);
[[nodiscard]] Result<PeerReply> DecodePeerReply(std::string_view bytes);

}  // namespace carobshift

#endif  // CAROBSHIFT_PEER_PEER_CODEC_H_
