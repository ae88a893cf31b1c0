// Tells, in metrics and log lines, what callers hold of an instance and what
// was taken from them or refused.
//
//   ConnectionQuotaReport report;
//   report.OnTick(quota, metrics, now);  // about every 100 ms
//
// One line for all that happened since the last one, at most one a second: a
// crowd of callers must not fill the log.

#ifndef CAROBSHIFT_GATEWAY_CONNECTION_QUOTA_REPORT_H_
#define CAROBSHIFT_GATEWAY_CONNECTION_QUOTA_REPORT_H_

#include "carobshift/base/units.h"
#include "carobshift/net/connection_quota.h"
#include "carobshift/telemetry/metrics.h"

namespace carobshift {

class ConnectionQuotaReport {
 public:
  static constexpr Milliseconds kLogInterval{1000};

  void OnTick(const ConnectionQuota& quota,
              Metrics& metrics,
              MonotonicTime now);

 private:
  ConnectionQuotaCounters logged_;
  MonotonicTime next_log_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_CONNECTION_QUOTA_REPORT_H_
