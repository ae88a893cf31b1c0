// What an instance tells another one of the platform's records, as bytes with
// an authentication code.
//
//   std::string bytes = EncodePeerState(state, secret);
//   Result<PeerState> state = DecodePeerState(bytes, secret);

#ifndef CAROBSHIFT_GATEWAY_PEER_STATE_CODEC_H_
#define CAROBSHIFT_GATEWAY_PEER_STATE_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/result.h"
#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/stream_positions.h"

namespace carobshift {

// The newest record of each key that the sender knows and that has changed
// since the positions that were asked for, as they were written.
struct PeerState {
  std::vector<KeyedRecord> operator_records;
  std::vector<KeyedRecord> endpoint_records;
  // The next positions to ask for.
  StreamPositions next;
};

// What has changed in one stream since a position that was asked for.
struct StreamChanges {
  std::vector<KeyedRecord> records;
  // The next position to ask for: that which was asked for if a record was left
  // out.
  LogOffset next;
  // How far the sender has read.
  LogOffset end;
  // Since the log last answered the sender.
  Milliseconds age{0};
};

struct PeerChanges {
  StreamChanges operators;
  StreamChanges endpoints;
};

[[nodiscard]] std::string EncodePeerState(const PeerState& state,
                                          const std::string& secret);
// kPeerRejected for anything else than a whole state under the same secret.
[[nodiscard]] Result<PeerState> DecodePeerState(std::string_view bytes,
                                                const std::string& secret);

[[nodiscard]] std::string EncodePeerChanges(const PeerChanges& changes,
                                            const std::string& secret);
// The same for changes. No age is below zero.
[[nodiscard]] Result<PeerChanges> DecodePeerChanges(std::string_view bytes,
                                                    const std::string& secret);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_PEER_STATE_CODEC_H_
