// Sends the rate limits that endpoints state to the other instances and applies
// the limits that they send.
//
//   LimitSharing sharing(loop, cluster, datagrams, limits);
//   sharing.OnTick();

#ifndef CAROBSHIFT_GATEWAY_ENDPOINTS_LIMIT_SHARING_H_
#define CAROBSHIFT_GATEWAY_ENDPOINTS_LIMIT_SHARING_H_

#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/result.h"
#include "carobshift/gateway/endpoints/rate_limits.h"
#include "carobshift/gateway/instances/cluster.h"
#include "carobshift/gateway/instances/peer_datagrams.h"

namespace carobshift {

// Encodes the payload of one datagram.
[[nodiscard]] std::string EncodeLimitUpdates(
    const std::vector<LimitUpdate>& updates);
// Returns kPeerRejected if `payload` is incomplete or malformed.
[[nodiscard]] Result<std::vector<LimitUpdate>> DecodeLimitUpdates(
    std::string_view payload);

class LimitSharing {
 public:
  // Keeps a datagram below the size at which networks fragment it.
  static constexpr std::size_t kMaxUpdatesPerDatagram = 30;

  LimitSharing(EventLoop& loop,
               const Cluster& cluster,
               PeerDatagrams& datagrams,
               RateLimits& limits);

  // Call about every Membership::kTick.
  void OnTick();

 private:
  void OnDatagram(std::string_view payload);

  EventLoop& loop_;
  const Cluster& cluster_;
  PeerDatagrams& datagrams_;
  RateLimits& limits_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINTS_LIMIT_SHARING_H_
