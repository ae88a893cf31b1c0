// Decides which requests may be sent to endpoints that state a limit of
// requests a second for all instances together.
//
//   RateLimits limits;
//   limits.OnMembers(live, self, now);
//   limits.OnAnswer(endpoint, {.rate = rate, .sent = sent}, now);
//   if (limits.MaySend(endpoint, now))
//     limits.OnSend(endpoint, now);
//   Publish(limits.TakeUpdates(now));
//
// Load pattern: an overloaded endpoint accepts three requests a second, and 200
// instances know of it. Equal shares of 1/60 of a request a second don't work:
// each instance that has waited long enough may send one request, and all do so
// at once.
//
// The first few instances by rendezvous hashing of endpoint and instance use
// the endpoint; all others leave it out. Each user gets an equal part of the
// limit, and its requests are spaced by the interval of that part. There is one
// user for each whole request a second of the limit plus three. This keeps a
// part at half a request a second or more for limits of three requests a second
// or more, and bounds the requests in any time `t` by `t` times the limit plus
// one for each user. No permits are exchanged, so no request waits for one, and
// a lost datagram only delays an update.
//
// Instances that leave the endpoint out get no answers from it and learn of the
// limit and of its end from other instances. The newest statement of an
// endpoint counts, by the age that updates contain. The first instance by rank
// repeats the limits in effect.
//
// A limit that ends, or that no statement has confirmed for kMaxAge, doubles
// every kRateDoublingInterval before it is removed: otherwise all instances
// would send to an endpoint that seems idle at the same moment.
//
// An instance that knows no other members yet assumes that there are
// kAssumedMembers.
//
// Thread-compatible. Holds one entry for each endpoint that states a limit, and
// the id of each member.

#ifndef CAROBSHIFT_GATEWAY_ENDPOINTS_RATE_LIMITS_H_
#define CAROBSHIFT_GATEWAY_ENDPOINTS_RATE_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/endpoints/endpoint_record.h"
#include "carobshift/gateway/request/caller_request.h"
#include "carobshift/membership/member.h"

namespace carobshift {

// One incarnation of an endpoint, from its start to its end. A limit ends with
// it.
struct EndpointIncarnation {
  EndpointId id;
  EndpointStartTime start_time{};

