// Aggregates the load of all instances at some endpoints. One instance, the
// aggregator, does so for each endpoint; the others query it before they place
// work.
//
//   const MemberInfo* aggregator = FindLoadAggregator(endpoint_hash, live);
//   LoadAggregator loads;
//   loads.OnUpdate(update, now);  // at the aggregator
//   const EndpointLoad others = loads.Others(endpoint_hash, requester, now);
//
// Load pattern: 90 instances share 90 engines, and each instance starts three
// prompts a second. A prompt occupies an engine's prefill for 1/4 of a second.
// Reports between all pairs of instances can be sent only every second or two,
// so they describe prompts that have been prefilled long ago and not those that
// wait: two long prompts meet at one engine while others are idle, and a first
// token takes seconds. Each change is therefore sent to one instance, and an
// instance that is about to place a prompt queries the aggregators of the few
// engines in question. The cost of a request doesn't grow with the number of
// instances.
//
// An update contains the sender's whole load at an endpoint and not a
// difference, so that the next update corrects a lost one. Loads that last are
// sent again every kRepeatInterval.
//
// Thread-compatible. Holds one entry for each sender and endpoint with work.

#ifndef CAROBSHIFT_GATEWAY_LOAD_LOAD_AGGREGATOR_H_
#define CAROBSHIFT_GATEWAY_LOAD_LOAD_AGGREGATOR_H_

#include <cstdint>
#include <map>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/load/load_tracker.h"
#include "carobshift/membership/member.h"

namespace carobshift {

// Returns the instance that aggregates the load of the endpoint with this hash,
// by rendezvous hashing; null if `live` is empty. All instances get the same
// result for the same `live`, and a member that leaves moves only the endpoints
// that it aggregated.
[[nodiscard]] const MemberInfo* FindLoadAggregator(
    std::uint64_t endpoint,
    const std::vector<MemberInfo>& live);

// The current load of `sender` at one endpoint.
struct LoadUpdate {
  Incarnation sender;
  // Increases with each update of the sender; an older update that arrives late
  // is ignored.
  std::uint64_t sequence = 0;
  // Hash of the endpoint's id.
  std::uint64_t endpoint = 0;
  EndpointLoad load;
};

class LoadAggregator {
 public:
  // Interval at which loads that last are sent again.
  static constexpr Milliseconds kRepeatInterval{1000};
  // Loads of a dead sender expire after this time; two repeated updates may be
  // lost.
  static constexpr Milliseconds kMaxAge{2500};

  void OnUpdate(const LoadUpdate& update, MonotonicTime now);
  // Returns the sum over all senders but `requester`, which knows its own load
  // more precisely.
  [[nodiscard]] EndpointLoad Others(std::uint64_t endpoint,
                                    Incarnation requester,
                                    MonotonicTime now) const;
  void Expire(MonotonicTime now);

 private:
  struct SenderLoad {
    std::uint64_t sequence = 0;
    EndpointLoad load;
    MonotonicTime at{};
  };
  std::map<std::uint64_t, std::map<Incarnation, SenderLoad>> sender_loads_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_LOAD_LOAD_AGGREGATOR_H_
