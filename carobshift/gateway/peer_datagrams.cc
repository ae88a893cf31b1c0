#include "carobshift/gateway/peer_datagrams.h"

#include "carobshift/base/digest.h"
#include "carobshift/gateway/datagram_routes.h"

namespace carobshift {
namespace {

// Flag in the first byte, next to the kind.
constexpr std::uint8_t kRelayFlag = 0x80;

}  // namespace

std::string SealDatagram(PeerDatagramKind kind,
                         std::string_view payload,
                         const std::string& secret,
                         bool relay) {
  std::string body(1,
                   static_cast<char>(static_cast<std::uint8_t>(kind) |
                                     (relay ? kRelayFlag : std::uint8_t{0})));
  body += payload;
  return PrependMac(body, secret);
}

std::optional<PeerDatagram> OpenDatagram(std::string_view bytes,
                                         const std::string& secret) {
  const auto body = VerifyAndStripMac(bytes, secret);
  if (!body)
    return std::nullopt;
  const auto first = static_cast<std::uint8_t>(body->front());
  return PeerDatagram{static_cast<PeerDatagramKind>(
                          first & static_cast<std::uint8_t>(~kRelayFlag)),
                      (first & kRelayFlag) != 0, body->substr(1)};
}

PeerDatagrams::PeerDatagrams(EventLoop& loop,
                             const GatewaySettings& settings,
                             const Cluster& cluster)
    : loop_(loop),
      cluster_(cluster),
      address_{settings.host, settings.peer_port},
      secret_(SharedSecret(settings)) {}

Status PeerDatagrams::Start() {
  auto port = UdpPort::Open(
      loop_, address_, [this](std::string_view bytes) { OnDatagram(bytes); });
  if (!port.ok())
    return port.error();
  port_ = port.value();
  return {};
}

void PeerDatagrams::OnDatagram(std::string_view bytes) {
  // Invalid datagrams are dropped without a reply; senders repeat what they
  // send.
  const auto datagram = OpenDatagram(bytes, secret_);
  if (!datagram)
    return;
  if (datagram->relay) {
    const std::string direct_bytes =
        SealDatagram(datagram->kind, datagram->payload, secret_);
    for (const MemberInfo& member :
         OthersInZone(cluster_.membership().self(), cluster_.Live()))
      port_->Send(member.peer_address(), direct_bytes);
  }
  Deliver(datagram->kind, datagram->payload);
}

void PeerDatagrams::Deliver(PeerDatagramKind kind, std::string_view payload) {
  const auto handler = handlers_.find(kind);
  if (handler != handlers_.end())
    handler->second(payload);
}

void PeerDatagrams::SendTo(const NetAddress& peer,
                           PeerDatagramKind kind,
                           std::string_view payload) {
  port_->Send(peer, SealDatagram(kind, payload, secret_));
}

void PeerDatagrams::SendToOthers(PeerDatagramKind kind,
                                 const std::vector<std::string>& payloads) {
  if (payloads.empty())
    return;
  const std::vector<DatagramRoute> routes = RoutesFor(
      cluster_.membership().self(), cluster_.Live(), ++broadcasts_sent_);
  for (const std::string& payload : payloads) {
    const std::string direct_bytes = SealDatagram(kind, payload, secret_);
    const std::string relayed_bytes =
        SealDatagram(kind, payload, secret_, /*relay=*/true);
    for (const DatagramRoute& route : routes)
      port_->Send(route.to, route.relays ? relayed_bytes : direct_bytes);
  }
}

}  // namespace carobshift
