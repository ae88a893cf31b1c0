// Tracks for each endpoint what this process has observed: requests in
// progress, failures, and how long to avoid the endpoint after them.
//
//   EndpointHealthTable health;
//   health.OnStart(id);
//   health.OnFailure(id, EndpointFailure::kNotConnected, now);
//   if (health.IsAvoided(id, now)) ...
//
// Load pattern: a quarter of the endpoints becomes unreachable for 20 seconds.
// Each connection attempt hangs until its time limit, and each request sent
// there loses that time. After one failure the endpoint is avoided for
// kInitialPause, after each further one for twice as long, up to kMaxPause.
// After the pause one request at a time tries it again.
//
// kInitialPause is a time within which a restarting endpoint isn't back in any
// case. kMaxPause bounds how long an endpoint that is back waits for its first
// request. kNoCapacityPause is about the run time of a request: an endpoint
// that reported that it is full has a free slot again by then.
//
// Thread-compatible. Holds one entry for each endpoint that was used.

#ifndef CAROBSHIFT_GATEWAY_ENDPOINTS_ENDPOINT_HEALTH_H_
#define CAROBSHIFT_GATEWAY_ENDPOINTS_ENDPOINT_HEALTH_H_

#include <optional>
#include <unordered_map>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

enum class EndpointFailure {
  kNotConnected,
  // The connection broke, or timed out, after it was established.
  kConnectionBroken,
  // The endpoint reported that it has no free slot.
  kNoCapacity,
  // Another endpoint answered at the address: the endpoint is gone, and its
  // registry entry will be removed. Until then each request sent there counts
  // as a retry.
  kAddressReused,
};

class EndpointHealthTable {
 public:
  static constexpr Milliseconds kInitialPause{300};
  static constexpr Milliseconds kMaxPause{2000};
  static constexpr Milliseconds kNoCapacityPause{60};

  void OnStart(const EndpointId& id);
  // Call once for each OnStart(), whatever the outcome.
  void OnEnd(const EndpointId& id);
  // Call when the endpoint sent any answer. Resets its failures and its
  // silence.
  void OnAnswer(const EndpointId& id);
  // Call when the endpoint sends nothing of the answers that it has begun. That
  // is no failure. The endpoint is avoided until OnAnswer(), except by one
  // request at a time when nothing else is in progress there.
  void OnSilent(const EndpointId& id);
  void OnFailure(const EndpointId& id,
                 EndpointFailure trouble,
                 MonotonicTime now);
  // Forgets that connections to the endpoint failed or broke at `since` or
  // later, and that it was silent. Call when this instance's own paths, which
  // were lost since then, have returned: no endpoint failed, and all would
  // otherwise be avoided for up to kMaxPause although they are sound.
  void ForgetConnectionFailures(const EndpointId& id, MonotonicTime since);
  void Remove(const EndpointId& id);

  [[nodiscard]] int InFlight(const EndpointId& id) const;
  [[nodiscard]] bool IsAvoided(const EndpointId& id, MonotonicTime now) const;
  // Returns the time until the endpoint may be tried again, at most kMaxPause;
  // 0 if no pause is in effect.
  [[nodiscard]] Milliseconds RemainingPause(const EndpointId& id,
                                            MonotonicTime now) const;

 private:
  struct Entry {
    int in_flight = 0;
    int failures = 0;
    bool silent = false;
    MonotonicTime avoid_until{};
    // When a failed or broken connection last caused a pause; nullopt if
    // something else did.
    std::optional<MonotonicTime> connection_failed_at;
  };
  std::unordered_map<EndpointId, Entry> entries_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINTS_ENDPOINT_HEALTH_H_
