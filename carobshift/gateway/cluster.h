// The other instances of the system, by gossip over UDP.
//
//   Cluster cluster(loop, settings, now);
//   cluster.Start();
//   for (const MemberInfo& member : cluster.Live()) ...

#ifndef CAROBSHIFT_GATEWAY_CLUSTER_H_
#define CAROBSHIFT_GATEWAY_CLUSTER_H_

#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/result.h"
#include "carobshift/gateway/gateway_settings.h"
#include "carobshift/membership/membership.h"
#include "carobshift/net/event_loop.h"
#include "carobshift/net/udp_port.h"

namespace carobshift {

// The key that authenticates datagrams between the instances of a deployment.
// The platform hands out no secret, so it is derived from the log's address: it
// keeps deployments apart and does not keep out whoever knows it.
[[nodiscard]] std::string SharedSecret(const GatewaySettings& settings);

class Cluster {
 public:
  Cluster(EventLoop& loop, const GatewaySettings& settings);

  Status Start();
  void Stop();
  // About every kTick.
  void OnTick();
  void SetSeedHosts(const std::vector<std::string>& hosts);
  void SetConfigNumber(std::uint64_t number);
  // Others leave this instance out of their address answers.
  void Leave();

  // Alive and not leaving, this instance included unless it leaves; by id.
  // Valid until the next datagram or tick.
  [[nodiscard]] const std::vector<MemberInfo>& Live() const;
  // Those of them that have a configuration, or all if none has.
  [[nodiscard]] std::vector<MemberInfo> Serving() const;
  // This instance's place among Live(), from 0.
  [[nodiscard]] std::size_t Rank() const;
  [[nodiscard]] bool IsLive(const EntryId& id) const;

  // Endpoints kept free of new work, as some instance has announced.
  void AnnounceDraining(const EndpointId& endpoint,
                        FencingNumber term,
                        Milliseconds life);
  [[nodiscard]] std::set<EndpointId> Draining() const;

  // Runs that broke off, see crash_record.h. When endpoints die by the dozen,
  // hundreds of runs break at once; at most kCrashesPerSecond are told, or they
  // would delay the news that an endpoint leaves.
  static constexpr int kCrashesPerSecond = 10;
  void AnnounceCrash(const std::string& description);
  [[nodiscard]] std::vector<std::string> Crashes() const;

  [[nodiscard]] Incarnation incarnation() const { return incarnation_; }
  [[nodiscard]] const Membership& membership() const { return membership_; }

 private:
  void SendAll(const std::vector<SendDatagram>& datagrams);

  EventLoop& loop_;
  NetAddress address_;
  std::uint16_t gossip_port_;
  Incarnation incarnation_;
  Membership membership_;
  std::shared_ptr<UdpPort> port_;
  // Of the members at live_revision_; asked for with each datagram.
  mutable std::vector<MemberInfo> live_;
  mutable std::optional<std::uint64_t> live_revision_;
  std::uint64_t facts_told_ = 0;
  MonotonicTime crash_second_{};
  int crashes_told_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_CLUSTER_H_
