// Sends this instance's load reports to the other instances and applies theirs.
//
//   LoadSharing sharing(loop, cluster, datagrams, load_tracker);
//   sharing.OnTick();

#ifndef CAROBSHIFT_GATEWAY_LOAD_LOAD_SHARING_H_
#define CAROBSHIFT_GATEWAY_LOAD_LOAD_SHARING_H_

#include <cstdint>

#include "carobshift/gateway/instances/cluster.h"
#include "carobshift/gateway/instances/peer_datagrams.h"
#include "carobshift/gateway/load/load_tracker.h"

namespace carobshift {

class LoadSharing {
 public:
  LoadSharing(EventLoop& loop,
              const Cluster& cluster,
              PeerDatagrams& datagrams,
              LoadTracker& load_tracker);

  // Call about every Membership::kTick.
  void OnTick();

 private:
  EventLoop& loop_;
  const Cluster& cluster_;
  PeerDatagrams& datagrams_;
  LoadTracker& load_tracker_;
  std::uint64_t sequence_ = 0;
  MonotonicTime next_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_LOAD_LOAD_SHARING_H_
