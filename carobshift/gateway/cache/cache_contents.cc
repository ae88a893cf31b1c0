#include "carobshift/gateway/cache/cache_contents.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "carobshift/base/digest.h"

namespace carobshift {

std::string CacheContents::Key(std::string_view scope, std::string_view part) {
  std::string key;
  key.reserve(scope.size() + part.size() + 1);
  key.append(scope);
  key.push_back('\n');
  key.append(part);
  return key;
}

std::uint64_t CacheContents::next(const CacheHolder& holder) const {
  const auto found = holders_.find(holder);
  return found == holders_.end() ? 0 : found->second.next;
}

void CacheContents::Apply(Holder& holder, const StoreEvent& event) {
  std::string key = Key(event.scope, event.part);
  if (event.tokens <= 0) {
    holder.parts.erase(key);
  } else if (holder.parts.size() < kMaxParts) {
    holder.parts[std::move(key)] = event.tokens;
  }
}

void CacheContents::SetEpoch(Holder& holder,
                             std::uint64_t epoch,
                             MonotonicTime now) {
  if (holder.known && holder.epoch == epoch)
    return;
  holder.parts.clear();
  holder.known = true;
  holder.epoch = epoch;
  holder.epoch_heard = now;
}

void CacheContents::SetAnswered(Holder& holder,
                                std::optional<WallTime> answered,
                                MonotonicTime now) {
  holder.answered = answered;
  holder.answer_known = now;
}

void CacheContents::ApplyEvents(Holder& holder,
                                const StoreEvents& events,
                                MonotonicTime now) {
  SetEpoch(holder, events.epoch, now);
  // The gap may have contained removals. The next listing restores the state.
  if (events.gap) {
    if (!holder.managed)
      holder.parts.clear();
    holder.listed = false;
  }
  holder.next = events.next;
  for (const StoreEvent& event : events.events)
    Apply(holder, event);
}

void CacheContents::OnEvents(const CacheHolder& name,
                             const StoreEvents& events,
                             MonotonicTime now) {
  Holder& holder = holders_[name];
  ApplyEvents(holder, events, now);
  holder.from_peer = false;
  holder.heard = now;
  SetAnswered(holder, events.clock, now);
  if (events.clock)
    OnClock(*events.clock, now);
}

void CacheContents::OnClock(WallTime clock, MonotonicTime now) {
  clock_offset_ =
      std::chrono::duration_cast<Microseconds>(clock.time_since_epoch()) -
      now.time_since_epoch();
}

void CacheContents::OnPeerUpdate(const HolderUpdate& update,
                                 MonotonicTime now) {
  Holder& holder = holders_[update.holder];
  if (IsOutdated(holder, update, now))
    return;
  if (update.reader_lost) {
    holder.heard = MonotonicTime{};
    SetAnswered(holder, update.answered, now);
    return;
  }
  const bool same = holder.known && holder.epoch == update.events.epoch;
  // While further messages follow, the known state is older than the reader's.
  const MonotonicTime heard = update.more ? holder.heard : now - update.age;
  if (same && holder.next >= update.events.next) {
    // The events are known already, but the message shows that the holder still
    // answers its reader.
    if (heard > holder.heard) {
      holder.heard = heard;
      SetAnswered(holder, update.answered, now);
    }
    return;
  }
  const bool joins = same && holder.next >= update.since && !update.events.gap;
  if (same && !joins && !update.events.gap && !update.repeated)
    return;
  const bool from_start = update.since == 0 && !update.events.gap;
  StoreEvents events = update.events;
  events.gap = !joins && !from_start;
  ApplyEvents(holder, events, now);
  holder.from_peer = true;
  holder.heard = heard;
  if (!update.more)
    SetAnswered(holder, update.answered, now);
}

bool CacheContents::IsOutdated(const Holder& holder,
                               const HolderUpdate& update,
                               MonotonicTime now) {
  if (!holder.answered || !update.answered ||
      now - holder.answer_known > kMaxUpdateDelay)
    return false;
  const bool lost = holder.heard == MonotonicTime{};
  if (lost && !update.reader_lost)
    return *update.answered <= *holder.answered;
  const bool other_epoch = holder.known && holder.epoch != update.events.epoch;
  return (other_epoch || update.reader_lost) &&
         *update.answered < *holder.answered;
}

void CacheContents::OnListing(const CacheHolder& name,
                              const StoreListing& listing,
                              MonotonicTime asked,
                              MonotonicTime now) {
  Holder& holder = holders_[name];
  const std::optional<WallTime> clock = ClockAt(asked);
  SetEpoch(holder, listing.epoch, now);
  holder.parts.clear();
  holder.listed = true;
  holder.next = listing.next;
  holder.heard = asked;
  SetAnswered(holder, clock, now);
  for (const StoreEvent& part : listing.parts)
    Apply(holder, part);
}

void CacheContents::OnReaderLost(const CacheHolder& name) {
  Holder& holder = holders_[name];
  holder.heard = MonotonicTime{};
}

bool CacheContents::NeedsListing(const CacheHolder& name) const {
  const auto found = holders_.find(name);
  return found != holders_.end() && !found->second.listed;
}

MonotonicTime CacheContents::LastHeard(const CacheHolder& name) const {
  const auto found = holders_.find(name);
  return found == holders_.end() ? MonotonicTime{} : found->second.heard;
}

bool CacheContents::IsTrusted(const CacheHolder& name,
                              MonotonicTime now) const {
  const auto found = holders_.find(name);
  return found != holders_.end() && found->second.heard != MonotonicTime{} &&
         now - found->second.heard <= kTrustTimeout;
}

bool CacheContents::MaySave(const CacheHolder& name, MonotonicTime now) const {
  if (!IsTrusted(name, now))
    return false;
  return now - holders_.find(name)->second.epoch_heard >= kFetchLease;
}

std::optional<WallTime> CacheContents::FetchDeadline(
    const CacheHolder& name) const {
  std::optional<WallTime> answered = LastAnswered(name);
  if (!answered)
    answered = ClockAt(LastHeard(name));
  if (!answered)
    return std::nullopt;
  return *answered + kFetchLease;
}

std::optional<WallTime> CacheContents::LastAnswered(
    const CacheHolder& name) const {
  const auto found = holders_.find(name);
  return found == holders_.end() ? std::nullopt : found->second.answered;
}

bool CacheContents::HoldsComplete(const CacheHolder& name,
                                  std::string_view scope,
                                  const PromptPart& part,
                                  MonotonicTime now) const {
  if (!IsTrusted(name, now))
    return false;
  const Holder& holder = holders_.find(name)->second;
  const auto found = holder.parts.find(Key(scope, part.id));
  return found != holder.parts.end() &&
         static_cast<double>(found->second) >=
             kMinWholeFraction * static_cast<double>(part.tokens);
}

std::optional<WallTime> CacheContents::ClockAt(MonotonicTime now) const {
  if (!clock_offset_)
    return std::nullopt;
  return WallTime(std::chrono::duration_cast<Milliseconds>(
      now.time_since_epoch() + *clock_offset_));
}

bool CacheContents::IsFromPeer(const CacheHolder& name) const {
  const auto found = holders_.find(name);
  return found != holders_.end() && found->second.from_peer;
}

std::size_t CacheContents::size(const CacheHolder& name) const {
  const auto found = holders_.find(name);
  return found == holders_.end() ? 0 : found->second.parts.size();
}

void CacheContents::OnFreed(const CacheHolder& name,
                            const std::vector<StoreEvent>& parts) {
  const auto found = holders_.find(name);
  if (found == holders_.end())
    return;
  for (const StoreEvent& part : parts)
    found->second.parts.erase(Key(part.scope, part.part));
}

std::optional<std::uint64_t> CacheContents::Epoch(
    const CacheHolder& name) const {
  const auto found = holders_.find(name);
  if (found == holders_.end() || !found->second.known)
    return std::nullopt;
  return found->second.epoch;
}

std::vector<StoreEvent> CacheContents::Parts(const CacheHolder& name) const {
  std::vector<StoreEvent> parts;
  const auto found = holders_.find(name);
  if (found == holders_.end())
    return parts;
  for (const auto& [key, tokens] : found->second.parts) {
    const std::size_t middle = key.find('\n');
    parts.push_back(
        {true, key.substr(0, middle), key.substr(middle + 1), tokens});
  }
  return parts;
}

const StoreChoice* ChooseStore(const std::vector<StoreChoice>& stores,
                               std::string_view part) {
  const std::uint64_t part_hash = FastHash(part);
  const StoreChoice* best = nullptr;
  double best_score = -1;
  for (const StoreChoice& store : stores) {
    const double uniform =
        (static_cast<double>(CombineHashes(store.hash, part_hash)) + 1) /
        (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
    const double score = -store.weight / std::log(uniform);
    if (score > best_score) {
      best = &store;
      best_score = score;
    }
  }
  return best;
}

}  // namespace carobshift
