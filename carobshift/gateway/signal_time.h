// Tells when a signal was sent at the earliest. A process that stands still
// gets its signals late, while their sender counts from the sending.
//
//   SignalTime stop_sent(MonotonicNow());   // before the handler is installed
//   // Repeatedly; the clock is read before the flag that the handler sets.
//   const MonotonicTime now = MonotonicNow();
//   if (const auto earliest = stop_sent.Check(stop_requested(), now)) ...
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_SIGNAL_TIME_H_
#define CAROBSHIFT_GATEWAY_SIGNAL_TIME_H_

#include <optional>

#include "carobshift/base/units.h"

namespace carobshift {

class SignalTime {
 public:
  // The signal had not been sent at `unsent`.
  explicit SignalTime(MonotonicTime unsent) : unsent_(unsent) {}

  // `arrived`: the signal has arrived, by a look that was not before `now`.
  // Returns the time of the last look without it, or nothing if it has not
  // arrived.
  std::optional<MonotonicTime> Check(bool arrived, MonotonicTime now) {
    arrived_ = arrived_ || arrived;
    if (arrived_)
      return unsent_;
    unsent_ = now;
    return std::nullopt;
  }

 private:
  MonotonicTime unsent_;
  bool arrived_ = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_SIGNAL_TIME_H_
