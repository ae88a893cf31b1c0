#include "carobshift/gateway/endpoints/endpoint_incarnations.h"

namespace carobshift {

std::string_view RecordStandingName(RecordStanding standing) {
  switch (standing) {
    case RecordStanding::kCurrent:
      return "current";
    case RecordStanding::kOlderIncarnation:
      return "older_incarnation";
    case RecordStanding::kBeforeLeaving:
      return "before_leaving";
    case RecordStanding::kBeforeRemoval:
      return "before_removal";
  }
  return "unknown";
}

RecordStanding EndpointIncarnations::StandingOf(const EndpointRecord& record,
                                                const Incarnation& newest) {
  if (record.start_time < newest.record.start_time)
    return RecordStanding::kOlderIncarnation;
  if (record.start_time > newest.record.start_time)
    return RecordStanding::kCurrent;
  const bool has_numbers = record.heartbeat && newest.record.heartbeat;
  const bool is_later =
      has_numbers && *record.heartbeat > *newest.record.heartbeat;
  if (newest.record.leaving && !record.leaving && !is_later)
    return RecordStanding::kBeforeLeaving;
  if (newest.removed && has_numbers && !is_later)
    return RecordStanding::kBeforeRemoval;
  return RecordStanding::kCurrent;
}

RecordStanding EndpointIncarnations::OnRecord(const EndpointRecord& record,
                                              MonotonicTime now) {
  const auto [found, is_new] = newest_.try_emplace(record.id);
  Incarnation& newest = found->second;
  if (!is_new) {
    const RecordStanding standing = StandingOf(record, newest);
    if (standing != RecordStanding::kCurrent)
      return standing;
  }
  newest = {.record = record, .recorded = now};
  ForgetOld(now);
  return RecordStanding::kCurrent;
}

void EndpointIncarnations::OnRemoved(const EndpointId& id) {
  const auto found = newest_.find(id);
  if (found != newest_.end())
    found->second.removed = true;
}

const EndpointRecord* EndpointIncarnations::LastRecord(
    const EndpointId& id) const {
  const auto found = newest_.find(id);
  return found == newest_.end() ? nullptr : &found->second.record;
}

std::optional<HeartbeatNumber> EndpointIncarnations::LastHeartbeat(
    const EndpointId& id) const {
  const EndpointRecord* const last = LastRecord(id);
  return last == nullptr ? std::nullopt : last->heartbeat;
}

void EndpointIncarnations::ForgetOld(MonotonicTime now) {
  if (newest_.size() <= kMaxKnown)
    return;
  std::erase_if(newest_, [now](const auto& known) {
    return now - known.second.recorded >= kKeepTime;
  });
}

}  // namespace carobshift
