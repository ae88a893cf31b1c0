// Announces the services that this instance doesn't reach to the other
// instances, and records what they announce.
//
//   ReachabilitySharing sharing(loop, cluster, datagrams, own_reachability);
//   sharing.OnChange();
//   sharing.OnTick();
//   if (!sharing.SelfReaches(service, now)) ...
//   if (sharing.PeerReaches(peer, service, now)) ...
//
// Nothing is sent while all services are reached.

#ifndef CAROBSHIFT_GATEWAY_INSTANCES_REACHABILITY_SHARING_H_
#define CAROBSHIFT_GATEWAY_INSTANCES_REACHABILITY_SHARING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/result.h"
#include "carobshift/gateway/endpoints/service_reachability.h"
#include "carobshift/gateway/handoff/reachability_view.h"
#include "carobshift/gateway/instances/cluster.h"
#include "carobshift/gateway/instances/peer_datagrams.h"
#include "carobshift/gateway/instances/peer_reachability.h"

namespace carobshift {

// Encodes the payload of one datagram.
[[nodiscard]] std::string EncodeReachabilityAnnouncement(
    const ReachabilityAnnouncement& announcement);
// Returns kPeerRejected if `payload` is incomplete or malformed.
[[nodiscard]] Result<ReachabilityAnnouncement> DecodeReachabilityAnnouncement(
    std::string_view payload);

// Decides when to announce which services.
class AnnouncementSchedule {
 public:
  // Datagrams are lost occasionally; three in a row fit into the lifetime of an
  // announcement.
  static constexpr Milliseconds kRepeatInterval{300};
  // How often the end of a loss is announced.
  static constexpr int kEndRepeats = 3;

  // Returns the services to announce now, which may be none, or nullopt if
  // nothing is to be sent.
  [[nodiscard]] std::optional<std::vector<ServiceName>> Take(
      const std::vector<ServiceName>& unreached,
      MonotonicTime now);

 private:
  std::vector<ServiceName> announced_;
  MonotonicTime next_{};
  int repeats_left_ = 0;
};

class ReachabilitySharing : public ReachabilityView {
 public:
  // Keeps a datagram below the size at which networks fragment it.
  static constexpr std::size_t kMaxServices = 100;

  ReachabilitySharing(EventLoop& loop,
                      const Cluster& cluster,
                      PeerDatagrams& datagrams,
                      const ServiceReachability& own);

  // Call when the own reachability changes.
  void OnChange() { Announce(); }
  // Call about every 100 ms.
  void OnTick();

  [[nodiscard]] bool SelfReaches(const ServiceName& service,
                                 MonotonicTime now) const override;
  [[nodiscard]] bool PeerReaches(const EntryId& peer,
                                 const ServiceName& service,
                                 MonotonicTime now) const override;
  // Returns whether another live instance reaches the service.
  [[nodiscard]] bool AnotherReaches(const ServiceName& service,
                                    MonotonicTime now) const;
  // Announcements of all instances, including this one.
  [[nodiscard]] const PeerReachability& announced() const { return announced_; }

 private:
  void Announce();
  void OnDatagram(std::string_view payload);

  EventLoop& loop_;
  const Cluster& cluster_;
  PeerDatagrams& datagrams_;
  const ServiceReachability& own_;
  AnnouncementSchedule schedule_;
  PeerReachability announced_;
  std::uint64_t sequence_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_INSTANCES_REACHABILITY_SHARING_H_
