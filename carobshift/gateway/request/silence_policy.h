// Decides which endpoints are silent: they have answers under way and send
// nothing of any of them.
//
//   SilencePolicy policy;
//   policy.OnAnswerUnderWay(endpoint, last_received);  // for each answer
//   if (policy.IsSilent(endpoint, now)) ...
//
// Load pattern: a sound endpoint stops for about a second and goes on, with all
// its streams. Another one becomes unreachable without closing a connection, so
// its streams never go on. The two can't be told apart until the first one
// sends again; so a silent endpoint gets no new work while others are usable,
// its answers that may be resumed get a replacement, and nothing of it is given
// up before that replacement answers.
//
// One answer alone is no evidence: an engine pauses single streams to run more
// urgent ones. A request without an answer isn't either: it may be queued.
//
// kSilenceLimit is longer than the pause of a sound endpoint. Callers abandon a
// stream after a gap of two seconds at the least; the rest of that time is for
// the replacement's first event.
//
// An instance that was itself held up, for longer than kMaxJudgedGap between
// two ticks, hasn't read what endpoints have sent. It judges nobody in that
// tick.
//
// Made anew for each decision. Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_REQUEST_SILENCE_POLICY_H_
#define CAROBSHIFT_GATEWAY_REQUEST_SILENCE_POLICY_H_

#include <algorithm>
#include <unordered_map>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

class SilencePolicy {
 public:
  static constexpr Milliseconds kSilenceLimit{1300};

  static constexpr Milliseconds kMaxJudgedGap{500};

  [[nodiscard]] static bool CanJudge(Microseconds since_last_tick) {
    return since_last_tick <= kMaxJudgedGap;
  }
  // Adds an answer that has begun, and when its endpoint last sent some of it.
  void OnAnswerUnderWay(const EndpointId& endpoint,
                        MonotonicTime last_received) {
    MonotonicTime& latest = last_received_[endpoint];
    latest = std::max(latest, last_received);
  }
  [[nodiscard]] bool IsSilent(const EndpointId& endpoint,
                              MonotonicTime now) const {
    const auto found = last_received_.find(endpoint);
    return found != last_received_.end() &&
           now - found->second >= kSilenceLimit;
  }

 private:
  std::unordered_map<EndpointId, MonotonicTime> last_received_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_SILENCE_POLICY_H_
