#include "carobshift/gateway/endpoints/rejection_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

// Smaller relative changes between two statements aren't reported.
constexpr double kMinReportedChange = 0.1;

std::uint64_t HashOf(const ServiceName& service) {
  return FastHash(service.value());
}

std::uint64_t HashOf(const EndpointId& endpoint) {
  return FastHash(endpoint.value());
}

Milliseconds AgeOf(MonotonicTime time, MonotonicTime now) {
  return std::chrono::duration_cast<Milliseconds>(now - time);
}

}  // namespace

void RejectionLimits::OnMembers(const std::vector<MemberInfo>& live,
                                const EntryId& self,
                                MonotonicTime now) {
  if (!started_at_)
    started_at_ = now;
  if (live.size() > 1 && !found_others_at_)
    found_others_at_ = now;
  self_ = self;
  for (const MemberInfo& member : live)
    OnLiveMember(member, now);
  std::erase_if(members_, [now](const auto& member) {
    return now - member.second.last_live >= kMemberRetention;
  });
}

bool RejectionLimits::HasJoined(MonotonicTime now) const {
  if (found_others_at_)
    return now - *found_others_at_ >= kJoinDelay;
  return started_at_ && now - *started_at_ >= kDiscoveryPeriod;
}

void RejectionLimits::OnLiveMember(const MemberInfo& member,
                                   MonotonicTime now) {
  const auto [found, inserted] = members_.try_emplace(member.id);
  KnownMember& known = found->second;
  if (inserted || known.incarnation != member.incarnation) {
    known.hash = FastHash(member.id.value());
    known.incarnation = member.incarnation;
    known.first_live = now;
  }
  known.last_live = now;
}

bool RejectionLimits::HasNewMember(MonotonicTime now) const {
  return std::any_of(members_.begin(), members_.end(),
                     [now](const auto& member) {
                       return now - member.second.first_live < kNewMemberPeriod;
                     });
}

bool RejectionLimits::HasShares(MonotonicTime now) const {
  // An instance that is leaving keeps its share as long as the others do.
  return HasJoined(now) && members_.contains(self_);
}

int RejectionLimits::RankAt(std::uint64_t hash) const {
  const std::uint64_t own = CombineHashes(hash, FastHash(self_.value()));
  return static_cast<int>(std::count_if(
      members_.begin(), members_.end(), [hash, own](const auto& member) {
        return CombineHashes(hash, member.second.hash) > own;
      }));
}

RejectionLimits::Division RejectionLimits::DivisionOf(
    const EndpointRecord& endpoint) const {
  const double slots = std::max(1, endpoint.slots);
  const int usable = std::max(1, static_cast<int>(kUsableSlotShare * slots));
  const int members = std::max(1, static_cast<int>(members_.size()));
  return {usable / members, usable % members};
}

bool RejectionLimits::MaySendFirst(const EndpointRecord& endpoint,
                                   MonotonicTime now) const {
  const bool just_started =
      started_at_ && now - *started_at_ < kDiscoveryPeriod;
  if (!just_started || answered_.contains(HashOf(endpoint.service)))
    return true;
  return OccupiedAt(endpoint, now) < std::max(1, DivisionOf(endpoint).each);
}

int RejectionLimits::ShareOf(const EndpointRecord& endpoint,
                             MonotonicTime now) const {
  if (!HasShares(now))
    return 0;
  const Division division = DivisionOf(endpoint);
  const bool has_one_more = RankAt(HashOf(endpoint.id)) < division.rest;
  return division.each + (has_one_more ? 1 : 0);
}

bool RejectionLimits::HasRoom(const EndpointRecord& endpoint,
                              MonotonicTime now) const {
  if (!HasShares(now))
    return false;
  const Division division = DivisionOf(endpoint);
  const int occupied = OccupiedAt(endpoint, now);
  // The rank matters only here, and takes time with many members.
  if (occupied == division.each)
    return RankAt(HashOf(endpoint.id)) < division.rest;
  return occupied < division.each;
}

