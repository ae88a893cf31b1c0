// Tells the others which limits endpoints name, and takes what they tell.
//
//   LimitSharing sharing(loop, cluster, datagrams, limits);
//   sharing.OnTick();

#ifndef CAROBSHIFT_GATEWAY_LIMIT_SHARING_H_
#define CAROBSHIFT_GATEWAY_LIMIT_SHARING_H_

#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/result.h"
#include "carobshift/gateway/cluster.h"
#include "carobshift/gateway/peer_datagrams.h"
#include "carobshift/gateway/rate_limits.h"

namespace carobshift {

// One datagram's payload.
[[nodiscard]] std::string EncodeLimitNews(const std::vector<LimitNews>& news);
// kPeerRejected for anything else than whole news.
[[nodiscard]] Result<std::vector<LimitNews>> DecodeLimitNews(
    std::string_view payload);

class LimitSharing {
 public:
  // So that a datagram stays below the size at which networks cut it up.
  static constexpr std::size_t kMostInDatagram = 30;

  LimitSharing(EventLoop& loop,
               const Cluster& cluster,
               PeerDatagrams& datagrams,
               RateLimits& limits);

  // About every kTick.
  void OnTick();

 private:
  void OnDatagram(std::string_view payload);

  EventLoop& loop_;
  const Cluster& cluster_;
  PeerDatagrams& datagrams_;
  RateLimits& limits_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_LIMIT_SHARING_H_
