#include "carobshift/gateway/endpoints/endpoint_health.h"

#include <algorithm>

namespace carobshift {

void EndpointHealthTable::OnStart(const EndpointId& id) {
  ++entries_[id].in_flight;
}

void EndpointHealthTable::OnEnd(const EndpointId& id) {
  const auto found = entries_.find(id);
  if (found != entries_.end() && found->second.in_flight > 0)
    --found->second.in_flight;
}

void EndpointHealthTable::OnAnswer(const EndpointId& id) {
  const auto found = entries_.find(id);
  if (found == entries_.end())
    return;
  found->second.failures = 0;
  found->second.silent = false;
}

void EndpointHealthTable::OnSilent(const EndpointId& id) {
  entries_[id].silent = true;
}

void EndpointHealthTable::OnFailure(const EndpointId& id,
                                    EndpointFailure trouble,
                                    MonotonicTime now) {
  Entry& entry = entries_[id];
  if (trouble == EndpointFailure::kNoCapacity) {
    entry.avoid_until = std::max(entry.avoid_until, now + kNoCapacityPause);
    return;
  }
  if (trouble == EndpointFailure::kAddressReused) {
    ++entry.failures;
    entry.avoid_until = now + kMaxPause;
    entry.connection_failed_at.reset();
    return;
  }
  // Requests that were in progress at the same time fail together; they count
  // as one failure.
  if (entry.failures > 0 && now < entry.avoid_until)
    return;
  constexpr int kMaxDoublings = 8;
  const int doublings = std::min(entry.failures, kMaxDoublings);
  const Milliseconds pause =
      std::min(kMaxPause, kInitialPause * (1 << doublings));
  ++entry.failures;
  entry.avoid_until = now + pause;
  entry.connection_failed_at = now;
}

void EndpointHealthTable::ForgetConnectionFailures(const EndpointId& id,
                                                   MonotonicTime since) {
  const auto found = entries_.find(id);
  if (found == entries_.end())
    return;
  Entry& entry = found->second;
  entry.silent = false;
  if (!entry.connection_failed_at || *entry.connection_failed_at < since)
    return;
  entry.failures = 0;
  entry.avoid_until = {};
  entry.connection_failed_at.reset();
}

void EndpointHealthTable::Remove(const EndpointId& id) {
  entries_.erase(id);
}

int EndpointHealthTable::InFlight(const EndpointId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? 0 : found->second.in_flight;
}

bool EndpointHealthTable::IsAvoided(const EndpointId& id,
                                    MonotonicTime now) const {
  const auto found = entries_.find(id);
  if (found == entries_.end())
    return false;
  const Entry& entry = found->second;
  const bool doubtful = entry.failures > 0 || entry.silent;
  return now < entry.avoid_until || (doubtful && entry.in_flight > 0);
}

Milliseconds EndpointHealthTable::RemainingPause(const EndpointId& id,
                                                 MonotonicTime now) const {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.avoid_until <= now)
    return Milliseconds(0);
  return std::chrono::ceil<Milliseconds>(found->second.avoid_until - now);
}

}  // namespace carobshift