bool RejectionLimits::SetLimit(std::uint64_t service,
                               RequestRate limit,
                               MonotonicTime stated_at) {
  const auto [found, inserted] = limits_.try_emplace(service);
  Limit& entry = found->second;
  if (!inserted && stated_at < entry.stated_at)
    return false;
  const bool restated = std::exchange(entry.ended, false);
  const double before = std::exchange(entry.limit, limit).value();
  entry.stated_at = stated_at;
  return inserted || restated ||
         std::abs(limit.value() - before) > kMinReportedChange * before;
}

bool RejectionLimits::EndLimit(std::uint64_t service, MonotonicTime stated_at) {
  const auto found = limits_.find(service);
  if (found == limits_.end() || stated_at < found->second.stated_at)
    return false;
  found->second.stated_at = stated_at;
  return !std::exchange(found->second.ended, true);
}

bool RejectionLimits::OnAnswer(const ServiceName& service,
                               const RejectionStatement& statement,
                               MonotonicTime now) {
  const std::uint64_t hash = HashOf(service);
  if (statement.ran)
    answered_.insert(hash);
  bool changed = false;
  if (statement.limit) {
    changed = SetLimit(hash, *statement.limit, now);
  } else {
    const auto known = limits_.find(hash);
    changed = statement.ran && known != limits_.end() &&
              statement.sent > known->second.stated_at && EndLimit(hash, now);
  }
  if (changed)
    limits_.at(hash).unpublished = true;
  return changed;
}

bool RejectionLimits::OnPeerLimit(const RejectionLimitUpdate& update,
                                  MonotonicTime now) {
  const MonotonicTime stated_at = now - update.age;
  if (update.age >= kMaxAge)
    return false;
  const bool changed = update.limit
                           ? SetLimit(update.service, *update.limit, stated_at)
                           : EndLimit(update.service, stated_at);
  const auto known = limits_.find(update.service);
  if (known != limits_.end())
    known->second.told_at = std::max(known->second.told_at, stated_at);
  return changed;
}

void RejectionLimits::OnSend(const EndpointIncarnation& endpoint) {
  Occupancy& occupancy = occupancies_[endpoint.id];
  if (occupancy.start_time != endpoint.start_time) {
    occupancy = {};
    occupancy.start_time = endpoint.start_time;
  }
  ++occupancy.in_progress;
}

RejectionLimits::Occupancy* RejectionLimits::FindOccupancy(
    const EndpointIncarnation& endpoint) {
  const auto found = occupancies_.find(endpoint.id);
  if (found == occupancies_.end() ||
      found->second.start_time != endpoint.start_time)
    return nullptr;
  return &found->second;
}

void RejectionLimits::OnEnd(const EndpointIncarnation& endpoint) {
  if (Occupancy* const occupancy = FindOccupancy(endpoint))
    --occupancy->in_progress;
}

void RejectionLimits::OnAbandoned(const EndpointIncarnation& endpoint,
                                  MonotonicTime now) {
  OnEnd(endpoint);
  if (Occupancy* const occupancy = FindOccupancy(endpoint))
    occupancy->abandoned_until.push_back(now + kAbandonedRunTime);
}

bool RejectionLimits::SetPause(std::uint64_t endpoint,
                               EndpointStartTime start_time,
                               MonotonicTime until) {
  Pause& pause = pauses_[endpoint];
  if (start_time < pause.start_time ||
      (start_time == pause.start_time && until <= pause.until))
    return false;
  pause.start_time = start_time;
  pause.until = until;
  return true;
}

bool RejectionLimits::OnRejection(const EndpointRecord& endpoint,
                                  MonotonicTime now) {
  if (!HasLimit(endpoint.service))
    return false;
  const std::uint64_t hash = HashOf(endpoint.id);
  if (SetPause(hash, endpoint.start_time, now + kRejectionPause))
    pauses_.at(hash).unpublished = true;
  return true;
}

bool RejectionLimits::OnPeerRejection(const RejectionUpdate& update,
                                      MonotonicTime now) {
  if (update.age >= kRejectionPause)
    return false;
  return SetPause(update.endpoint, update.start_time,
                  now - update.age + kRejectionPause);
}

void RejectionLimits::Remove(const EndpointId& endpoint) {
  occupancies_.erase(endpoint);
  pauses_.erase(HashOf(endpoint));
}

