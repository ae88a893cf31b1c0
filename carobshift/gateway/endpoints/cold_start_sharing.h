// Sends the cold times that endpoints state in their answers to the other
// instances, and applies those that they send. An endpoint may become cold at
// any moment; its record says so a second or two later.
//
//   ColdStartSharing sharing(loop, cluster, datagrams, registry, limits);
//   sharing.OnStatement(record, remaining);
//   sharing.OnTick();

#ifndef CAROBSHIFT_GATEWAY_ENDPOINTS_COLD_START_SHARING_H_
#define CAROBSHIFT_GATEWAY_ENDPOINTS_COLD_START_SHARING_H_

#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/result.h"
#include "carobshift/gateway/endpoints/cold_start_limits.h"
#include "carobshift/gateway/endpoints/endpoint_registry.h"
#include "carobshift/gateway/instances/cluster.h"
#include "carobshift/gateway/instances/peer_datagrams.h"

namespace carobshift {

// One endpoint's cold time, as sent between instances.
struct ColdStartUpdate {
  EndpointId endpoint;
  EndpointStartTime start_time{};
  Milliseconds remaining{0};

  friend bool operator==(const ColdStartUpdate&,
                         const ColdStartUpdate&) = default;
};

// Encodes the payload of one datagram.
[[nodiscard]] std::string EncodeColdStartUpdates(
    const std::vector<ColdStartUpdate>& updates);
// Returns kPeerRejected if `payload` is incomplete, malformed or states a
// negative time.
[[nodiscard]] Result<std::vector<ColdStartUpdate>> DecodeColdStartUpdates(
    std::string_view payload);

class ColdStartSharing {
 public:
  // Keeps a datagram below the size at which networks fragment it.
  static constexpr std::size_t kMaxUpdatesPerDatagram = 20;

  ColdStartSharing(EventLoop& loop,
                   const Cluster& cluster,
                   PeerDatagrams& datagrams,
                   const EndpointRegistry& registry,
                   ColdStartLimits& limits);

  // Records a statement of an endpoint's answer. If it is new, it is sent to
  // the other instances at the next tick.
  void OnStatement(const EndpointRecord& endpoint, Milliseconds remaining);
  // Call about every Membership::kTick.
  void OnTick();

 private:
  void OnDatagram(std::string_view payload);

  EventLoop& loop_;
  const Cluster& cluster_;
  PeerDatagrams& datagrams_;
  const EndpointRegistry& registry_;
  ColdStartLimits& limits_;
  std::vector<ColdStartUpdate> unsent_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINTS_COLD_START_SHARING_H_
