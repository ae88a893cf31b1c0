#include "carobshift/gateway/rate_limits.h"

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
  if (!began_)
    began_ = now;
  unknown_ = live.size() <= 1 && now - *began_ < kYouth;
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
  // One that leaves uses nothing, unless nobody else is there.
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
  const double rate =
      std::clamp(limit.rate.value(), kLeastPerSecond, kMostPerSecond);
  if (!limit.ended)
    return rate;
  const double doublings =
      static_cast<double>(
          std::chrono::duration_cast<Milliseconds>(now - *limit.ended)
              .count()) /
      static_cast<double>(kDoubling.count());
  return std::min(rate * std::exp2(std::max(0.0, doublings)), kMostPerSecond);
}

std::size_t RateLimits::UsersAt(const Limit& limit, MonotonicTime now) const {
  const std::size_t members =
      unknown_ ? kUnknownMembers : std::max<std::size_t>(1, members_.size());
  const auto most =
      static_cast<std::size_t>(std::floor(RateAt(limit, now)) + kSpareUsers);
  return std::min(members, most);
}

Microseconds RateLimits::IntervalAt(const Limit& limit,
                                    MonotonicTime now) const {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return Microseconds(std::llround(static_cast<double>(UsersAt(limit, now)) *
                                   kMicrosecondsPerSecond /
                                   RateAt(limit, now)));
}

template <typename Limits>
auto RateLimits::FindIn(Limits& limits, const EndpointLife& endpoint)
    -> decltype(&limits.begin()->second) {
  // Most of the time there is none, and every candidate is asked about.
  if (limits.empty())
    return nullptr;
  const auto found = limits.find(HashOf(endpoint.id));
  if (found == limits.end() || found->second.born != endpoint.born)
    return nullptr;
  return &found->second;
}

RateLimits::Limit* RateLimits::Open(std::uint64_t endpoint,
                                    EndpointBirth born) {
  const auto [found, fresh] = limits_.try_emplace(endpoint);
  Limit& limit = found->second;
  if (!fresh && limit.born == born)
    return &limit;
  if (!fresh && born < limit.born)
    return nullptr;
  limit = {};
  limit.born = born;
  limit.rank = RankAt(endpoint);
  return &limit;
}

bool RateLimits::SetRate(std::uint64_t endpoint,
                         EndpointBirth born,
                         RequestRate rate,
                         MonotonicTime said,
                         MonotonicTime now) {
  Limit* const limit = Open(endpoint, born);
  if (limit == nullptr || said < limit->said)
    return false;
  const bool first = limit->said == MonotonicTime{};
  const bool again = limit->ended.has_value();
  const double before = limit->rate.value();
  limit->rate = rate;
  limit->said = said;
  limit->ended.reset();
  if (first)
    limit->next = now + IntervalAt(*limit, now);
  return first || again ||
         std::abs(rate.value() - before) > kLeastChange * before;
}

bool RateLimits::End(Limit& limit, MonotonicTime said) {
  if (said < limit.said)
    return false;
  limit.said = said;
  if (limit.ended)
    return false;
  limit.ended = said;
  return true;
}

bool RateLimits::OnAnswer(const EndpointLife& endpoint,
                          const LimitStatement& statement,
                          MonotonicTime now) {
  const std::uint64_t hash = HashOf(endpoint.id);
  bool changed = false;
  if (statement.named) {
    changed = SetRate(hash, endpoint.born, *statement.named, now, now);
  } else {
    Limit* const limit = FindIn(limits_, endpoint);
    changed =
        limit != nullptr && statement.sent > limit->said && End(*limit, now);
  }
  if (changed)
    limits_.at(hash).untold = true;
  return changed;
}

bool RateLimits::OnNews(const LimitNews& news, MonotonicTime now) {
  const MonotonicTime said = now - news.age;
  if (news.rate) {
    return news.age < kLife &&
           SetRate(news.endpoint, news.born, *news.rate, said, now);
  }
  const auto known = limits_.find(news.endpoint);
  return known != limits_.end() && known->second.born == news.born &&
         End(known->second, said);
}

void RateLimits::OnSend(const EndpointLife& endpoint, MonotonicTime now) {
  if (Limit* const limit = FindIn(limits_, endpoint))
    limit->next = now + IntervalAt(*limit, now);
}

void RateLimits::Forget(const EndpointId& endpoint) {
  limits_.erase(HashOf(endpoint));
}

void RateLimits::Expire(MonotonicTime now) {
  for (auto& [endpoint, limit] : limits_) {
    if (!limit.ended && now - limit.said >= kLife)
      limit.ended = now;
  }
  std::erase_if(limits_, [now](const auto& entry) {
    return entry.second.ended && now - *entry.second.ended >= kReturnToFull;
  });
}

std::vector<LimitNews> RateLimits::TakeNews(MonotonicTime now) {
  const bool repeats = now >= next_repeat_;
  if (repeats)
    next_repeat_ = now + kRepeat;
  std::vector<LimitNews> news;
  for (auto& [endpoint, limit] : limits_) {
    const bool untold = std::exchange(limit.untold, false);
    if (!untold && !(repeats && limit.rank == 0))
      continue;
    news.push_back(
        {.endpoint = endpoint,
         .born = limit.born,
         .rate = limit.ended ? std::nullopt : std::optional(limit.rate),
         .age = std::chrono::duration_cast<Milliseconds>(now - limit.said)});
  }
  return news;
}

bool RateLimits::MaySend(const EndpointLife& endpoint,
                         MonotonicTime now) const {
  const Limit* const limit = FindIn(limits_, endpoint);
  return limit == nullptr ||
         (limit->rank < UsersAt(*limit, now) && now >= limit->next);
}

Milliseconds RateLimits::WaitFor(const EndpointLife& endpoint,
                                 MonotonicTime now) const {
  const Limit* const limit = FindIn(limits_, endpoint);
  if (limit == nullptr)
    return Milliseconds(0);
  // Another instance may send there sooner; each of them does within this.
  if (limit->rank >= UsersAt(*limit, now))
    return std::chrono::ceil<Milliseconds>(IntervalAt(*limit, now));
  return std::max(Milliseconds(0),
                  std::chrono::ceil<Milliseconds>(limit->next - now));
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