  [[nodiscard]] static EndpointIncarnation Of(const EndpointRecord& record) {
    return {record.id, record.start_time};
  }
};

// What one answer of an endpoint states about its limit.
struct LimitStatement {
  // nullopt if the answer states no limit.
  std::optional<RequestRate> rate;
  // When the request was sent. The answer to a request that was sent before the
  // endpoint stated its limit doesn't end the limit.
  MonotonicTime sent{};
};

// An update about one endpoint's limit, sent between instances.
struct LimitUpdate {
  // Hash of the endpoint's id.
  std::uint64_t endpoint = 0;
  EndpointStartTime start_time{};
  // nullopt if the endpoint no longer states a limit.
  std::optional<RequestRate> rate;
  // Time since the endpoint's statement.
  Milliseconds age{0};
};

class RateLimits {
 public:
  // Smaller relative changes between two statements of an endpoint aren't
  // reported.
  static constexpr double kMinReportedChange = 0.1;
  // Number of instances that use an endpoint in addition to one for each
  // request a second.
  static constexpr double kExtraUsers = 3;
  // Lower limits are raised to this value: some requests have to be sent to
  // detect that the endpoint accepts work again.
  static constexpr double kMinRequestsPerSecond = 0.5;
  static constexpr double kMaxRequestsPerSecond = 1e6;
  static constexpr Milliseconds kRepeatInterval{1000};
  static constexpr Milliseconds kMaxAge{10'000};
  static constexpr Milliseconds kRateDoublingInterval{1000};
  static constexpr Milliseconds kRampUpPeriod{5000};
  static constexpr Milliseconds kDiscoveryPeriod{10'000};
  static constexpr std::size_t kAssumedMembers = 8;

  // Sets the live instances. They include `self` unless this instance is
  // leaving.
  void OnMembers(const std::vector<MemberInfo>& live,
                 const EntryId& self,
                 MonotonicTime now);
  // Returns true if the endpoint's limit is new, has ended or has changed.
  bool OnAnswer(const EndpointIncarnation& endpoint,
                const LimitStatement& statement,
                MonotonicTime now);
  // The same for an update from another instance.
  bool OnPeerUpdate(const LimitUpdate& update, MonotonicTime now);
  // Call when a request is sent, whatever its outcome.
  void OnSend(const EndpointIncarnation& endpoint, MonotonicTime now);
  void Remove(const EndpointId& endpoint);
  void Expire(MonotonicTime now);
  // Returns the updates that are due for the other instances and marks them as
  // sent.
  [[nodiscard]] std::vector<LimitUpdate> TakeUpdates(MonotonicTime now);

  [[nodiscard]] bool MaySend(const EndpointIncarnation& endpoint,
                             MonotonicTime now) const;
  // Returns the time until a request may be sent to the endpoint, as far as
  // this instance can tell; zero if one may be sent now.
  [[nodiscard]] Milliseconds WaitFor(const EndpointIncarnation& endpoint,
                                     MonotonicTime now) const;
  // Returns the limit that the endpoint stated last; nullopt if there is none
  // or it has ended.
  [[nodiscard]] std::optional<RequestRate> LimitOf(
      const EndpointId& endpoint) const;
  // Returns the number of endpoints with a limit in effect.
  [[nodiscard]] std::size_t size() const;

 private:
  static constexpr std::size_t kNoRank =
      std::numeric_limits<std::size_t>::max();

  struct Limit {
    EndpointStartTime start_time{};
    RequestRate rate{};
    // Time of the endpoint's last statement, with or without a limit.
    MonotonicTime stated_at{};
    // Since when the endpoint states no limit, or the limit has been
    // unconfirmed for kMaxAge.
    std::optional<MonotonicTime> ended;
    // Number of members that rank before this instance; kNoRank if this
    // instance is leaving.
    std::size_t rank = 0;
    // When this instance may send its next request.
    MonotonicTime next_send{};
    bool unpublished = false;
  };

  // Returns null if there is no limit of this incarnation of the endpoint.
  template <typename Limits>
  [[nodiscard]] static auto FindIn(Limits& limits,
                                   const EndpointIncarnation& endpoint)
      -> decltype(&limits.begin()->second);
  // Returns the entry of this incarnation, created if needed; null if a later
  // incarnation is known.
  [[nodiscard]] Limit* FindOrCreate(std::uint64_t endpoint,
                                    EndpointStartTime start_time);
  // Returns true if the limit is new or has changed.
  bool SetRate(std::uint64_t endpoint,
               EndpointStartTime start_time,
               RequestRate rate,
               MonotonicTime stated_at,
               MonotonicTime now);
  // Returns true if the limit was in effect until now.
  static bool EndLimit(Limit& limit, MonotonicTime stated_at);
  [[nodiscard]] std::size_t RankAt(std::uint64_t endpoint) const;
  [[nodiscard]] static double RateAt(const Limit& limit, MonotonicTime now);
  // Returns the number of instances that use the endpoint.
  [[nodiscard]] std::size_t UsersAt(const Limit& limit,
                                    MonotonicTime now) const;
  // Returns the interval between two requests of this instance.
  [[nodiscard]] Microseconds IntervalAt(const Limit& limit,
                                        MonotonicTime now) const;

  // By the hash of the endpoint's id.
  std::map<std::uint64_t, Limit> limits_;
  std::vector<EntryId> members_;
  EntryId self_;
  // True while this instance knows no other members and started less than
  // kDiscoveryPeriod ago.
  bool members_unknown_ = true;
  std::optional<MonotonicTime> started_at_;
  MonotonicTime next_repeat_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINTS_RATE_LIMITS_H_
