#include "carobshift/gateway/gateway_state.h"

#include <algorithm>
#include <utility>

#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

// Returns -1 for a record that states no number.
std::int64_t HeartbeatForLog(const std::optional<HeartbeatNumber>& heartbeat) {
  return heartbeat ? static_cast<std::int64_t>(heartbeat->value()) : -1;
}

}  // namespace

RecordEffect OperatorRecords::OnRecord(const KeyedRecord& record,
                                       MonotonicTime now) {
  if (const auto zone = dialect_.EvacuatedZone(record.key)) {
    SetEvacuated(*zone, record.value.has_value(), now);
    return RecordEffect::kChanged;
  }
  if (!record.value)
    return RecordEffect::kChanged;
  Result<OperatorRecord> decoded =
      dialect_.DecodeOperatorRecord(record.key, *record.value);
  if (!decoded.ok()) {
    LogEvent(LogLevel::kWarning, "operator_record_unreadable",
             {{"key", record.key},
              {"offset", record.offset.value()},
              {"reason", decoded.error().message}});
    return RecordEffect::kChanged;
  }
  if (auto* config = std::get_if<ServingConfig>(&decoded.value()))
    Apply(std::move(*config), record.offset);
  else
    listener_.on_weights(
        std::get<NamedWeights>(decoded.value()),
        IsFollowing(now) ? NamingAge::kJustNow : NamingAge::kUnknown);
  return RecordEffect::kChanged;
}

void OperatorRecords::OnSnapshot(const std::vector<std::string>& present,
                                 MonotonicTime now) {
  snapshot_read_ = true;
  std::set<ZoneName> evacuated;
  for (const std::string& key : present) {
    if (auto zone = dialect_.EvacuatedZone(key))
      evacuated.insert(std::move(*zone));
  }
  for (const ZoneName& zone : evacuations_.Missing(evacuated))
    SetEvacuated(zone, false, now);
}

void OperatorRecords::SetEvacuated(const ZoneName& zone,
                                   bool evacuated,
                                   MonotonicTime now) {
  if (!evacuations_.Set(zone, evacuated, now))
    return;
  LogEvent(LogLevel::kWarning, "zone_evacuation",
           {{"availability_zone", zone.value()},
            {"evacuated", evacuated},
            {"zones_evacuated", evacuations_.all().size()}});
  listener_.on_evacuation(zone, evacuated);
}

void OperatorRecords::Apply(ServingConfig config, LogOffset offset) {
  if (config_ != nullptr && config.number <= config_->config().number)
    return;
  LogEvent(LogLevel::kInfo, "config_in_force",
           {{"config", config.number.value()},
            {"offset", offset.value()},
            {"routes", config.routes.size()},
            {"accounts", config.accounts.size()},
            {"requires_account", config.requires_account}});
  config_ = std::make_shared<const ServingConfigSnapshot>(std::move(config));
  listener_.on_config(config_);
}

void OperatorRecords::OnLogLost(std::string_view reason) {
  log_lost_ = true;
  LogEvent(LogLevel::kWarning, "log_lost",
           {{"stream", "operator"}, {"reason", reason}});
}

void OperatorRecords::OnLogRecovered(Milliseconds away, MonotonicTime now) {
  log_lost_ = false;
  OnProcessPause(now);
  LogEvent(LogLevel::kInfo, "log_back",
           {{"stream", "operator"}, {"away_ms", away.count()}});
}

RecordEffect EndpointRecords::OnRecord(const KeyedRecord& record,
                                       MonotonicTime now) {
  const EndpointId id(record.key);
  const std::uint64_t before = registry_.revision();
  if (!record.value) {
    unreadable_.erase(id);
    NoteRemoval(id, now);
    Remove(id, now);
  } else {
    const Result<EndpointRecord> decoded =
        dialect_.DecodeEndpointRecord(record.key, *record.value);
    if (decoded.ok()) {
      unreadable_.erase(id);
      if (!Put(decoded.value(), record.offset, now))
        return RecordEffect::kOutOfDate;
    } else {
      LogUnreadable(id, decoded.error().message);
      registry_.Remove(id, RemovalCause::kAnnounced, now);
    }
  }
  // A removal also counts during the entry's grace period, because instances
  // that receive the record from this one apply their own grace period.
  if (registry_.revision() == before)
    return record.value ? RecordEffect::kUnchanged : RecordEffect::kChanged;
  const EndpointRecord* const known = registry_.Find(id);
  LogEvent(
      LogLevel::kInfo, "endpoint_changed",
      {{"endpoint", record.key},
       {"state", known == nullptr ? "gone"
                 : known->leaving ? "leaving"
                                  : "ready"},
       {"software", known == nullptr ? std::string() : known->software.value()},
       {"born", known == nullptr ? 0 : known->start_time.value()},
       {"heartbeat", HeartbeatForLog(incarnations_.LastHeartbeat(id))},
       {"offset", record.offset.value()},
       {"registry", registry_.revision()}});
  listener_.on_endpoints();
  return RecordEffect::kChanged;
}

