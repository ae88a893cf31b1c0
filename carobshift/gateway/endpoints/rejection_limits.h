// Keeps endpoints whose service states a rejection limit from having to turn
// requests away for lack of room.
//
//   RejectionLimits limits;
//   limits.OnMembers(live, self, now);
//   limits.OnAnswer(service, {.limit = limit, .ran = true, .sent = sent}, now);
//   if (limits.MaySend(record, now))
//     limits.OnSend(EndpointIncarnation::Of(record));
//   Publish(limits.TakeUpdates(now));
//
// Load pattern: the three endpoints of a service have six slots each, and an
// endpoint that turns away more than two requests in a second falls over. Seven
// instances get a burst of requests of 15 ms each. Reports of load are 200 ms
// old, so that each instance takes the same endpoint for idle, and six requests
// at one moment are too many by themselves.
//
// No estimate of free room is therefore used. The slots of an endpoint are
// divided among the instances, and each has no more requests in progress there
// than its share: equal parts, and the rest one each for the first instances by
// rendezvous hashing of endpoint and instance. With fewer slots than instances
// some instances have no share and leave the endpoint to the others. The queue
// of an endpoint counts for nothing, since it may shrink at any time. All
// instances together thus stay within the slots, whatever arrives where, and no
// message is exchanged for a request. Spare slots cover what isn't counted:
// health checks, new connections, and requests whose connection was closed.
//
// A statement holds for all endpoints of the service, also where only another
// instance has got it. The newest one counts, by the age that updates contain.
// It ends with a later answer of a request that ran and that states none.
//
// An endpoint that rejects a request although it should have room is left out
// by all instances for kRejectionPause.
//
// A member that isn't live keeps its share for kMemberRetention: it may be cut
// off from this instance and still reach the endpoints. An instance that has
// just started has no share until the others can have learned of it, and a few
// of them tell it the limits in effect before it gets requests. In case that is
// lost, it keeps to a share of at least one slot at the endpoints of a service
// until the first of them has answered.
//
// Thread-compatible. Holds one entry for each service that states a limit, for
// each endpoint with requests in progress and for each member.

#ifndef CAROBSHIFT_GATEWAY_ENDPOINTS_REJECTION_LIMITS_H_
#define CAROBSHIFT_GATEWAY_ENDPOINTS_REJECTION_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/endpoints/endpoint_record.h"
#include "carobshift/gateway/endpoints/rate_limits.h"
#include "carobshift/membership/member.h"

