// Serves requests of other entries: runs requests whose keys this entry owns,
// reports their outcomes and returns the configuration state.
//
//   PeerService service(keyed, fold);
//   PeerServer server(options, secret, service);

#ifndef CAROBSHIFT_SERVER_ONCE_PEER_SERVICE_H_
#define CAROBSHIFT_SERVER_ONCE_PEER_SERVICE_H_

#include "carobshift/peer/peer_server.h"
#include "carobshift/server/once/keyed_calls.h"
#include "carobshift/server/tables/config_fold_table.h"

namespace carobshift {

// Thread-safe.
class PeerService : public PeerHandler {
 public:
  PeerService(KeyedCalls& keyed, ConfigFoldTable& fold)
      : keyed_(keyed), fold_(fold) {}

  CallReply OnForwardCall(const ForwardCall& call) override;
  CallReply OnQueryOutcome(const QueryOutcome& query) override;
  ConfigReply OnFetchConfig(const FetchConfig& fetch) override;

 private:
  KeyedCalls& keyed_;
  ConfigFoldTable& fold_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_ONCE_PEER_SERVICE_H_
