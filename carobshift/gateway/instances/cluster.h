// Tracks the other instances of a deployment by gossip over UDP.
//
//   Cluster cluster(loop, settings);
//   cluster.Start();
//   for (const MemberInfo& member : cluster.Live()) ...

#ifndef CAROBSHIFT_GATEWAY_INSTANCES_CLUSTER_H_
#define CAROBSHIFT_GATEWAY_INSTANCES_CLUSTER_H_

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

// Returns the key that authenticates datagrams between the instances of a
// deployment. The platform provides no secret, so the key is derived from the
// log's address. It separates deployments from each other but does not protect
// against anyone who knows the address.
[[nodiscard]] std::string SharedSecret(const GatewaySettings& settings);

class Cluster {
 public:
  Cluster(EventLoop& loop, const GatewaySettings& settings);

  Status Start();
  void Stop();
  // Call about every kTick.
  void OnTick();
  void SetSeedHosts(const std::vector<std::string>& hosts);
  void SetConfigNumber(std::uint64_t number);
  // Announces that this instance is leaving; the others then omit it from their
  // address answers.
  void Leave();

  // Returns the members that are alive and not leaving, ordered by id. Includes
  // this instance unless it is leaving. Valid until the next datagram or tick.
  [[nodiscard]] const std::vector<MemberInfo>& Live() const;
  // Returns the other members that are alive and have announced a planned stop.
  [[nodiscard]] std::vector<MemberInfo> Stopping() const;
  // Returns the live members that have a configuration, or all live members if
  // none has.
  [[nodiscard]] std::vector<MemberInfo> Serving() const;
  // Returns the number of instances that may be serving: this one and all
  // others that have been heard of, also those that are leaving, cut off or
  // dead for no longer than MemberTable::kDeadRetention.
  [[nodiscard]] int KnownInstances() const;
  // Returns this instance's index in Live(), starting at 0.
  [[nodiscard]] std::size_t Rank() const;
  [[nodiscard]] bool IsLive(const EntryId& id) const;

  // Announces, and returns, the endpoints that any instance keeps free of new
  // work.
  void AnnounceDraining(const EndpointId& endpoint,
                        FencingNumber term,
                        Milliseconds life);
  [[nodiscard]] std::set<EndpointId> Draining() const;

  // Requests whose execution broke off, see crash_record.h. When dozens of
  // endpoints die together, hundreds of requests break at once. At most
  // kCrashesPerSecond are announced, since more would delay the gossip about
  // leaving endpoints.
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
  // Results of Live() and KnownInstances() at live_revision_; cached because
  // they are read with each datagram.
  mutable std::vector<MemberInfo> live_;
  mutable int known_instances_ = 1;
  mutable std::optional<std::uint64_t> live_revision_;
  std::uint64_t facts_published_ = 0;
  MonotonicTime crash_window_start_{};
  int crashes_in_window_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_INSTANCES_CLUSTER_H_
