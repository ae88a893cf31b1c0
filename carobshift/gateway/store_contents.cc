#include "carobshift/gateway/store_contents.h"

#include <xxhash.h>

#include <array>
#include <cmath>
#include <limits>

namespace carobshift {

std::string StoreContents::Key(std::string_view scope, std::string_view part) {
  std::string key;
  key.reserve(scope.size() + part.size() + 1);
  key.append(scope);
  key.push_back('\n');
  key.append(part);
  return key;
}

std::uint64_t StoreContents::next(const ServiceName& store) const {
  const auto found = stores_.find(store);
  return found == stores_.end() ? 0 : found->second.next;
}

void StoreContents::Apply(Store& store, const StoreEvent& event) {
  std::string key = Key(event.scope, event.part);
  if (!event.stored || event.tokens <= 0) {
    store.whole.erase(key);
  } else if (store.whole.size() < kMaxParts) {
    store.whole.insert(std::move(key));
  }
}

void StoreContents::OnEvents(const ServiceName& name,
                             const StoreEvents& events,
                             MonotonicTime now) {
  Store& store = stores_[name];
  if (store.known && store.epoch != events.epoch)
    store.whole.clear();
  // What lies in a gap may have been a removal; listing again sets it right.
  if (events.gap) {
    store.whole.clear();
    store.listed = false;
  }
  store.known = true;
  store.epoch = events.epoch;
  store.next = events.next;
  store.heard = now;
  for (const StoreEvent& event : events.events)
    Apply(store, event);
  if (events.clock) {
    clock_offset_ = std::chrono::duration_cast<Microseconds>(
                        events.clock->time_since_epoch()) -
                    now.time_since_epoch();
  }
}

void StoreContents::OnListing(const ServiceName& name,
                              const StoreListing& listing,
                              MonotonicTime now) {
  Store& store = stores_[name];
  store.whole.clear();
  store.known = true;
  store.listed = true;
  store.epoch = listing.epoch;
  store.next = listing.next;
  store.heard = now;
  for (const StoreEvent& part : listing.whole)
    Apply(store, part);
}

void StoreContents::OnReaderLost(const ServiceName& name) {
  Store& store = stores_[name];
  store.heard = MonotonicTime{};
}

bool StoreContents::NeedsListing(const ServiceName& name) const {
  const auto found = stores_.find(name);
  return found != stores_.end() && !found->second.listed;
}

bool StoreContents::Trusted(const ServiceName& name, MonotonicTime now) const {
  const auto found = stores_.find(name);
  return found != stores_.end() && found->second.heard != MonotonicTime{} &&
         now - found->second.heard <= kTrust;
}

bool StoreContents::HoldsWhole(const ServiceName& name,
                               std::string_view scope,
                               std::string_view part,
                               MonotonicTime now) const {
  if (!Trusted(name, now))
    return false;
  return stores_.find(name)->second.whole.contains(Key(scope, part));
}

std::optional<WallTime> StoreContents::ClockAt(MonotonicTime now) const {
  if (!clock_offset_)
    return std::nullopt;
  return WallTime(std::chrono::duration_cast<Milliseconds>(
      now.time_since_epoch() + *clock_offset_));
}

std::size_t StoreContents::size(const ServiceName& name) const {
  const auto found = stores_.find(name);
  return found == stores_.end() ? 0 : found->second.whole.size();
}

const StoreChoice* ChooseStore(const std::vector<StoreChoice>& stores,
                               std::string_view part) {
  const std::uint64_t part_hash = XXH3_64bits(part.data(), part.size());
  const StoreChoice* best = nullptr;
  double best_score = -1;
  for (const StoreChoice& store : stores) {
    const std::array<std::uint64_t, 2> both = {store.hash, part_hash};
    const double uniform =
        (static_cast<double>(XXH3_64bits(both.data(), sizeof both)) + 1) /
        (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
    const double score = -store.capacity / std::log(uniform);
    if (score > best_score) {
      best = &store;
      best_score = score;
    }
  }
  return best;
}

}  // namespace carobshift
