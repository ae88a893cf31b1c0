// PeerClient sends a request to another entry and waits for the reply.
//
//   PeerClient client(secret);
//   Result<PeerReply> reply = client.Call(address, FetchConfig{}, timeout);
//
// Thread-safe; blocks up to the timeout. Each call opens a new connection, so
// that no call uses an idle connection that has died unnoticed.

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

  // Returns kPeerUnreachable if no reply arrived; the peer may still have
  // executed the request. Returns kPeerRejected if either side rejected the
  // other's frames.
  [[nodiscard]] Result<PeerReply> Call(const NetAddress& peer,
                                       const PeerRequest& request,
                                       Milliseconds timeout) const;

 private:
  std::string secret_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_PEER_PEER_CLIENT_H_
