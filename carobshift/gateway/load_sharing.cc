#include "carobshift/gateway/load_sharing.h"

#include "carobshift/gateway/load_report_codec.h"

namespace carobshift {

LoadSharing::LoadSharing(EventLoop& loop,
                         const GatewaySettings& settings,
                         const Cluster& cluster,
                         LoadBook& book)
    : loop_(loop),
      cluster_(cluster),
      book_(book),
      address_{settings.host, settings.peer_port},
      secret_(SharedSecret(settings)) {}

Status LoadSharing::Start() {
  auto port = UdpPort::Open(
      loop_, address_, [this](std::string_view bytes) { OnDatagram(bytes); });
  if (!port.ok())
    return port.error();
  port_ = port.value();
  return {};
}

void LoadSharing::OnDatagram(std::string_view bytes) {
  // Anything else is dropped: a report is one of many.
  const Result<LoadReport> report = DecodeLoadReport(bytes, secret_);
  if (report.ok())
    book_.OnPeerReport(report.value(), loop_.now());
}

void LoadSharing::OnTick() {
  if (loop_.now() < next_)
    return;
  const std::vector<MemberInfo> live = cluster_.Live();
  const Milliseconds period = LoadBook::PeriodFor(live.size());
  next_ = loop_.now() + period;
  const std::string bytes = EncodeLoadReport({.sender = cluster_.incarnation(),
                                              .sequence = ++sequence_,
                                              .period = period,
                                              .loads = book_.Own()},
                                             secret_);
  for (const MemberInfo& member : live) {
    if (member.incarnation != cluster_.incarnation())
      port_->Send(member.peer_address(), bytes);
  }
}

}  // namespace carobshift
