// Holds reports of broken runs until it is known whether the runs broke because
// this instance lost its paths to all endpoints.
//
//   HeldCrashReports held;
//   held.Add({fingerprint, run, service}, now);
//   const SettledCrashReports settled = held.Settle(loss_of, now);
//   for (const HeldCrashReport& report : settled.to_announce) ...
//   for (const HeldCrashReport& report : settled.to_withdraw) ...
//
// Load pattern: an instance with dozens of requests in progress loses its paths
// to all endpoints, and all runs break at once. If each were announced as one
// that may have crashed its endpoint, a popular request would be refused by all
// instances after three such runs.
//
// Whether the paths are lost is known some milliseconds after the connections
// were reset, so a report waits for kHold. If the paths are lost then, it waits
// for kLossHold, by which time the other instances have announced whether they
// lost theirs too. If another one reaches the service, the endpoints live and
// the report is withdrawn. If none does, the request may have crashed all of
// them, and the report is announced.
//
// The caller counts the run itself meanwhile, so the request can't crash a
// further endpoint from here.
//
// Thread-compatible. Holds the reports of the last kLossHold.

#ifndef CAROBSHIFT_GATEWAY_REQUEST_HELD_CRASH_REPORTS_H_
#define CAROBSHIFT_GATEWAY_REQUEST_HELD_CRASH_REPORTS_H_

#include <functional>
#include <string>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/endpoints/rate_limits.h"
#include "carobshift/gateway/request/crash_record.h"
#include "carobshift/gateway/request/part_suspects.h"

namespace carobshift {

enum class ServiceLoss {
  kNone,
  // This instance doesn't reach the service, another one does.
  kOwnPaths,
  // No instance reaches the service.
  kEverywhere,
};

struct HeldCrashReport {
  RequestFingerprint fingerprint;
  std::string run;
  ServiceName service;
  EndpointIncarnation endpoint{};
  MonotonicTime sent{};
  MonotonicTime broke{};
  // The parts that may have crashed the endpoint; none if the run had begun to
  // answer.
  std::vector<PartDigest> parts{};
};

struct SettledCrashReports {
  std::vector<HeldCrashReport> to_announce;
  std::vector<HeldCrashReport> to_withdraw;
};

class HeldCrashReports {
 public:
  static constexpr Milliseconds kHold{60};
  static constexpr Milliseconds kLossHold{400};

  void Add(HeldCrashReport report, MonotonicTime now);
  // Removes and returns the reports that are decided. Call about every kHold
  // while there are any.
  [[nodiscard]] SettledCrashReports Settle(
      const std::function<ServiceLoss(const ServiceName&)>& loss_of,
      MonotonicTime now);
  [[nodiscard]] bool empty() const { return held_.empty(); }

 private:
  struct Held {
    HeldCrashReport report;
    MonotonicTime since;
  };
  std::vector<Held> held_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_HELD_CRASH_REPORTS_H_