void EndpointRecords::LogUnreadable(const EndpointId& id,
                                    const std::string& reason) {
  if (std::exchange(unreadable_[id], reason) == reason)
    return;
  LogEvent(LogLevel::kWarning, "endpoint_record_unreadable",
           {{"endpoint", id.value()}, {"reason", reason}});
}

bool EndpointRecords::Put(const EndpointRecord& endpoint,
                          LogOffset offset,
                          MonotonicTime now) {
  const RecordStanding standing = incarnations_.OnRecord(endpoint, now);
  if (standing != RecordStanding::kCurrent) {
    ++out_of_date_records_;
    LogEvent(LogLevel::kWarning, "endpoint_record_out_of_date",
             {{"endpoint", endpoint.id.value()},
              {"reason", RecordStandingName(standing)},
              {"born", endpoint.start_time.value()},
              {"heartbeat", HeartbeatForLog(endpoint.heartbeat)},
              {"last_heartbeat",
               HeartbeatForLog(incarnations_.LastHeartbeat(endpoint.id))},
              {"offset", offset.value()}});
    return false;
  }
  registry_.Put(endpoint, now);
  if (endpoint.bad_cold_time) {
    LogEvent(LogLevel::kWarning, "endpoint_cold_time_unreadable",
             {{"endpoint", endpoint.id.value()}});
  }
  // Also for a record that changes nothing else: its time counts from now.
  if (endpoint.cold_remaining > Milliseconds(0))
    listener_.on_cold_endpoint(endpoint);
  return true;
}

void EndpointRecords::OnSnapshot(const std::vector<std::string>& present,
                                 MonotonicTime now) {
  const std::set<std::string> listed(present.begin(), present.end());
  std::vector<EndpointId> missing;
  for (const auto& [id, record] : registry_.all()) {
    if (!listed.contains(id.value()))
      missing.push_back(id);
  }
  bool changed = false;
  for (const EndpointId& id : missing)
    changed = Remove(id, now) || changed;
  std::erase_if(unreadable_, [&listed](const auto& entry) {
    return !listed.contains(entry.first.value());
  });
  NoteSnapshot(now);
  if (changed)
    listener_.on_endpoints();
}

void EndpointRecords::NoteRemoval(const EndpointId& id, MonotonicTime now) {
  if (const EndpointRecord* const last = incarnations_.LastRecord(id)) {
    if (registry_.Find(id) != nullptr)
      return;
    // It was gone, so that it came back and went unseen: its version counts
    // until now.
    registry_.OnUnseenListing(*last, now);
    return;
  }
  // The endpoint came and went unseen.
  registry_.OnRecordsFollowedSince(now);
  LogEvent(LogLevel::kInfo, "endpoint_records_missed",
           {{"endpoint", id.value()}});
}

void EndpointRecords::NoteSnapshot(MonotonicTime now) {
  if (!std::exchange(snapshot_read_, true)) {
    const bool shows_all = now <= shows_all_until_;
    registry_.OnRecordsFollowedSince(shows_all ? MonotonicTime{} : now);
    return;
  }
  // The log had dropped the records that came next.
  registry_.OnRecordsFollowedSince(now);
  LogEvent(LogLevel::kInfo, "endpoint_records_missed", {{"endpoint", ""}});
}

bool EndpointRecords::Remove(const EndpointId& id, MonotonicTime now) {
  incarnations_.OnRemoved(id);
  if (log_recovered_ &&
      now < *log_recovered_ + EndpointRegistry::kOutageGracePeriod) {
    const auto held = std::chrono::ceil<Milliseconds>(
        *log_recovered_ + EndpointRegistry::kOutageGracePeriod - now);
    LogEvent(LogLevel::kInfo, "endpoint_removal_held_back",
             {{"endpoint", id.value()}, {"held_ms", held.count()}});
    return registry_.Remove(id, RemovalCause::kExpiredDuringOutage,
                            *log_recovered_);
  }
  return registry_.Remove(id, RemovalCause::kAnnounced, now);
}

void EndpointRecords::OnLogLost(std::string_view reason) {
  LogEvent(LogLevel::kWarning, "log_lost",
           {{"stream", "endpoints"}, {"reason", reason}});
}

void EndpointRecords::OnLogRecovered(Milliseconds away, MonotonicTime now) {
  LogEvent(LogLevel::kInfo, "log_back",
           {{"stream", "endpoints"}, {"away_ms", away.count()}});
  if (away >= kEntryExpiryOutage)
    log_recovered_ = now;
}

void EndpointRecords::Expire(MonotonicTime now) {
  const std::uint64_t before = registry_.revision();
  registry_.Expire(now);
  if (registry_.revision() != before)
    listener_.on_endpoints();
}

}  // namespace carobshift
