// Datagrams between the instances of a deployment, apart from gossip: each with
// an authentication code and a kind.
//
//   PeerDatagrams datagrams(loop, settings, cluster);
//   datagrams.SetHandler(PeerDatagramKind::kLoadReport,
//                        [](std::string_view payload) { ... });
//   datagrams.Start();
//   datagrams.SendToOthers(PeerDatagramKind::kLoadReport, payload);

#ifndef CAROBSHIFT_GATEWAY_PEER_DATAGRAMS_H_
#define CAROBSHIFT_GATEWAY_PEER_DATAGRAMS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/result.h"
#include "carobshift/gateway/cluster.h"
#include "carobshift/gateway/gateway_settings.h"
#include "carobshift/net/udp_port.h"

namespace carobshift {

enum class PeerDatagramKind : std::uint8_t {
  kLoadReport = 1,
  kCacheNews = 2,
  kLoadUpdate = 3,
  kLoadQuestion = 4,
  kLoadAnswer = 5,
  kLimitNews = 6,
};

struct PeerDatagram {
  PeerDatagramKind kind = PeerDatagramKind::kLoadReport;
  // To be sent to the others of the receiver's zone.
  bool pass_on = false;
  std::string_view payload;
};

[[nodiscard]] std::string SealDatagram(PeerDatagramKind kind,
                                       std::string_view payload,
                                       const std::string& secret,
                                       bool pass_on = false);
// Nothing for bytes that were not sealed under the same secret. The payload
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

  [[nodiscard]] Status Start();
  void SetHandler(PeerDatagramKind kind, Handler handler) {
    handlers_[kind] = std::move(handler);
  }
  // Hands a payload to its kind's handler, if there is one.
  void Deliver(PeerDatagramKind kind, std::string_view payload);
  // To every live instance but this one, by way of others where there are many
  // (datagram_routes.h). Any of them may be lost. All go the same ways, so that
  // they arrive in their order.
  void SendToOthers(PeerDatagramKind kind,
                    const std::vector<std::string>& payloads);
  // To one instance, at its peer address. It may be lost.
  void SendTo(const NetAddress& peer,
              PeerDatagramKind kind,
              std::string_view payload);

 private:
  void OnDatagram(std::string_view bytes);

  EventLoop& loop_;
  const Cluster& cluster_;
  NetAddress address_;
  std::string secret_;
  std::shared_ptr<UdpPort> port_;
  std::map<PeerDatagramKind, Handler> handlers_;
  // Of what is sent to everybody.
  std::uint64_t turn_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_PEER_DATAGRAMS_H_
