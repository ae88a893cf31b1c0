// Sends this instance's account usage to the other instances and applies
// theirs.
//
//   AccountUsageSharing sharing(loop, cluster, datagrams, account_usage);
//   sharing.OnTick();

#ifndef CAROBSHIFT_GATEWAY_ADMISSION_ACCOUNT_USAGE_SHARING_H_
#define CAROBSHIFT_GATEWAY_ADMISSION_ACCOUNT_USAGE_SHARING_H_

#include <cstdint>

#include "carobshift/gateway/admission/account_usage.h"
#include "carobshift/gateway/instances/cluster.h"
#include "carobshift/gateway/instances/peer_datagrams.h"

namespace carobshift {

class AccountUsageSharing {
 public:
  AccountUsageSharing(EventLoop& loop,
                      const Cluster& cluster,
                      PeerDatagrams& datagrams,
                      AccountUsage& account_usage);

  // Call about every Membership::kTick. Also expires old usage.
  void OnTick();

 private:
  EventLoop& loop_;
  const Cluster& cluster_;
  PeerDatagrams& datagrams_;
  AccountUsage& account_usage_;
  std::uint64_t sequence_ = 0;
  MonotonicTime next_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ADMISSION_ACCOUNT_USAGE_SHARING_H_
