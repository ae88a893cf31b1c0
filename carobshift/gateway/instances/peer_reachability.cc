#include "carobshift/gateway/instances/peer_reachability.h"

#include <algorithm>

#include "carobshift/base/digest.h"

namespace carobshift {

std::uint64_t ServiceHash(const ServiceName& service) {
  return FastHash(service.value());
}

void PeerReachability::EndLoss(const EntryId& id,
                               Peer& peer,
                               std::uint64_t service,
                               MonotonicTime end) {
  const auto loss = peer.losses.find(service);
  if (loss == peer.losses.end())
    return;
  if (end - loss->second.since >= kLeaveDelay) {
    const auto spread = static_cast<std::int64_t>(
        FastHash(id.value()) %
        static_cast<std::uint64_t>(kReturnSpread.count()));
    peer.left_out_until[service] = end + kReturnDelay + Milliseconds(spread);
  }
  peer.losses.erase(loss);
}

void PeerReachability::OnAnnouncement(
    const ReachabilityAnnouncement& announcement,
    MonotonicTime now) {
  Expire(now);
  if (announcement.unreached.empty() && !peers_.contains(announcement.sender))
    return;
  Peer& peer = peers_[announcement.sender];
  if (peer.incarnation == announcement.incarnation &&
      announcement.sequence <= peer.sequence)
    return;
  peer.incarnation = announcement.incarnation;
  peer.sequence = announcement.sequence;
  peer.last_heard = now;
  std::vector<std::uint64_t> ended;
  for (const auto& [service, loss] : peer.losses) {
    if (std::find(announcement.unreached.begin(), announcement.unreached.end(),
                  service) == announcement.unreached.end())
      ended.push_back(service);
  }
  for (const std::uint64_t service : ended)
    EndLoss(announcement.sender, peer, service, now);
  for (const std::uint64_t service : announcement.unreached) {
    const auto [loss, added] = peer.losses.try_emplace(service, Loss{now, now});
    loss->second.last_heard = now;
  }
}

void PeerReachability::Expire(MonotonicTime now) {
  for (auto& [id, peer] : peers_) {
    std::map<std::uint64_t, MonotonicTime> ended;
    for (const auto& [service, loss] : peer.losses) {
      if (now - loss.last_heard >= kAnnouncementLifetime)
        ended[service] = loss.last_heard + kAnnouncementLifetime;
    }
    for (const auto& [service, end] : ended)
      EndLoss(id, peer, service, end);
    std::erase_if(peer.left_out_until,
                  [now](const auto& entry) { return now >= entry.second; });
  }
  // The sequence number is kept for a while after the last announcement, since
  // an older one may still arrive.
  std::erase_if(peers_, [now](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.losses.empty() && peer.left_out_until.empty() &&
           now - peer.last_heard >= kAnnouncementLifetime;
  });
}

bool PeerReachability::Reaches(const EntryId& peer,
                               const ServiceName& service,
                               MonotonicTime now) const {
  const auto found = peers_.find(peer);
  if (found == peers_.end())
    return true;
  const auto loss = found->second.losses.find(ServiceHash(service));
  return loss == found->second.losses.end() ||
         now - loss->second.last_heard >= kAnnouncementLifetime;
}

bool PeerReachability::MayBeTold(const EntryId& peer,
                                 const ServiceName& service,
                                 MonotonicTime now) const {
  const auto found = peers_.find(peer);
  if (found == peers_.end())
    return true;
  const std::uint64_t hash = ServiceHash(service);
  const auto until = found->second.left_out_until.find(hash);
  if (until != found->second.left_out_until.end() && now < until->second)
    return false;
  const auto loss = found->second.losses.find(hash);
  return loss == found->second.losses.end() ||
         now - loss->second.since < kLeaveDelay;
}

}  // namespace carobshift
