#include "carobshift/gateway/instances/reachability_sharing.h"

#include <algorithm>
#include <cereal/types/string.hpp>

#include "carobshift/gateway/instances/datagram_archive.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {

std::string EncodeReachabilityAnnouncement(
    const ReachabilityAnnouncement& announcement) {
  return WriteDatagram([&](DatagramOutput& archive) {
    archive(announcement.sender.value(), announcement.incarnation.value(),
            announcement.sequence,
            static_cast<std::uint16_t>(announcement.unreached.size()));
    for (const std::uint64_t service : announcement.unreached)
      archive(service);
  });
}

Result<ReachabilityAnnouncement> DecodeReachabilityAnnouncement(
    std::string_view payload) {
  return ReadDatagram<ReachabilityAnnouncement>(
      payload,
      [](DatagramInput& archive, ReachabilityAnnouncement& announcement) {
        std::string sender;
        std::uint64_t incarnation = 0;
        std::uint16_t count = 0;
        archive(sender, incarnation, announcement.sequence, count);
        announcement.sender = EntryId(sender);
        announcement.incarnation = Incarnation(incarnation);
        for (std::uint16_t i = 0; i < count; ++i) {
          std::uint64_t service = 0;
          archive(service);
          announcement.unreached.push_back(service);
        }
      });
}

std::optional<std::vector<ServiceName>> AnnouncementSchedule::Take(
    const std::vector<ServiceName>& unreached,
    MonotonicTime now) {
  const bool changed = unreached != announced_;
  if (changed && unreached.empty())
    repeats_left_ = kEndRepeats;
  const bool in_force = !unreached.empty() || repeats_left_ > 0;
  if (!changed && (!in_force || now < next_))
    return std::nullopt;
  if (unreached.empty())
    --repeats_left_;
  announced_ = unreached;
  next_ = now + kRepeatInterval;
  return unreached;
}

ReachabilitySharing::ReachabilitySharing(EventLoop& loop,
                                         const Cluster& cluster,
                                         PeerDatagrams& datagrams,
                                         const ServiceReachability& own)
    : loop_(loop), cluster_(cluster), datagrams_(datagrams), own_(own) {
  datagrams_.SetHandler(
      PeerDatagramKind::kReachability,
      [this](std::string_view payload) { OnDatagram(payload); });
}

void ReachabilitySharing::OnTick() {
  announced_.Expire(loop_.now());
  Announce();
}

void ReachabilitySharing::Announce() {
  const auto services = schedule_.Take(own_.Unreached(), loop_.now());
  if (!services)
    return;
  ReachabilityAnnouncement announcement{
      .sender = cluster_.membership().self().id,
      .incarnation = cluster_.incarnation(),
      .sequence = ++sequence_,
      .unreached = {}};
  const std::size_t count = std::min(services->size(), kMaxServices);
  for (std::size_t i = 0; i < count; ++i)
    announcement.unreached.push_back(ServiceHash((*services)[i]));
  announced_.OnAnnouncement(announcement, loop_.now());
  datagrams_.SendToOthers(PeerDatagramKind::kReachability,
                          {EncodeReachabilityAnnouncement(announcement)});
}

void ReachabilitySharing::OnDatagram(std::string_view payload) {
  const auto announcement = DecodeReachabilityAnnouncement(payload);
  if (!announcement.ok()) {
    LogEvent(LogLevel::kWarning, "reachability_announcement_unreadable",
             {{"reason", announcement.error().message}});
    return;
  }
  // Relays may send this instance's own announcement back.
  if (announcement.value().sender != cluster_.membership().self().id)
    announced_.OnAnnouncement(announcement.value(), loop_.now());
}

bool ReachabilitySharing::SelfReaches(const ServiceName& service,
                                      MonotonicTime /*now*/) const {
  return own_.ReachOf(service) == ServiceReach::kReached;
}

bool ReachabilitySharing::AnotherReaches(const ServiceName& service,
                                         MonotonicTime now) const {
  const EntryId& self = cluster_.membership().self().id;
  const std::vector<MemberInfo>& live = cluster_.Live();
  return std::any_of(live.begin(), live.end(), [&](const MemberInfo& member) {
    return member.id != self && PeerReaches(member.id, service, now);
  });
}

bool ReachabilitySharing::PeerReaches(const EntryId& peer,
                                      const ServiceName& service,
                                      MonotonicTime now) const {
  return announced_.Reaches(peer, service, now);
}

}  // namespace carobshift
