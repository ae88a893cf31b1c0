// Asks another entry and waits for its answer.
//
//   PeerClient client(secret);
//   Result<PeerReply> reply = client.Call(address, FetchConfig{}, timeout);
//
// Thread-safe; blocks up to the timeout. Each call opens a connection of its
// own, so none can have gone silent while it was idle.

#ifndef CAROBSHIFT_PEER_PEER_CLIENT_H_
#define CAROBSHIFT_PEER_PEER_CLIENT_H_

#include <string>

#include "carobshift/base/net_address.h"
#include "carobshift/base/result.h"
#include "carobshift/base/units.h"
#include "carobshift/peer/peer_messages.h"

namespace carobshift {

class PeerClient {
 public:
  explicit PeerClient(std::string secret);

  // kPeerUnreachable if no answer came, although the peer may have acted;
  // kPeerRejected if either side refused the other's frames.
  [[nodiscard]] Result<PeerReply> Call(const NetAddress& peer,
                                       const PeerRequest& request,
                                       Milliseconds timeout) const;

 private:
  std::string secret_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_PEER_PEER_CLIENT_H_
