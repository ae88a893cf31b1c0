#include "carobshift/gateway/endpoints/endpoint_registry.h"

namespace carobshift {

bool EndpointRegistry::Put(const EndpointRecord& record, MonotonicTime) {
  grace_ends_.erase(record.id);
  EndpointRecord& known = records_[record.id];
  if (known == record)
    return false;
  known = record;
  ++revision_;
  return true;
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
  records_.erase(id);
  ++revision_;
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
    records_.erase(it->first);
    ++revision_;
    it = grace_ends_.erase(it);
  }
}

const EndpointRecord* EndpointRegistry::Find(const EndpointId& id) const {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second;
}

}  // namespace carobshift
