// Which requests may be sent to endpoints that name a limit of requests a
// second for all instances together.
//
//   RateLimits limits;
//   limits.OnMembers(live, self, now);
//   limits.OnAnswer(endpoint, {.named = rate, .sent = sent}, now);
//   if (limits.MaySend(endpoint, now))
//     limits.OnSend(endpoint, now);
//   Tell(limits.TakeNews(now));
//
// Load pattern: an overloaded endpoint takes three requests a second, and two
// hundred instances know of it. Shares of a sixtieth of a request a second are
// none: each instance that has waited long enough may send one, and all do so
// at once.
//
// How: the first few instances by rendezvous hashing of endpoint and instance
// use the endpoint, each an equal part of the limit, with no two requests
// closer than its part allows; all others leave it out. A whole limit and three
// instances more keep a part above half a request a second, and the sum over
// any time `t` at or below `t` times the limit and one request for each of
// them. No permits are asked for, so nothing waits, and a lost datagram costs
// nothing but news.
//
// Those that leave the endpoint out get no answers from it and hear of the
// limit and of its end from others. What an endpoint said last counts, by the
// age that news bring along. The first instance by rank repeats what holds.
//
// A limit that ends, or that nobody has heard of for kLife, doubles every
// kDoubling before it is forgotten: otherwise everybody would turn to an
// endpoint that seems idle at the same moment.
//
// An instance that knows nobody yet takes itself for one of kUnknownMembers.
//
// Thread-compatible. State: one entry for each endpoint that names a limit, and
// the id of each member.

#ifndef CAROBSHIFT_GATEWAY_RATE_LIMITS_H_
#define CAROBSHIFT_GATEWAY_RATE_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/caller_request.h"
#include "carobshift/gateway/endpoint_record.h"
#include "carobshift/membership/member.h"

namespace carobshift {

// One life of an endpoint. A limit doesn't outlive it.
struct EndpointLife {
  EndpointId id;
  EndpointBirth born{};

  [[nodiscard]] static EndpointLife Of(const EndpointRecord& record) {
    return {record.id, record.born};
  }
};

// What one answer of an endpoint says of its limit.
struct LimitStatement {
  // Nothing where the answer names none.
  std::optional<RequestRate> named;
  // When the request was sent. An answer that was under way before the endpoint
  // named its limit doesn't end it.
  MonotonicTime sent{};
};

// What one instance tells the others.
struct LimitNews {
  // Hash of the endpoint's id.
  std::uint64_t endpoint = 0;
  EndpointBirth born{};
  // Nothing once the endpoint names none any more.
  std::optional<RequestRate> rate;
  // Since the endpoint said so.
  Milliseconds age{0};
};

class RateLimits {
 public:
  // Between two statements of one endpoint, a smaller change is none.
  static constexpr double kLeastChange = 0.1;
  // Instances that use an endpoint beyond one for each request a second.
  static constexpr double kSpareUsers = 3;
  // Taken for the limit of an endpoint that names less: somebody has to notice
  // that it takes work again.
  static constexpr double kLeastPerSecond = 0.5;
  static constexpr double kMostPerSecond = 1e6;
  static constexpr Milliseconds kRepeat{1000};
  static constexpr Milliseconds kLife{10'000};
  static constexpr Milliseconds kDoubling{1000};
  static constexpr Milliseconds kReturnToFull{5000};
  static constexpr Milliseconds kYouth{10'000};
  static constexpr std::size_t kUnknownMembers = 8;

  // The instances that live, `self` among them unless it leaves.
  void OnMembers(const std::vector<MemberInfo>& live,
                 const EntryId& self,
                 MonotonicTime now);
  // True if the endpoint's limit is new, gone, or another one than was known.
  bool OnAnswer(const EndpointLife& endpoint,
                const LimitStatement& statement,
                MonotonicTime now);
  // The same for what another instance told.
  bool OnNews(const LimitNews& news, MonotonicTime now);
  // A request is sent now, whatever comes of it.
  void OnSend(const EndpointLife& endpoint, MonotonicTime now);
  void Forget(const EndpointId& endpoint);
  void Expire(MonotonicTime now);
  // What the others are to be told now.
  [[nodiscard]] std::vector<LimitNews> TakeNews(MonotonicTime now);

  [[nodiscard]] bool MaySend(const EndpointLife& endpoint,
                             MonotonicTime now) const;
  // Until a request may be sent there, as far as this instance can tell; zero
  // if one may be sent now.
  [[nodiscard]] Milliseconds WaitFor(const EndpointLife& endpoint,
                                     MonotonicTime now) const;
  // What the endpoint named last, unless it names none any more.
  [[nodiscard]] std::optional<RequestRate> LimitOf(
      const EndpointId& endpoint) const;
  // Endpoints that have one.
  [[nodiscard]] std::size_t size() const;

 private:
  static constexpr std::size_t kNoRank =
      std::numeric_limits<std::size_t>::max();

  struct Limit {
    EndpointBirth born{};
    RequestRate rate{};
    // When the endpoint last said anything about it.
    MonotonicTime said{};
    // Since when it names none, or nobody has heard of it.
    std::optional<MonotonicTime> ended;
    // How many members come before this instance; kNoRank if it leaves.
    std::size_t rank = 0;
    // From then on this instance may send its next request.
    MonotonicTime next{};
    bool untold = false;
  };

  // Null if there is none of this life of the endpoint.
  template <typename Limits>
  [[nodiscard]] static auto FindIn(Limits& limits, const EndpointLife& endpoint)
      -> decltype(&limits.begin()->second);
  // A new entry, or the one of the same life; null if a later life is known.
  [[nodiscard]] Limit* Open(std::uint64_t endpoint, EndpointBirth born);
  // True if that is another limit than was known.
  bool SetRate(std::uint64_t endpoint,
               EndpointBirth born,
               RequestRate rate,
               MonotonicTime said,
               MonotonicTime now);
  // True if there was one until now.
  static bool End(Limit& limit, MonotonicTime said);
  [[nodiscard]] std::size_t RankAt(std::uint64_t endpoint) const;
  [[nodiscard]] static double RateAt(const Limit& limit, MonotonicTime now);
  // Instances that use the endpoint.
  [[nodiscard]] std::size_t UsersAt(const Limit& limit,
                                    MonotonicTime now) const;
  // Between two requests of this instance.
  [[nodiscard]] Microseconds IntervalAt(const Limit& limit,
                                        MonotonicTime now) const;

  // By the hash of the endpoint's id.
  std::map<std::uint64_t, Limit> limits_;
  std::vector<EntryId> members_;
  EntryId self_;
  // Knows nobody else, and hasn't for long enough to be alone.
  bool unknown_ = true;
  std::optional<MonotonicTime> began_;
  MonotonicTime next_repeat_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_RATE_LIMITS_H_
