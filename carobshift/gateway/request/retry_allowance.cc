#include "carobshift/gateway/request/retry_allowance.h"

#include <algorithm>
#include <iterator>

namespace carobshift {

RetryAllowance::Counts& RetryAllowance::CountsOf(const ServiceName& service) {
  return counts_.try_emplace(service, limits_.window).first->second;
}

void RetryAllowance::OnRequest(const ServiceName& service, MonotonicTime now) {
  CountsOf(service).requests.Add(now);
}

void RetryAllowance::OnMembers(int members, MonotonicTime now) {
  if (!started_at_)
    started_at_ = now;
  if (members < members_ && now - members_seen_at_ < kMembershipHoldTime)
    return;
  members_ = members;
  members_seen_at_ = now;
}

double RetryAllowance::FixedShare(MonotonicTime now) const {
  if (!started_at_)
    return 0;
  const auto age = now - *started_at_;
  if (!limits_.first_start && age < limits_.window + kLateArrivalTime)
    return 0;
  const bool sees_all = limits_.first_start && members_ > 1;
  const int members = sees_all || age >= kMembershipHoldTime
                          ? members_
                          : std::max(members_, kAssumedMembers);
  return kUsableFraction * limits_.extra / members;
}

double RetryAllowance::RetriesOf(const Counts& counts,
                                 MonotonicTime now) const {
  const auto first = counts.settled.upper_bound(now - limits_.window);
  return counts.unsettled +
         static_cast<double>(std::distance(first, counts.settled.end()));
}

double RetryAllowance::RetriesOnTheWay(const Counts& counts,
                                       MonotonicTime now) {
  const auto first = counts.settled.upper_bound(now);
  return counts.unsettled +
         static_cast<double>(std::distance(first, counts.settled.end()));
}

double RetryAllowance::ByShare(const Counts& counts,
                               Milliseconds time,
                               MonotonicTime now) const {
  return kShareFraction * limits_.share * counts.requests.In(time, now);
}

double RetryAllowance::Left(const ServiceName& service,
                            MonotonicTime now) const {
  const double fixed = FixedShare(now);
  const auto found = counts_.find(service);
  if (found == counts_.end())
    return fixed;
  const Counts& counts = found->second;
  const Milliseconds not_late =
      std::max(Milliseconds(0), limits_.window - kLateArrivalTime);
  const double in_window =
      ByShare(counts, limits_.window, now) + fixed - RetriesOf(counts, now);
  const double on_the_way =
      ByShare(counts, not_late, now) + fixed - RetriesOnTheWay(counts, now);
  return std::min(in_window, on_the_way);
}

std::vector<RetryAccount> RetryAllowance::Accounts(MonotonicTime now) const {
  std::vector<RetryAccount> accounts;
  for (const auto& [service, counts] : counts_) {
    accounts.push_back({.service = service,
                        .requests = counts.requests.In(limits_.window, now),
                        .retries = RetriesOf(counts, now),
                        .unsettled = static_cast<double>(counts.unsettled),
                        .by_share = ByShare(counts, limits_.window, now),
                        .fixed = FixedShare(now),
                        .left = Left(service, now)});
  }
  return accounts;
}

bool RetryAllowance::TrySpend(const ServiceName& service, MonotonicTime now) {
  if (Left(service, now) < 1)
    return false;
  ++CountsOf(service).unsettled;
  return true;
}

void RetryAllowance::Settle(const ServiceName& service,
                            MonotonicTime last_arrival,
                            MonotonicTime now) {
  Counts& counts = CountsOf(service);
  --counts.unsettled;
  counts.settled.erase(counts.settled.begin(),
                       counts.settled.upper_bound(now - limits_.window));
  counts.settled.insert(last_arrival);
}

void RetryAllowance::Refund(const ServiceName& service) {
  --CountsOf(service).unsettled;
}

}  // namespace carobshift