namespace carobshift {

// What one answer of an endpoint states about the limit of its service.
struct RejectionStatement {
  // Rejections in a second that each endpoint bears; nullopt if the answer
  // states no limit.
  std::optional<RequestRate> limit;
  // The endpoint ran the request.
  bool ran = false;
  // When the request was sent.
  MonotonicTime sent{};
};

// Updates sent between instances.
struct RejectionLimitUpdate {
  // Hash of the service's name.
  std::uint64_t service = 0;
  // nullopt if the endpoints no longer state a limit.
  std::optional<RequestRate> limit;
  // Time since the statement.
  Milliseconds age{0};
};
struct RejectionUpdate {
  // Hash of the endpoint's id.
  std::uint64_t endpoint = 0;
  EndpointStartTime start_time{};
  // Time since the rejection.
  Milliseconds age{0};
};
struct RejectionUpdates {
  std::vector<RejectionLimitUpdate> limits;
  std::vector<RejectionUpdate> rejections;
};

class RejectionLimits {
 public:
  // Share of an endpoint's slots that requests are sent into.
  static constexpr double kUsableSlotShare = 0.9;
  // An endpoint leaves a burst behind within this time and has room again.
  static constexpr Milliseconds kRejectionPause{1000};
  // An endpoint may work on a request for this long after its connection was
  // closed.
  static constexpr Milliseconds kAbandonedRunTime{500};
  static constexpr Milliseconds kMemberRetention{30'000};
  // By this time after its start, the others know an instance from gossip.
  static constexpr Milliseconds kJoinDelay{3000};
  // An instance that has found no other member by then is alone.
  static constexpr Milliseconds kDiscoveryPeriod{10'000};
  // A statement is repeated to the other instances when none of them has told
  // of a newer one for this long.
  static constexpr Milliseconds kRepeatInterval{1000};
  // While a member is new, the first kTellers members by rendezvous hashing of
  // service and instance repeat the service's limit at this interval.
  static constexpr Milliseconds kNewMemberPeriod{3000};
  static constexpr Milliseconds kTellInterval{200};
  static constexpr int kTellers = 3;
  // An unconfirmed statement ends by then. It is long, since requests go on
  // under a limit and their answers confirm or end it.
  static constexpr Milliseconds kMaxAge{60'000};
  // Time after which a caller may find a slot free, at this instance or at
  // another one.
  static constexpr Milliseconds kFullShareWait{100};

  // Sets the live instances. They include `self` unless this instance is
  // leaving.
  void OnMembers(const std::vector<MemberInfo>& live,
                 const EntryId& self,
                 MonotonicTime now);
  // Returns true if the service's limit is new, has ended or has changed.
  bool OnAnswer(const ServiceName& service,
                const RejectionStatement& statement,
                MonotonicTime now);
  // Call for each request to any endpoint, with or without a limit.
  void OnSend(const EndpointIncarnation& endpoint);
  // The endpoint has answered the request or has never got it.
  void OnEnd(const EndpointIncarnation& endpoint);
  // The connection was closed before the answer, so that the endpoint may go on
  // with the request.
  void OnAbandoned(const EndpointIncarnation& endpoint, MonotonicTime now);
  // The endpoint rejected a request for lack of room. Returns true if its
  // service has a limit, so that the endpoint is left out from now on.
  bool OnRejection(const EndpointRecord& endpoint, MonotonicTime now);
  // The same for updates of another instance; return true if something changed.
  bool OnPeerLimit(const RejectionLimitUpdate& update, MonotonicTime now);
  bool OnPeerRejection(const RejectionUpdate& update, MonotonicTime now);
  void Remove(const EndpointId& endpoint);
  void Expire(MonotonicTime now);
  // Returns the updates that are due for the other instances and marks them as
  // sent.
  [[nodiscard]] RejectionUpdates TakeUpdates(MonotonicTime now);

  [[nodiscard]] bool MaySend(const EndpointRecord& endpoint,
                             MonotonicTime now) const;
  // Returns the time after which a request may find room at the endpoint, by
  // way of this instance or another one; zero if one may be sent now.
  [[nodiscard]] Milliseconds WaitFor(const EndpointRecord& endpoint,
                                     MonotonicTime now) const;
  // Returns how many requests this instance may have in progress at the
  // endpoint while its service has a limit.
  [[nodiscard]] int ShareOf(const EndpointRecord& endpoint,
                            MonotonicTime now) const;
  // Returns the limit in effect; nullopt if there is none.
  [[nodiscard]] std::optional<RequestRate> LimitOf(
      const ServiceName& service) const;
  // Returns the number of services with a limit in effect.
  [[nodiscard]] std::size_t size() const;

 private:
  struct Limit {
    RequestRate limit{};
    // Time of the last statement, with or without a limit.
    MonotonicTime stated_at{};
    // Time of the newest statement that all instances have been told of.
    MonotonicTime told_at{};
    bool ended = false;
    bool unpublished = false;
  };
  struct Occupancy {
    EndpointStartTime start_time{};
    int in_progress = 0;
    // When each abandoned request counts no longer.
    std::vector<MonotonicTime> abandoned_until;
  };
  struct Pause {
    EndpointStartTime start_time{};
    MonotonicTime until{};
    bool unpublished = false;
  };

  struct KnownMember {
    std::uint64_t hash = 0;
    Incarnation incarnation{};
    MonotonicTime first_live{};
    MonotonicTime last_live{};
  };
  // How the usable slots of an endpoint are divided among the members.
  struct Division {
    int each = 0;
    // Number of members that have one slot more.
    int rest = 0;
  };

  void OnLiveMember(const MemberInfo& member, MonotonicTime now);
  bool SetLimit(std::uint64_t service,
                RequestRate limit,
                MonotonicTime stated_at);
  bool EndLimit(std::uint64_t service, MonotonicTime stated_at);
  [[nodiscard]] bool HasLimit(const ServiceName& service) const;
  // Returns true if the pause was extended.
  bool SetPause(std::uint64_t endpoint,
                EndpointStartTime start_time,
                MonotonicTime until);
  // Returns null if another incarnation of the endpoint was used last.
  [[nodiscard]] Occupancy* FindOccupancy(const EndpointIncarnation& endpoint);
  [[nodiscard]] int OccupiedAt(const EndpointRecord& endpoint,
                               MonotonicTime now) const;
  [[nodiscard]] Milliseconds PauseAt(const EndpointRecord& endpoint,
                                     MonotonicTime now) const;
  // Whether an instance that has just started and knows nothing of the
  // endpoint's service may send to it.
  [[nodiscard]] bool MaySendFirst(const EndpointRecord& endpoint,
                                  MonotonicTime now) const;
  [[nodiscard]] Division DivisionOf(const EndpointRecord& endpoint) const;
  [[nodiscard]] bool HasRoom(const EndpointRecord& endpoint,
                             MonotonicTime now) const;
  // Returns the number of members that rank before this instance for the
  // endpoint or service with this hash.
  [[nodiscard]] int RankAt(std::uint64_t hash) const;
  [[nodiscard]] bool HasShares(MonotonicTime now) const;
  [[nodiscard]] bool HasNewMember(MonotonicTime now) const;
  // Returns whether the other instances can know this one.
  [[nodiscard]] bool HasJoined(MonotonicTime now) const;

  // By the hash of the service's name.
  std::map<std::uint64_t, Limit> limits_;
  // Hashes of the services whose endpoints have answered a request.
  std::set<std::uint64_t> answered_;
  // By the hash of the endpoint's id.
  std::map<std::uint64_t, Pause> pauses_;
  std::unordered_map<EndpointId, Occupancy> occupancies_;
  std::map<EntryId, KnownMember> members_;
  EntryId self_;
  std::optional<MonotonicTime> started_at_;
  std::optional<MonotonicTime> found_others_at_;
  MonotonicTime next_tell_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINTS_REJECTION_LIMITS_H_
