// Sends the rejection limits that endpoints state, and rejections at them, to
// the other instances and applies what they send.
//
//   RejectionSharing sharing(loop, cluster, datagrams, limits);
//   sharing.OnTick();
//   sharing.Publish();  // when there are news
//
// News are sent at once and not with the next tick: an endpoint that falls over
// after two rejections in a second doesn't bear a tenth of it unnoticed.

#ifndef CAROBSHIFT_GATEWAY_ENDPOINTS_REJECTION_SHARING_H_
#define CAROBSHIFT_GATEWAY_ENDPOINTS_REJECTION_SHARING_H_

#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/result.h"
#include "carobshift/gateway/endpoints/rejection_limits.h"
#include "carobshift/gateway/instances/cluster.h"
#include "carobshift/gateway/instances/peer_datagrams.h"

namespace carobshift {

// Encodes the payload of one datagram.
[[nodiscard]] std::string EncodeRejectionUpdates(
    const RejectionUpdates& updates);
// Returns kPeerRejected if `payload` is incomplete or malformed.
[[nodiscard]] Result<RejectionUpdates> DecodeRejectionUpdates(
    std::string_view payload);
// Splits the updates into parts of at most `max_updates`.
[[nodiscard]] std::vector<RejectionUpdates> SplitRejectionUpdates(
    const RejectionUpdates& updates,
    std::size_t max_updates);

class RejectionSharing {
 public:
  // Keeps a datagram below the size at which networks fragment it.
  static constexpr std::size_t kMaxUpdatesPerDatagram = 30;

  RejectionSharing(EventLoop& loop,
                   const Cluster& cluster,
                   PeerDatagrams& datagrams,
                   RejectionLimits& limits);

  // Call about every Membership::kTick.
  void OnTick();
  // Sends the updates that are due.
  void Publish();

 private:
  void OnDatagram(std::string_view payload);
  void Apply(const RejectionLimitUpdate& update);
  void Apply(const RejectionUpdate& update);

  EventLoop& loop_;
  const Cluster& cluster_;
  PeerDatagrams& datagrams_;
  RejectionLimits& limits_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINTS_REJECTION_SHARING_H_
