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
    case RecordStanding::kOlderHeartbeat:
      return "older_heartbeat";
  }
  return "unknown";
}

RecordStanding EndpointIncarnations::StandingOf(const EndpointRecord& record,
                                                const Incarnation& newest) {
  if (record.start_time < newest.start_time)
    return RecordStanding::kOlderIncarnation;
  if (record.start_time > newest.start_time)
    return RecordStanding::kCurrent;
  if (newest.leaving && !record.leaving)
    return RecordStanding::kBeforeLeaving;
  if (!record.heartbeat || !newest.heartbeat)
    return RecordStanding::kCurrent;
  const bool is_older = newest.removed ? *record.heartbeat <= *newest.heartbeat
                                       : *record.heartbeat < *newest.heartbeat;
  return is_older ? RecordStanding::kOlderHeartbeat : RecordStanding::kCurrent;
}

RecordStanding EndpointIncarnations::OnRecord(const EndpointRecord& record,
                                              MonotonicTime now) {
  const auto [found, is_new] = newest_.try_emplace(record.id);
  Incarnation& newest = found->second;
  if (!is_new) {
    const RecordStanding standing = StandingOf(record, newest);
    if (standing == RecordStanding::kBeforeLeaving)
      return standing;
    if (standing != RecordStanding::kCurrent &&
        ++newest.late_records <= kMaxLateRecords)
      return standing;
  }
  newest = {.start_time = record.start_time,
            .heartbeat = record.heartbeat,
            .leaving = record.leaving,
            .removed = false,
            .last_record = now,
            .late_records = 0};
  ForgetOld(now);
  return RecordStanding::kCurrent;
}

void EndpointIncarnations::OnRemoved(const EndpointId& id) {
  const auto found = newest_.find(id);
  if (found != newest_.end())
    found->second.removed = true;
}

std::optional<HeartbeatNumber> EndpointIncarnations::LastHeartbeat(
    const EndpointId& id) const {
  const auto found = newest_.find(id);
  return found == newest_.end() ? std::nullopt : found->second.heartbeat;
}

void EndpointIncarnations::ForgetOld(MonotonicTime now) {
  if (newest_.size() <= kMaxKnown)
    return;
  std::erase_if(newest_, [now](const auto& known) {
    return now - known.second.last_record >= kKeepTime;
  });
}

}  // namespace carobshift
