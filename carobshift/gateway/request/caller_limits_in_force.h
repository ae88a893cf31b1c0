// The limits of callers that hold at a moment, around changes of the
// configuration.
//
//   CallerLimitsInForce limits;
//   limits.OnConfig(config.limits, now);
//   connection->SetLimits(limits.At(now));
//
// Load pattern: the operator changes the idle timeout again and again while
// callers keep connections open and send a request on each every few seconds.
// A caller may still act by the replaced limits, or already by the new ones,
// until the configuration is in force everywhere. If the lower value held at
// once, or if open connections kept the value of their acceptance, connections
// would close under callers that may still use them, and requests would cross
// the close.
//
// For kSpreadTime after a change the larger value of each limit holds.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_REQUEST_CALLER_LIMITS_IN_FORCE_H_
#define CAROBSHIFT_GATEWAY_REQUEST_CALLER_LIMITS_IN_FORCE_H_

#include <vector>

#include "carobshift/base/units.h"
#include "carobshift/gateway/serving_config.h"

namespace carobshift {

class CallerLimitsInForce {
 public:
  // Time within which a new configuration is in force everywhere.
  static constexpr Milliseconds kSpreadTime{2000};

  void OnConfig(const CallerLimits& declared, MonotonicTime now);
  // Returns the defaults while no configuration is known.
  [[nodiscard]] CallerLimits At(MonotonicTime now) const;

 private:
  struct Replaced {
    CallerLimits limits;
    MonotonicTime at{};
  };

  CallerLimits newest_;
  bool known_ = false;
  // In order of time.
  std::vector<Replaced> replaced_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_CALLER_LIMITS_IN_FORCE_H_
