#include "carobshift/gateway/endpoints/rate_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

std::uint64_t HashOf(const EndpointId& id) {
  return FastHash(id.value());
}

std::uint64_t RankingHash(std::uint64_t endpoint, const EntryId& member) {
  return CombineHashes(endpoint, FastHash(member.value()));
}

}  // namespace

void RateLimits::OnMembers(const std::vector<MemberInfo>& live,
                           const EntryId& self,
                           MonotonicTime now) {
  if (!started_at_)
    started_at_ = now;
  members_unknown_ = live.size() <= 1 && now - *started_at_ < kDiscoveryPeriod;
  const bool same = std::equal(
      live.begin(), live.end(), members_.begin(), members_.end(),
      [](const MemberInfo& a, const EntryId& b) { return a.id == b; });
  if (same && self == self_)
    return;
  self_ = self;
  members_.clear();
  for (const MemberInfo& member : live)
    members_.push_back(member.id);
  for (auto& [endpoint, limit] : limits_)
    limit.rank = RankAt(endpoint);
}

std::size_t RateLimits::RankAt(std::uint64_t endpoint) const {
  // An instance that is leaving sends nothing, unless it is the only one.
  if (members_.empty())
    return 0;
  if (std::find(members_.begin(), members_.end(), self_) == members_.end())
    return kNoRank;
  const std::uint64_t own = RankingHash(endpoint, self_);
  return static_cast<std::size_t>(std::count_if(
      members_.begin(), members_.end(), [endpoint, own](const EntryId& member) {
        return RankingHash(endpoint, member) > own;
      }));
}

double RateLimits::RateAt(const Limit& limit, MonotonicTime now) {
  const double rate = std::clamp(limit.rate.value(), kMinRequestsPerSecond,
                                 kMaxRequestsPerSecond);
  if (!limit.ended)
    return rate;
  const double doublings =
      static_cast<double>(
          std::chrono::duration_cast<Milliseconds>(now - *limit.ended)
              .count()) /
      static_cast<double>(kRateDoublingInterval.count());
  return std::min(rate * std::exp2(std::max(0.0, doublings)),
                  kMaxRequestsPerSecond);
}

std::size_t RateLimits::UsersAt(const Limit& limit, MonotonicTime now) const {
  const std::size_t members = members_unknown_
                                  ? kAssumedMembers
                                  : std::max<std::size_t>(1, members_.size());
  const auto max_users =
      static_cast<std::size_t>(std::floor(RateAt(limit, now)) + kExtraUsers);
  return std::min(members, max_users);
}

Microseconds RateLimits::IntervalAt(const Limit& limit,
                                    MonotonicTime now) const {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return Microseconds(std::llround(static_cast<double>(UsersAt(limit, now)) *
                                   kMicrosecondsPerSecond /
                                   RateAt(limit, now)));
}

template <typename Limits>
auto RateLimits::FindIn(Limits& limits, const EndpointIncarnation& endpoint)
    -> decltype(&limits.begin()->second) {
  // This is called for every candidate, and usually no limit is known.
  if (limits.empty())
    return nullptr;
  const auto found = limits.find(HashOf(endpoint.id));
  if (found == limits.end() || found->second.start_time != endpoint.start_time)
    return nullptr;
  return &found->second;
}

RateLimits::Limit* RateLimits::FindOrCreate(std::uint64_t endpoint,
                                            EndpointStartTime start_time) {
  const auto [found, inserted] = limits_.try_emplace(endpoint);
  Limit& limit = found->second;
  if (!inserted && limit.start_time == start_time)
    return &limit;
  if (!inserted && start_time < limit.start_time)
    return nullptr;
  limit = {};
  limit.start_time = start_time;
  limit.rank = RankAt(endpoint);
  return &limit;
}

bool RateLimits::SetRate(std::uint64_t endpoint,
                         EndpointStartTime start_time,
                         RequestRate rate,
                         MonotonicTime stated_at,
                         MonotonicTime now) {
  Limit* const limit = FindOrCreate(endpoint, start_time);
  if (limit == nullptr || stated_at < limit->stated_at)
    return false;
  const bool first = limit->stated_at == MonotonicTime{};
  const bool restated = limit->ended.has_value();
  const double before = limit->rate.value();
  limit->rate = rate;
  limit->stated_at = stated_at;
  limit->ended.reset();
  if (first)
    limit->next_send = now + IntervalAt(*limit, now);
  return first || restated ||
         std::abs(rate.value() - before) > kMinReportedChange * before;
}

