// Sends and receives authenticated datagrams between the instances of a
// deployment, other than gossip. Each datagram has a message authentication
// code and a kind.
//
//   PeerDatagrams datagrams(loop, settings, cluster);
//   datagrams.SetHandler(PeerDatagramKind::kLoadReport,
//                        [](std::string_view payload) { ... });
//   datagrams.Start();
//   datagrams.SendToOthers(PeerDatagramKind::kLoadReport, payloads);

#ifndef CAROBSHIFT_GATEWAY_INSTANCES_PEER_DATAGRAMS_H_
#define CAROBSHIFT_GATEWAY_INSTANCES_PEER_DATAGRAMS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/result.h"
#include "carobshift/gateway/gateway_settings.h"
#include "carobshift/gateway/instances/cluster.h"
#include "carobshift/gateway/instances/datagram_routes.h"
#include "carobshift/net/udp_port.h"

namespace carobshift {

enum class PeerDatagramKind : std::uint8_t {
  kLoadReport = 1,
  kLoadUpdate = 3,
  kLoadQuery = 4,
  kLoadAnswer = 5,
  kLimitUpdate = 6,
  kColdStartUpdate = 7,
  kRejectionUpdate = 8,
  kReachability = 9,
  kStreamRecords = 10,
  kStreamQuery = 11,
  kStreamAnswer = 12,
  kPartCrash = 13,
  kPartVerdict = 14,
  kAccountUsage = 15,
  // Not 2, which had no time of the holder's answer: while the software is
  // replaced, instances of two versions run side by side.
  kCacheUpdate = 16,
};

struct PeerDatagram {
  PeerDatagramKind kind = PeerDatagramKind::kLoadReport;
  RelayScope relay = RelayScope::kNone;
  std::string_view payload;
};

[[nodiscard]] std::string SealDatagram(PeerDatagramKind kind,
                                       std::string_view payload,
                                       const std::string& secret,
                                       RelayScope relay = RelayScope::kNone);
// Returns nullopt if `bytes` were not sealed with the same secret. The payload
// points into `bytes`.
[[nodiscard]] std::optional<PeerDatagram> OpenDatagram(
    std::string_view bytes,
    const std::string& secret);

class PeerDatagrams {
 public:
  using Handler = std::function<void(std::string_view payload)>;

  PeerDatagrams(EventLoop& loop,
                const GatewaySettings& settings,
                const Cluster& cluster);
  ~PeerDatagrams();
  PeerDatagrams(const PeerDatagrams&) = delete;
  PeerDatagrams& operator=(const PeerDatagrams&) = delete;

  [[nodiscard]] Status Start();
  void SetHandler(PeerDatagramKind kind, Handler handler) {
    handlers_[kind] = std::move(handler);
  }
  // Passes a payload to the handler of its kind, if there is one.
  void Deliver(PeerDatagramKind kind, std::string_view payload);
  // Sends to all other live instances, in large deployments through relays
  // (datagram_routes.h). Delivery is not guaranteed. All payloads of one call
  // take the same routes, which keeps their order.
  void SendToOthers(PeerDatagramKind kind,
                    const std::vector<std::string>& payloads);
  // Sends to one instance at its peer address. Delivery is not guaranteed.
  void SendTo(const NetAddress& peer,
              PeerDatagramKind kind,
              std::string_view payload);

 private:
  void OnDatagram(std::string_view bytes);
  void Relay(const PeerDatagram& datagram);
  void Send(const std::vector<DatagramRoute>& routes,
            PeerDatagramKind kind,
            std::string_view payload);

  EventLoop& loop_;
  const Cluster& cluster_;
  NetAddress address_;
  std::string secret_;
  std::shared_ptr<UdpPort> port_;
  std::map<PeerDatagramKind, Handler> handlers_;
  // Number of broadcasts and of relayed datagrams so far, which rotate the
  // relays.
  std::uint64_t broadcasts_sent_ = 0;
  std::uint64_t datagrams_relayed_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_INSTANCES_PEER_DATAGRAMS_H_
