// The times of a planned stop, for all parts that have to be done by one of
// them.
//
//   const ShutdownSchedule shutdown(sent, settings.stop_grace, now);
//   loop.AddTimer(shutdown.listeners_close(), [this] { listener.Close(); });
//   loop.AddTimer(shutdown.requests_end(), [this] { EndOpenRequests(); });
//   if (!shutdown.MayStart(deadline)) ...  // refuse the request
//
// A value type; thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_SHUTDOWN_SCHEDULE_H_
#define CAROBSHIFT_GATEWAY_SHUTDOWN_SCHEDULE_H_

#include <algorithm>

#include "carobshift/base/units.h"

namespace carobshift {

class ShutdownSchedule {
 public:
  // After the announcement of a stop, new connections are accepted for this
  // long, by which time most callers have repeated their address query. Later
  // connections are reset at once and go to other instances, so that the
  // accepted requests can finish in time.
  static constexpr Milliseconds kAcceptDuration{2400};
  // Part of the grace period that is reserved for the exit of the process.
  static constexpr Milliseconds kExitReserve{700};
  // Part of kExitReserve in which the answers of requests that were still open
  // are sent.
  static constexpr Milliseconds kLastReplyTime{300};

  // When the caller of a request that may not start may come back, as another
  // instance need not get ready first.
  static constexpr Milliseconds kRetryAfter{50};

  // The stop began at `began`, its request was seen at `seen`; the process is
  // killed when `grace` has passed since `began`.
  ShutdownSchedule(MonotonicTime began, Milliseconds grace, MonotonicTime seen)
      : began_(began), grace_(grace), seen_(seen) {}
  ShutdownSchedule(MonotonicTime began, Milliseconds grace)
      : ShutdownSchedule(began, grace, began) {}

  [[nodiscard]] MonotonicTime began() const { return began_; }
  [[nodiscard]] MonotonicTime listeners_close() const {
    return began_ + kAcceptDuration;
  }
  // Requests that are open by then get their final answer.
  [[nodiscard]] MonotonicTime requests_end() const {
    return began_ + grace_ - kExitReserve;
  }
  // Returns whether a request, or an attempt of one, may still start that has
  // surely ended by `bound`: the earlier of its deadline and its route's
  // timeout. Any other one might be cut at requests_end(); refused at once, it
  // leaves its caller the time for another instance.
  [[nodiscard]] bool MayStart(MonotonicTime bound) const {
    return bound <= requests_end();
  }
  // The process exits by then, whatever is unsent. A request that was seen
  // after requests_end() leaves kLastReplyTime all the same: a process that is
  // killed meanwhile loses no more than one that ends itself.
  [[nodiscard]] MonotonicTime exit() const {
    return std::max(requests_end(), seen_) + kLastReplyTime;
  }
  // Returns how long ago the stop began.
  [[nodiscard]] Milliseconds Age(MonotonicTime now) const {
    return std::chrono::duration_cast<Milliseconds>(now - began_);
  }

 private:
  MonotonicTime began_;
  Milliseconds grace_;
  MonotonicTime seen_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_SHUTDOWN_SCHEDULE_H_