bool RateLimits::EndLimit(Limit& limit, MonotonicTime stated_at) {
  if (stated_at < limit.stated_at)
    return false;
  limit.stated_at = stated_at;
  if (limit.ended)
    return false;
  limit.ended = stated_at;
  return true;
}

bool RateLimits::OnAnswer(const EndpointIncarnation& endpoint,
                          const LimitStatement& statement,
                          MonotonicTime now) {
  const std::uint64_t hash = HashOf(endpoint.id);
  bool changed = false;
  if (statement.rate) {
    changed = SetRate(hash, endpoint.start_time, *statement.rate, now, now);
  } else {
    Limit* const limit = FindIn(limits_, endpoint);
    changed = limit != nullptr && statement.sent > limit->stated_at &&
              EndLimit(*limit, now);
  }
  if (changed)
    limits_.at(hash).unpublished = true;
  return changed;
}

bool RateLimits::OnPeerUpdate(const LimitUpdate& update, MonotonicTime now) {
  const MonotonicTime stated_at = now - update.age;
  if (update.rate) {
    return update.age < kMaxAge && SetRate(update.endpoint, update.start_time,
                                           *update.rate, stated_at, now);
  }
  const auto known = limits_.find(update.endpoint);
  return known != limits_.end() &&
         known->second.start_time == update.start_time &&
         EndLimit(known->second, stated_at);
}

void RateLimits::OnSend(const EndpointIncarnation& endpoint,
                        MonotonicTime now) {
  if (Limit* const limit = FindIn(limits_, endpoint))
    limit->next_send = now + IntervalAt(*limit, now);
}

void RateLimits::Remove(const EndpointId& endpoint) {
  limits_.erase(HashOf(endpoint));
}

void RateLimits::Expire(MonotonicTime now) {
  for (auto& [endpoint, limit] : limits_) {
    if (!limit.ended && now - limit.stated_at >= kMaxAge)
      limit.ended = now;
  }
  std::erase_if(limits_, [now](const auto& entry) {
    return entry.second.ended && now - *entry.second.ended >= kRampUpPeriod;
  });
}

std::vector<LimitUpdate> RateLimits::TakeUpdates(MonotonicTime now) {
  const bool repeat_due = now >= next_repeat_;
  if (repeat_due)
    next_repeat_ = now + kRepeatInterval;
  std::vector<LimitUpdate> updates;
  for (auto& [endpoint, limit] : limits_) {
    const bool unpublished = std::exchange(limit.unpublished, false);
    if (!unpublished && !(repeat_due && limit.rank == 0))
      continue;
    updates.push_back(
        {.endpoint = endpoint,
         .start_time = limit.start_time,
         .rate = limit.ended ? std::nullopt : std::optional(limit.rate),
         .age =
             std::chrono::duration_cast<Milliseconds>(now - limit.stated_at)});
  }
  return updates;
}

bool RateLimits::MaySend(const EndpointIncarnation& endpoint,
                         MonotonicTime now) const {
  const Limit* const limit = FindIn(limits_, endpoint);
  return limit == nullptr ||
         (limit->rank < UsersAt(*limit, now) && now >= limit->next_send);
}

Milliseconds RateLimits::WaitFor(const EndpointIncarnation& endpoint,
                                 MonotonicTime now) const {
  const Limit* const limit = FindIn(limits_, endpoint);
  if (limit == nullptr)
    return Milliseconds(0);
  // Another instance may send there sooner; each user of the limit sends within
  // this interval.
  if (limit->rank >= UsersAt(*limit, now))
    return std::chrono::ceil<Milliseconds>(IntervalAt(*limit, now));
  return std::max(Milliseconds(0),
                  std::chrono::ceil<Milliseconds>(limit->next_send - now));
}

std::optional<RequestRate> RateLimits::LimitOf(
    const EndpointId& endpoint) const {
  const auto found = limits_.find(HashOf(endpoint));
  if (found == limits_.end() || found->second.ended)
    return std::nullopt;
  return found->second.rate;
}

std::size_t RateLimits::size() const {
  return static_cast<std::size_t>(std::count_if(
      limits_.begin(), limits_.end(),
      [](const auto& entry) { return !entry.second.ended.has_value(); }));
}

}  // namespace carobshift
