#include "carobshift/gateway/peer_datagrams.h"

#include "carobshift/base/digest.h"
#include "carobshift/gateway/datagram_routes.h"

namespace carobshift {
namespace {

// In the first byte, beside the kind.
constexpr std::uint8_t kPassOn = 0x80;

}  // namespace

std::string SealDatagram(PeerDatagramKind kind,
                         std::string_view payload,
                         const std::string& secret,
                         bool pass_on) {
  std::string body(1, static_cast<char>(static_cast<std::uint8_t>(kind) |
                                        (pass_on ? kPassOn : std::uint8_t{0})));
  body += payload;
  return Seal(body, secret);
}

std::optional<PeerDatagram> OpenDatagram(std::string_view bytes,
                                         const std::string& secret) {
  const auto body = Unseal(bytes, secret);
  if (!body)
    return std::nullopt;
  const auto first = static_cast<std::uint8_t>(body->front());
  return PeerDatagram{static_cast<PeerDatagramKind>(
                          first & static_cast<std::uint8_t>(~kPassOn)),
                      (first & kPassOn) != 0, body->substr(1)};
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
  // Anything else is dropped: whatever is sent here is repeated.
  const auto datagram = OpenDatagram(bytes, secret_);
  if (!datagram)
    return;
  if (datagram->pass_on) {
    const std::string plain =
        SealDatagram(datagram->kind, datagram->payload, secret_);
    for (const MemberInfo& member :
         ZoneOf(cluster_.membership().self(), cluster_.Live()))
      port_->Send(member.peer_address(), plain);
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
  const std::vector<DatagramRoute> routes =
      RoutesFor(cluster_.membership().self(), cluster_.Live(), ++turn_);
  for (const std::string& payload : payloads) {
    const std::string plain = SealDatagram(kind, payload, secret_);
    const std::string passed =
        SealDatagram(kind, payload, secret_, /*pass_on=*/true);
    for (const DatagramRoute& route : routes)
      port_->Send(route.to, route.passes_on ? passed : plain);
  }
}

}  // namespace carobshift
