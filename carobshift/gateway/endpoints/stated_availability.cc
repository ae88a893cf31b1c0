#include "carobshift/gateway/endpoints/stated_availability.h"

#include <algorithm>

#include "carobshift/base/digest.h"

namespace carobshift {

template <typename Entries>
auto StatedAvailability::FindIn(Entries& entries,
                                const EndpointIncarnation& endpoint)
    -> decltype(&entries.begin()->second) {
  const auto found = entries.find(endpoint.id);
  if (found == entries.end() || found->second.start_time != endpoint.start_time)
    return nullptr;
  return &found->second;
}

StatedAvailability::Entry* StatedAvailability::FindOrCreate(
    const EndpointIncarnation& endpoint,
    MonotonicTime now) {
  const auto [found, is_new] = entries_.try_emplace(endpoint.id);
  Entry& entry = found->second;
  if (!is_new && entry.start_time > endpoint.start_time)
    return nullptr;
  if (entry.start_time != endpoint.start_time)
    entry = Entry{endpoint.start_time};
  entry.last_known = now;
  return &entry;
}

bool StatedAvailability::OnLeaving(const EndpointIncarnation& endpoint,
                                   MonotonicTime now) {
  Entry* const entry = FindOrCreate(endpoint, now);
  if (entry == nullptr || entry->leaving)
    return false;
  entry->leaving = true;
  return true;
}

bool StatedAvailability::OnPause(const EndpointIncarnation& endpoint,
                                 Milliseconds pause,
                                 MonotonicTime now) {
  const Milliseconds bounded = std::min(pause, kMaxPause);
  if (bounded <= Milliseconds(0))
    return false;
  Entry* const entry = FindOrCreate(endpoint, now);
  if (entry == nullptr)
    return false;
  const MonotonicTime end = now + bounded + SpreadOf(endpoint.id, bounded);
  if (entry->pause_end && *entry->pause_end >= end)
    return false;
  entry->pause_end = end;
  entry->next_send = end;
  return true;
}

void StatedAvailability::OnSend(const EndpointIncarnation& endpoint,
                                MonotonicTime now) {
  Entry* const entry = FindIn(entries_, endpoint);
  if (entry != nullptr && entry->pause_end && now >= entry->next_send)
    entry->next_send = now + kTrialInterval;
}

void StatedAvailability::OnRun(const EndpointIncarnation& endpoint,
                               MonotonicTime sent) {
  Entry* const entry = FindIn(entries_, endpoint);
  // A run of a request that was sent before the pause doesn't end it.
  if (entry != nullptr && entry->pause_end && sent >= *entry->pause_end)
    entry->pause_end.reset();
}

void StatedAvailability::Expire(
    const std::map<EndpointId, EndpointRecord>& known,
    MonotonicTime now) {
  for (auto& [id, entry] : entries_) {
    if (known.contains(id))
      entry.last_known = now;
  }
  std::erase_if(entries_, [now](const auto& item) {
    return now - item.second.last_known >= kRetention;
  });
}

bool StatedAvailability::IsLeaving(const EndpointIncarnation& endpoint) const {
  const Entry* const entry = FindIn(entries_, endpoint);
  return entry != nullptr && entry->leaving;
}

Milliseconds StatedAvailability::PauseLeft(const EndpointIncarnation& endpoint,
                                           MonotonicTime now) const {
  const Entry* const entry = FindIn(entries_, endpoint);
  if (entry == nullptr || !entry->pause_end || now >= *entry->pause_end)
    return Milliseconds(0);
  return std::chrono::ceil<Milliseconds>(*entry->pause_end - now);
}

bool StatedAvailability::MaySend(const EndpointIncarnation& endpoint,
                                 MonotonicTime now) const {
  return WaitFor(endpoint, now) == Milliseconds(0);
}

Milliseconds StatedAvailability::WaitFor(const EndpointIncarnation& endpoint,
                                         MonotonicTime now) const {
  const Entry* const entry = FindIn(entries_, endpoint);
  if (entry == nullptr || !entry->pause_end || now >= entry->next_send)
    return Milliseconds(0);
  return std::chrono::ceil<Milliseconds>(entry->next_send - now);
}

Milliseconds StatedAvailability::SpreadOf(const EndpointId& endpoint,
                                          Milliseconds pause) const {
  const Milliseconds most = std::min(kMaxSpread, pause / 4);
  constexpr std::uint64_t kSteps = 1024;
  const auto step = static_cast<std::int64_t>(
      CombineHashes(FastHash(endpoint.value()), instance_) % kSteps);
  return most * step / static_cast<std::int64_t>(kSteps);
}

}  // namespace carobshift
