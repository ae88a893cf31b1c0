#include "carobshift/gateway/instances/peer_datagrams.h"

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

// Flags in the first byte, next to the kind.
constexpr std::uint8_t kRelayToZoneFlag = 0x80;
constexpr std::uint8_t kRelayToGroupFlag = 0x40;
constexpr std::uint8_t kRelayFlags = kRelayToZoneFlag | kRelayToGroupFlag;

std::uint8_t FlagOf(RelayScope relay) {
  switch (relay) {
    case RelayScope::kGroup:
      return kRelayToGroupFlag;
    case RelayScope::kZone:
      return kRelayToZoneFlag;
    case RelayScope::kNone:
      break;
  }
  return 0;
}

RelayScope ScopeOf(std::uint8_t flags) {
  if ((flags & kRelayToZoneFlag) != 0)
    return RelayScope::kZone;
  return (flags & kRelayToGroupFlag) != 0 ? RelayScope::kGroup
                                          : RelayScope::kNone;
}

}  // namespace

std::string SealDatagram(PeerDatagramKind kind,
                         std::string_view payload,
                         const std::string& secret,
                         RelayScope relay) {
  std::string body(
      1, static_cast<char>(static_cast<std::uint8_t>(kind) | FlagOf(relay)));
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
                          first & static_cast<std::uint8_t>(~kRelayFlags)),
                      ScopeOf(first), body->substr(1)};
}

PeerDatagrams::PeerDatagrams(EventLoop& loop,
                             const GatewaySettings& settings,
                             const Cluster& cluster)
    : loop_(loop),
      cluster_(cluster),
      address_{settings.host, settings.peer_port},
      secret_(SharedSecret(settings)) {}

PeerDatagrams::~PeerDatagrams() {
  if (port_ != nullptr)
    port_->Close();
}

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
  if (datagram->relay != RelayScope::kNone)
    Relay(*datagram);
  Deliver(datagram->kind, datagram->payload);
}

void PeerDatagrams::Relay(const PeerDatagram& datagram) {
  Send(RelayRoutesFor(cluster_.membership().self(), cluster_.Live(),
                      datagram.relay, ++datagrams_relayed_),
       datagram.kind, datagram.payload);
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
  for (const std::string& payload : payloads)
    Send(routes, kind, payload);
}

void PeerDatagrams::Send(const std::vector<DatagramRoute>& routes,
                         PeerDatagramKind kind,
                         std::string_view payload) {
  std::map<RelayScope, std::string> sealed;
  for (const DatagramRoute& route : routes) {
    std::string& bytes = sealed[route.relay];
    if (bytes.empty())
      bytes = SealDatagram(kind, payload, secret_, route.relay);
    port_->Send(route.to, bytes);
  }
}

}  // namespace carobshift
