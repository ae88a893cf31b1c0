#include "carobshift/gateway/endpoints/endpoint_registry.h"

namespace carobshift {

bool EndpointRegistry::Put(const EndpointRecord& record, MonotonicTime now) {
  grace_ends_.erase(record.id);
  const auto [found, inserted] = records_.try_emplace(record.id, record);
  EndpointRecord& known = found->second;
  if (!inserted) {
    known.heartbeat = record.heartbeat;
    if (known == record)
      return false;
  }
  if (!inserted)
    software_history_.OnUnlisted(known, now);
  software_history_.OnListed(record, now);
  known = record;
  ++revision_;
  return true;
}

void EndpointRegistry::Erase(const EndpointId& id, MonotonicTime now) {
  const auto found = records_.find(id);
  if (found == records_.end())
    return;
  software_history_.OnUnlisted(found->second, now);
  records_.erase(found);
  ++revision_;
}

bool EndpointRegistry::Remove(const EndpointId& id,
                              RemovalCause cause,
                              MonotonicTime now) {
  if (!records_.contains(id))
    return false;
  if (cause == RemovalCause::kExpiredDuringOutage) {
    grace_ends_.emplace(id, now + kOutageGracePeriod);
    return false;
  }
  grace_ends_.erase(id);
  Erase(id, now);
  return true;
}

void EndpointRegistry::Replace(const std::vector<EndpointRecord>& records,
                               RemovalCause cause,
                               MonotonicTime now) {
  std::set<EndpointId> listed;
  for (const EndpointRecord& record : records) {
    listed.insert(record.id);
    Put(record, now);
  }
  std::vector<EndpointId> missing;
  for (const auto& [id, record] : records_) {
    if (!listed.contains(id))
      missing.push_back(id);
  }
  for (const EndpointId& id : missing)
    Remove(id, cause, now);
}

void EndpointRegistry::Expire(MonotonicTime now) {
  for (auto it = grace_ends_.begin(); it != grace_ends_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    Erase(it->first, now);
    it = grace_ends_.erase(it);
  }
}

const EndpointRecord* EndpointRegistry::Find(const EndpointId& id) const {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second;
}

}  // namespace carobshift
