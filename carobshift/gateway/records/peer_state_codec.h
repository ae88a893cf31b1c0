// Encodes the platform's records that one instance sends to another, as bytes
// with a message authentication code.
//
//   std::string bytes = EncodePeerState(state, secret);
//   Result<PeerState> state = DecodePeerState(bytes, secret);

#ifndef CAROBSHIFT_GATEWAY_RECORDS_PEER_STATE_CODEC_H_
#define CAROBSHIFT_GATEWAY_RECORDS_PEER_STATE_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/result.h"
#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/records/stream_positions.h"

namespace carobshift {

// The newest record of each key that the sender knows and that has changed
// since the requested positions, unmodified.
struct PeerState {
  std::vector<KeyedRecord> operator_records;
  std::vector<KeyedRecord> endpoint_records;
  // The positions for the next query.
  StreamPositions next;
};

// The changes of one stream since the requested position.
struct StreamChanges {
  std::vector<KeyedRecord> records;
  // The position for the next query: the requested one if a record was omitted.
  LogOffset next;
  // The end of what the sender has read.
  LogOffset end;
  // Time since the log last answered the sender.
  Milliseconds age{0};
  // Age of the sender's records (KeyedFollower::records_as_of).
  Milliseconds records_age{0};
};

struct PeerChanges {
  StreamChanges operators;
  StreamChanges endpoints;
};

[[nodiscard]] std::string EncodePeerState(const PeerState& state,
                                          const std::string& secret);
// Returns kPeerRejected for anything but a complete state under the same
// secret.
[[nodiscard]] Result<PeerState> DecodePeerState(std::string_view bytes,
                                                const std::string& secret);

[[nodiscard]] std::string EncodePeerChanges(const PeerChanges& changes,
                                            const std::string& secret);
// The same for changes. Ages in the result are never negative.
[[nodiscard]] Result<PeerChanges> DecodePeerChanges(std::string_view bytes,
                                                    const std::string& secret);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_RECORDS_PEER_STATE_CODEC_H_
