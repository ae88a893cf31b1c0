// What this process has seen of each endpoint: work in progress, failures, and
// how long to keep new work away after them.
//
//   EndpointHealthBook health;
//   health.OnStart(id, now);
//   health.OnFailure(id, EndpointTrouble::kNotConnected, now);
//   if (health.Avoided(id, now)) ...
//
// Load pattern: a quarter of the endpoints goes dark for twenty seconds. Every
// connection to them hangs until its time limit, and each request that is sent
// there loses that time. After one failure the endpoint is left out for
// kFirstPause, after each further one for twice as long, up to kLongestPause;
// one request at a time then tries it again.
//
// Figures: kFirstPause is the time within which a restarting endpoint doesn't
// come back anyway. kLongestPause is what an endpoint that is back may wait for
// its first work. kFullPause is about the run time of a request: an endpoint
// that said that it is full has a place again by then.
//
// Thread-compatible. State: one entry for each endpoint that was used.

#ifndef CAROBSHIFT_GATEWAY_ENDPOINT_HEALTH_H_
#define CAROBSHIFT_GATEWAY_ENDPOINT_HEALTH_H_

#include <unordered_map>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

enum class EndpointTrouble {
  kNotConnected,
  // The connection broke, or stayed silent, in the middle.
  kBroken,
  // It said that it has no place now.
  kFull,
  // Another endpoint answered at its address: it is gone, and its entry will be
  // too. Until then every request sent there is one that counts as a repeat.
  kReplaced,
};

class EndpointHealthBook {
 public:
  static constexpr Milliseconds kFirstPause{300};
  static constexpr Milliseconds kLongestPause{2000};
  static constexpr Milliseconds kFullPause{60};

  void OnStart(const EndpointId& id);
  // Every start ends with this, however it ended.
  void OnEnd(const EndpointId& id);
  // It answered something.
  void OnAnswer(const EndpointId& id);
  void OnTrouble(const EndpointId& id,
                 EndpointTrouble trouble,
                 MonotonicTime now);
  void Forget(const EndpointId& id);

  [[nodiscard]] int InFlight(const EndpointId& id) const;
  [[nodiscard]] bool Avoided(const EndpointId& id, MonotonicTime now) const;
  // When the first avoided endpoint may be tried again, at the latest after
  // kLongestPause.
  [[nodiscard]] Milliseconds AvoidedFor(const EndpointId& id,
                                        MonotonicTime now) const;

 private:
  struct Entry {
    int in_flight = 0;
    int failures = 0;
    MonotonicTime avoid_until{};
  };
  std::unordered_map<EndpointId, Entry> entries_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINT_HEALTH_H_