void RejectionLimits::Expire(MonotonicTime now) {
  std::erase_if(limits_, [now](const auto& entry) {
    return now - entry.second.stated_at >= kMaxAge;
  });
  std::erase_if(pauses_,
                [now](const auto& entry) { return entry.second.until <= now; });
  for (auto& [id, occupancy] : occupancies_) {
    std::erase_if(occupancy.abandoned_until,
                  [now](MonotonicTime until) { return until <= now; });
  }
  std::erase_if(occupancies_, [](const auto& entry) {
    return entry.second.in_progress == 0 &&
           entry.second.abandoned_until.empty();
  });
}

RejectionUpdates RejectionLimits::TakeUpdates(MonotonicTime now) {
  RejectionUpdates updates;
  const bool tells_new =
      !limits_.empty() && now >= next_tell_ && HasNewMember(now);
  if (tells_new)
    next_tell_ = now + kTellInterval;
  for (auto& [service, limit] : limits_) {
    const bool unpublished = std::exchange(limit.unpublished, false);
    const bool repeat_due = limit.stated_at - limit.told_at >= kRepeatInterval;
    const bool tells = tells_new && RankAt(service) < kTellers;
    if (!unpublished && !repeat_due && !tells)
      continue;
    limit.told_at = limit.stated_at;
    updates.limits.push_back(
        {.service = service,
         .limit = limit.ended ? std::nullopt : std::optional(limit.limit),
         .age = AgeOf(limit.stated_at, now)});
  }
  for (auto& [endpoint, pause] : pauses_) {
    if (!std::exchange(pause.unpublished, false))
      continue;
    updates.rejections.push_back(
        {.endpoint = endpoint,
         .start_time = pause.start_time,
         .age = AgeOf(pause.until - kRejectionPause, now)});
  }
  return updates;
}

bool RejectionLimits::HasLimit(const ServiceName& service) const {
  // This is called for every candidate, and usually no limit is known.
  if (limits_.empty())
    return false;
  const auto found = limits_.find(HashOf(service));
  return found != limits_.end() && !found->second.ended;
}

int RejectionLimits::OccupiedAt(const EndpointRecord& endpoint,
                                MonotonicTime now) const {
  const auto found = occupancies_.find(endpoint.id);
  if (found == occupancies_.end() ||
      found->second.start_time != endpoint.start_time)
    return 0;
  const std::vector<MonotonicTime>& abandoned = found->second.abandoned_until;
  return found->second.in_progress +
         static_cast<int>(
             std::count_if(abandoned.begin(), abandoned.end(),
                           [now](MonotonicTime until) { return until > now; }));
}

Milliseconds RejectionLimits::PauseAt(const EndpointRecord& endpoint,
                                      MonotonicTime now) const {
  const auto found = pauses_.find(HashOf(endpoint.id));
  if (found == pauses_.end() || found->second.start_time != endpoint.start_time)
    return Milliseconds(0);
  return std::max(Milliseconds(0),
                  std::chrono::ceil<Milliseconds>(found->second.until - now));
}

bool RejectionLimits::MaySend(const EndpointRecord& endpoint,
                              MonotonicTime now) const {
  return WaitFor(endpoint, now) == Milliseconds(0);
}

Milliseconds RejectionLimits::WaitFor(const EndpointRecord& endpoint,
                                      MonotonicTime now) const {
  if (!HasLimit(endpoint.service))
    return MaySendFirst(endpoint, now) ? Milliseconds(0) : kFullShareWait;
  const Milliseconds pause = PauseAt(endpoint, now);
  return HasRoom(endpoint, now) ? pause : std::max(pause, kFullShareWait);
}

std::optional<RequestRate> RejectionLimits::LimitOf(
    const ServiceName& service) const {
  if (!HasLimit(service))
    return std::nullopt;
  return limits_.at(HashOf(service)).limit;
}

std::size_t RejectionLimits::size() const {
  return static_cast<std::size_t>(
      std::count_if(limits_.begin(), limits_.end(),
                    [](const auto& entry) { return !entry.second.ended; }));
}

}  // namespace carobshift
