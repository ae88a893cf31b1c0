// Writes and reads an endpoint's load in datagrams between instances. Only the
// priority levels that hold tokens are sent.
//
//   WriteEndpointLoad(archive, load);
//   const EndpointLoad load = ReadEndpointLoad(archive);

#ifndef CAROBSHIFT_GATEWAY_LOAD_ENDPOINT_LOAD_CODEC_H_
#define CAROBSHIFT_GATEWAY_LOAD_ENDPOINT_LOAD_CODEC_H_

#include "carobshift/gateway/instances/datagram_archive.h"
#include "carobshift/gateway/load/load_tracker.h"

namespace carobshift {

// Writes whole tokens; negative values are written as 0.
void WriteEndpointLoad(DatagramOutput& archive, const EndpointLoad& load);
// Throws cereal::Exception if the archive ends early. Levels that this version
// doesn't know count as the least urgent one.
[[nodiscard]] EndpointLoad ReadEndpointLoad(DatagramInput& archive);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_LOAD_ENDPOINT_LOAD_CODEC_H_
