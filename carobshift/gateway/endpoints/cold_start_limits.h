// ColdStartLimits paces the requests that this instance sends to endpoints that
// are cold, so that an endpoint gets no more than it bears from all instances
// together.
//
//   ColdStartLimits limits(options);
//   limits.SetConfig(config);
//   limits.OnMembers(live, self, now);
//   limits.OnStatement(record, remaining, now);
//   if (limits.MaySend(record, now))
//     limits.OnSend(record, now);
//
// Load pattern: a zone with a third of the endpoints comes back empty and idle.
// Each of 62 instances finds these endpoints the best choice at the same
// moment, and each endpoint gets several times the requests that a cold
// endpoint bears, and crashes.
//
// The first few instances by rendezvous hashing of endpoint and instance use a
// cold endpoint, each with an equal part of the stated rate and its requests
// evenly spaced; the others leave it out. With `n` users and the rate `r` the
// sum in any second is at most `r` + `n`. `n` is chosen so that this lies
// halfway to the platform's bound. The rest covers users that know different
// members.
//
// No messages are exchanged for a request, and a partition doesn't raise the
// sum: a member that can't be reached keeps its rank for kMemberRetention, and
// an instance that has just started uses no cold endpoint until the others can
// have learned of it. Instances that start during a partition know their side
// only; more than two of them that reach the same endpoint as the other side
// does can exceed the bound.
//
// The time until which an endpoint is cold is never shortened, since records
// and peers' reports arrive late and in any order.
//
// Thread-compatible. Holds one entry for each cold endpoint and each member.

#ifndef CAROBSHIFT_GATEWAY_ENDPOINTS_COLD_START_LIMITS_H_
#define CAROBSHIFT_GATEWAY_ENDPOINTS_COLD_START_LIMITS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/endpoints/endpoint_record.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/membership/member.h"

namespace carobshift {

// The instances among which the users of a cold endpoint are chosen.
enum class ColdStartUsers {
  kAllInstances,
  // The instances of the endpoint's zone, or all if there are none. Requests
  // then stay in the zone; after the loss of a zone its endpoints are not used
  // until its instances are back.
  kZoneInstances,
};

struct ColdStartOptions {
  // The platform's bound for a cold endpoint, in requests in any second: its
  // stated rate times `overage`, plus `slack`.
  double overage = 1.5;
  double slack = 5;
  ColdStartUsers users = ColdStartUsers::kAllInstances;
};

class ColdStartLimits {
 public:
  // Longer statements are cut to this time; an endpoint that is still cold then
  // states it again.
  static constexpr Milliseconds kMaxColdTime{60'000};
  static constexpr Milliseconds kMemberRetention{120'000};
  // By this time after its start, the others know an instance from gossip.
  static constexpr Milliseconds kJoinDelay{3000};
  // An instance that has found no other member by then is alone.
  static constexpr Milliseconds kDiscoveryPeriod{10'000};
  // Lower stated rates are raised to this value, in requests a second: an
  // endpoint that gets no request doesn't fill its cache.
  static constexpr double kMinRate = 1;
  static constexpr double kMaxRate = 1e6;

  explicit ColdStartLimits(const ColdStartOptions& options)
      : options_(options) {}

  void SetConfig(const ServingConfig& config);
  // Sets the live instances. They include `self` unless this instance is
  // leaving.
  void OnMembers(const std::vector<MemberInfo>& live,
                 const EntryId& self,
                 MonotonicTime now);
  // Records that the endpoint stays cold for `remaining`, as it stated itself
  // or as follows from an event. Returns whether it was not known to be cold.
  bool OnStatement(const EndpointRecord& endpoint,
                   Milliseconds remaining,
                   MonotonicTime now);
  // Call when a request is sent, whatever its outcome.
  void OnSend(const EndpointRecord& endpoint, MonotonicTime now);
  void Remove(const EndpointId& endpoint) { cold_.erase(endpoint); }
  void Expire(MonotonicTime now);

  [[nodiscard]] bool MaySend(const EndpointRecord& endpoint,
                             MonotonicTime now) const;
  // Returns the time until this instance may send a request to the endpoint;
  // zero if it may do so now. For an endpoint that is left to other instances,
  // returns the time until the next of their requests.
  [[nodiscard]] Milliseconds WaitFor(const EndpointRecord& endpoint,
                                     MonotonicTime now) const;
  // Returns how long endpoints of the service are cold after their start; zero
  // if they never are.
  [[nodiscard]] Milliseconds ColdTimeOf(const ServiceName& service) const;
  // Returns the cold endpoints, each with the time until which it is cold.
  [[nodiscard]] std::map<EndpointId, MonotonicTime> ColdUntil(
      MonotonicTime now) const;

 private:
  struct Pace {
    // Number of instances that use an endpoint.
    std::size_t users = 1;
    // Interval between two requests of one user.
    Microseconds interval{0};
  };
  struct ColdEndpoint {
    EndpointStartTime start_time{};
    ServiceName service;
    ZoneName zone;
    MonotonicTime until{};
    Pace pace;
    // Number of members that rank before this instance; nullopt if this
    // instance is leaving.
    std::optional<std::size_t> rank;
    // When this instance may send its next request.
    MonotonicTime next_send{};
  };
  struct KnownMember {
    ZoneName zone;
    MonotonicTime last_live{};
  };
  // Returns null unless this incarnation of the endpoint is cold.
  [[nodiscard]] const ColdEndpoint* FindCold(const EndpointRecord& endpoint,
                                             MonotonicTime now) const;
  // Returns whether this instance is one of the endpoint's users.
  [[nodiscard]] bool IsUser(const ColdEndpoint& endpoint,
                            MonotonicTime now) const;
  [[nodiscard]] Pace PaceOf(const ServiceName& service) const;
  [[nodiscard]] std::optional<std::size_t> RankAt(const EndpointId& endpoint,
                                                  const ZoneName& zone) const;
  // Returns whether the other instances can know this one.
  [[nodiscard]] bool HasJoined(MonotonicTime now) const;

  ColdStartOptions options_;
  std::map<ServiceName, ColdStartTraits> services_;
  std::map<EndpointId, ColdEndpoint> cold_;
  std::map<EntryId, KnownMember> members_;
  EntryId self_;
  bool leaving_ = false;
  std::optional<MonotonicTime> started_at_;
  std::optional<MonotonicTime> found_others_at_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINTS_COLD_START_LIMITS_H_
