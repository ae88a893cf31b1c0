#include "carobshift/gateway/endpoints/cold_start_limits.h"

#include <algorithm>
#include <cmath>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

std::uint64_t RankingHash(const EndpointId& endpoint, const EntryId& member) {
  return CombineHashes(FastHash(endpoint.value()), FastHash(member.value()));
}

Milliseconds CeilMilliseconds(Microseconds time) {
  return std::chrono::ceil<Milliseconds>(time);
}

}  // namespace

void ColdStartLimits::SetConfig(const ServingConfig& config) {
  services_.clear();
  for (const auto& [name, service] : config.services)
    services_[name] = service.cold_start;
  // Endpoints may have stated that they are cold before the first
  // configuration.
  for (auto& [id, endpoint] : cold_)
    endpoint.pace = PaceOf(endpoint.service);
}

void ColdStartLimits::OnMembers(const std::vector<MemberInfo>& live,
                                const EntryId& self,
                                MonotonicTime now) {
  if (!started_at_)
    started_at_ = now;
  if (live.size() > 1 && !found_others_at_)
    found_others_at_ = now;
  const std::size_t known = members_.size();
  bool changed = self != self_;
  self_ = self;
  for (const MemberInfo& member : live) {
    KnownMember& entry = members_[member.id];
    changed = changed || entry.zone != member.zone;
    entry = {member.zone, now};
  }
  const auto self_member = members_.find(self);
  const bool leaving =
      self_member == members_.end() || self_member->second.last_live != now;
  changed = changed || leaving != leaving_;
  leaving_ = leaving;
  const std::size_t forgotten =
      std::erase_if(members_, [now](const auto& member) {
        return now - member.second.last_live >= kMemberRetention;
      });
  if (!changed && forgotten == 0 && members_.size() == known)
    return;
  for (auto& [id, endpoint] : cold_)
    endpoint.rank = RankAt(id, endpoint.zone);
}

std::optional<std::size_t> ColdStartLimits::RankAt(const EndpointId& endpoint,
                                                   const ZoneName& zone) const {
  if (leaving_)
    return std::nullopt;
  const bool zone_only = options_.users == ColdStartUsers::kZoneInstances &&
                         std::any_of(members_.begin(), members_.end(),
                                     [&zone](const auto& member) {
                                       return member.second.zone == zone;
                                     });
  const auto self = members_.find(self_);
  if (zone_only && (self == members_.end() || self->second.zone != zone))
    return std::nullopt;
  const std::uint64_t own = RankingHash(endpoint, self_);
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(), [&](const auto& member) {
        return (!zone_only || member.second.zone == zone) &&
               RankingHash(endpoint, member.first) > own;
      }));
}

ColdStartLimits::Pace ColdStartLimits::PaceOf(
    const ServiceName& service) const {
  constexpr double kMicrosecondsPerSecond = 1e6;
  const auto found = services_.find(service);
  const double stated =
      found == services_.end() ? 0 : found->second.requests_per_second;
  const double rate = std::clamp(stated, kMinRate, kMaxRate);
  const double bound = stated * options_.overage + options_.slack;
  // Half of the room between rate and bound, so that the other half is left for
  // users that know different members.
  const double users = std::clamp((bound - rate) / 2, 1.0, rate);
  Pace pace;
  pace.users = static_cast<std::size_t>(users);
  pace.interval = Microseconds(std::llround(
      kMicrosecondsPerSecond * static_cast<double>(pace.users) / rate));
  return pace;
}

bool ColdStartLimits::OnStatement(const EndpointRecord& endpoint,
                                  Milliseconds remaining,
                                  MonotonicTime now) {
  if (remaining <= Milliseconds(0))
    return false;
  const MonotonicTime until = now + std::min(remaining, kMaxColdTime);
  ColdEndpoint& entry = cold_[endpoint.id];
  const bool known =
      entry.until > now && entry.start_time == endpoint.start_time;
  if (known) {
    entry.until = std::max(entry.until, until);
    return false;
  }
  const Pace pace = PaceOf(endpoint.service);
  entry = {.start_time = endpoint.start_time,
           .service = endpoint.service,
           .zone = endpoint.zone,
           .until = until,
           .pace = pace,
           .rank = RankAt(endpoint.id, endpoint.zone)};
  // The users' first requests are spread over one interval.
  entry.next_send =
      now + pace.interval * static_cast<std::int64_t>(entry.rank.value_or(0)) /
                static_cast<std::int64_t>(pace.users);
  return true;
}

void ColdStartLimits::OnSend(const EndpointRecord& endpoint,
                             MonotonicTime now) {
  const auto found = cold_.find(endpoint.id);
  if (found != cold_.end())
    found->second.next_send = now + found->second.pace.interval;
}

void ColdStartLimits::Expire(MonotonicTime now) {
  std::erase_if(cold_,
                [now](const auto& entry) { return entry.second.until <= now; });
}

const ColdStartLimits::ColdEndpoint* ColdStartLimits::FindCold(
    const EndpointRecord& endpoint,
    MonotonicTime now) const {
  if (cold_.empty())
    return nullptr;
  const auto found = cold_.find(endpoint.id);
  const bool cold = found != cold_.end() && found->second.until > now &&
                    found->second.start_time == endpoint.start_time;
  return cold ? &found->second : nullptr;
}

bool ColdStartLimits::HasJoined(MonotonicTime now) const {
  if (found_others_at_)
    return now - *found_others_at_ >= kJoinDelay;
  return started_at_ && now - *started_at_ >= kDiscoveryPeriod;
}

bool ColdStartLimits::MaySend(const EndpointRecord& endpoint,
                              MonotonicTime now) const {
  const ColdEndpoint* const cold = FindCold(endpoint, now);
  if (cold == nullptr)
    return true;
  return IsUser(*cold, now) && now >= cold->next_send;
}

bool ColdStartLimits::IsUser(const ColdEndpoint& endpoint,
                             MonotonicTime now) const {
  return HasJoined(now) && endpoint.rank &&
         *endpoint.rank < endpoint.pace.users;
}

Milliseconds ColdStartLimits::WaitFor(const EndpointRecord& endpoint,
                                      MonotonicTime now) const {
  const ColdEndpoint* const cold = FindCold(endpoint, now);
  if (cold == nullptr)
    return Milliseconds(0);
  const Milliseconds remaining =
      std::chrono::ceil<Milliseconds>(cold->until - now);
  if (!IsUser(*cold, now))
    return std::min(remaining, CeilMilliseconds(cold->pace.interval));
  return std::max(Milliseconds(0),
                  std::chrono::ceil<Milliseconds>(cold->next_send - now));
}

Milliseconds ColdStartLimits::ColdTimeOf(const ServiceName& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? Milliseconds(0) : found->second.duration;
}

std::map<EndpointId, MonotonicTime> ColdStartLimits::ColdUntil(
    MonotonicTime now) const {
  std::map<EndpointId, MonotonicTime> until;
  for (const auto& [id, entry] : cold_) {
    if (entry.until > now)
      until[id] = entry.until;
  }
  return until;
}

}  // namespace carobshift
