#include "carobshift/gateway/admission/account_usage.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

// Returns the part of a cost that is left after `age`.
double Decay(Microseconds age) {
  using HalfLives = std::chrono::duration<double, std::milli>;
  if (age <= Microseconds(0))
    return 1;
  return std::exp2(-(HalfLives(age) / HalfLives(AccountUsage::kHalfLife)));
}

}  // namespace

double AccountUsage::DecayingCost::At(MonotonicTime now) const {
  return cost * Decay(now - at);
}

void AccountUsage::DecayingCost::Add(double added, MonotonicTime now) {
  cost = std::max(0.0, At(now) + added);
  at = std::max(at, now);
}

Milliseconds AccountUsage::PeriodFor(std::size_t instances) {
  constexpr double kMillisecondsPerSecond = 1000;
  // Rounded up, so that the rate stays within the limit.
  const auto min_period = Milliseconds(static_cast<std::int64_t>(
      std::ceil(static_cast<double>(instances) * kMillisecondsPerSecond /
                kMaxReportsPerSecond)));
  return std::max(kReportPeriod, min_period);
}

MonotonicTime AccountUsage::NextReportTime(const Incarnation& sender,
                                           Milliseconds period,
                                           MonotonicTime now) {
  const Microseconds interval = period;
  const Microseconds offset(static_cast<std::int64_t>(
      sender.value() % static_cast<std::uint64_t>(interval.count())));
  // Never negative: the time since boot is not, and the offset is below one
  // interval.
  const Microseconds passed =
      (now.time_since_epoch() + interval - offset) % interval;
  return now + interval - passed;
}

void AccountUsage::OnStarted(const AccountId& account,
                             double cost,
                             MonotonicTime now) {
  if (!std::isfinite(cost) || cost <= 0)
    return;
  own_[FastHash(account.value())].Add(cost, now);
}

AccountUsageReport AccountUsage::Report(MonotonicTime now) const {
  AccountUsageReport report;
  for (const auto& [account, usage] : own_) {
    const double cost = usage.At(now);
    if (cost >= kMinUsage)
      report.usages.push_back({account, cost});
  }
  std::sort(report.usages.begin(), report.usages.end(),
            [](const ReportedUsage& a, const ReportedUsage& b) {
              return a.cost != b.cost ? a.cost > b.cost : a.account < b.account;
            });
  if (report.usages.size() > kMaxReportedAccounts)
    report.usages.resize(kMaxReportedAccounts);
  return report;
}

bool AccountUsage::ShouldReport(MonotonicTime now) const {
  const AccountUsageReport own = Report(now);
  if (own.usages.size() != 1)
    return !own.usages.empty();
  return std::any_of(peer_totals_.begin(), peer_totals_.end(),
                     [&](const auto& entry) {
                       return entry.first != own.usages.front().account &&
                              entry.second.sum.At(now) >= kMinUsage;
                     });
}

void AccountUsage::OnPeerReport(const AccountUsageReport& report,
                                MonotonicTime now) {
  const auto known = peers_.find(report.sender);
  if (known != peers_.end()) {
    if (known->second.report.sequence >= report.sequence)
      return;
    Subtract(known->second, now);
  }
  peers_[report.sender] = {report, now,
                           now + report.period * kReportLifetimePeriods};
  Add(report, now);
}

double AccountUsage::Of(const AccountId& account, MonotonicTime now) const {
  const std::uint64_t hash = FastHash(account.value());
  double cost = 0;
  if (const auto own = own_.find(hash); own != own_.end())
    cost += own->second.At(now);
  if (const auto total = peer_totals_.find(hash); total != peer_totals_.end())
    cost += total->second.sum.At(now);
  return cost;
}

void AccountUsage::Expire(MonotonicTime now) {
  std::erase_if(own_, [now](const auto& entry) {
    return entry.second.At(now) < kMinUsage;
  });
  std::erase_if(peers_, [this, now](const auto& entry) {
    const bool over = now >= entry.second.expires;
    if (over)
      Subtract(entry.second, now);
    return over;
  });
}

void AccountUsage::Add(const AccountUsageReport& report, MonotonicTime now) {
  for (const ReportedUsage& usage : report.usages) {
    PeerTotal& total = peer_totals_[usage.account];
    total.sum.Add(usage.cost, now);
    ++total.entries;
  }
}

void AccountUsage::Subtract(const Peer& peer, MonotonicTime now) {
  const double left = Decay(now - peer.received);
  for (const ReportedUsage& usage : peer.report.usages) {
    const auto found = peer_totals_.find(usage.account);
    if (found == peer_totals_.end())
      continue;
    if (--found->second.entries == 0)
      peer_totals_.erase(found);
    else
      found->second.sum.Add(-usage.cost * left, now);
  }
}

}  // namespace carobshift
