#include "carobshift/gateway/request/held_crash_reports.h"

#include <utility>

namespace carobshift {

void HeldCrashReports::Add(HeldCrashReport report, MonotonicTime now) {
  held_.push_back({std::move(report), now});
}

SettledCrashReports HeldCrashReports::Settle(
    const std::function<ServiceLoss(const ServiceName&)>& loss_of,
    MonotonicTime now) {
  SettledCrashReports settled;
  std::vector<Held> rest;
  for (Held& held : held_) {
    const ServiceLoss loss = loss_of(held.report.service);
    const Milliseconds hold = loss == ServiceLoss::kNone ? kHold : kLossHold;
    if (now - held.since < hold)
      rest.push_back(std::move(held));
    else if (loss == ServiceLoss::kOwnPaths)
      settled.to_withdraw.push_back(std::move(held.report));
    else
      settled.to_announce.push_back(std::move(held.report));
  }
  held_ = std::move(rest);
  return settled;
}

}  // namespace carobshift
