#include "carobshift/gateway/cache_relay.h"

#include <algorithm>
#include <utility>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

// Of one holder's news besides its events.
constexpr std::size_t kHolderBytes = 60;

std::size_t BytesOf(const HolderNews& news) {
  return kHolderBytes + kCacheEventBytes * news.events.events.size();
}

// Both runs as one, if the later one goes on where the earlier one ended.
HolderNews Join(const HolderNews& before, const HolderNews& after) {
  const bool joins = before.events.epoch == after.events.epoch &&
                     before.events.next == after.since && !after.events.gap;
  if (!joins)
    return after;
  HolderNews joined = before;
  joined.events.next = after.events.next;
  joined.events.events.insert(joined.events.events.end(),
                              after.events.events.begin(),
                              after.events.events.end());
  return joined;
}

}  // namespace

CacheReaderRoles::CacheReaderRoles(const std::vector<EntryId>& live,
                                   const EntryId& self)
    : self_(FastHash(self.value())) {
  others_.reserve(live.size());
  for (const EntryId& entry : live) {
    if (entry != self)
      others_.push_back(FastHash(entry.value()));
  }
}

CacheReaderRole CacheReaderRoles::Of(const CacheHolder& holder,
                                     int limit) const {
  if (limit <= 0 || others_.size() < static_cast<std::size_t>(limit))
    return CacheReaderRole::kReader;
  const std::uint64_t hash = FastHash(holder.value());
  const std::uint64_t own = CombineHashes(hash, self_);
  const auto before = std::count_if(others_.begin(), others_.end(),
                                    [hash, own](std::uint64_t other) {
                                      return CombineHashes(hash, other) > own;
                                    });
  if (before == 0)
    return CacheReaderRole::kTeller;
  return before == 1 ? CacheReaderRole::kReader : CacheReaderRole::kListener;
}

Milliseconds CacheRelay::PeriodFor(std::size_t instances) {
  constexpr double kMillisecondsPerSecond = 1000;
  const Milliseconds fair(
      static_cast<std::int64_t>(static_cast<double>(instances) *
                                kMillisecondsPerSecond / kNewsPerSecond));
  return std::max(kShortestPeriod, fair);
}

void CacheRelay::OnRead(const CacheHolder& holder,
                        std::uint64_t since,
                        const StoreEvents& events) {
  HolderNews read{holder, since, events};
  read.events.clock.reset();
  const auto [found, first] = runs_.try_emplace(holder);
  Runs& runs = found->second;
  // A holder that has restarted counts its events from the start.
  if (!first && runs.fresh.events.epoch != events.epoch)
    read.since = 0;
  runs.fresh = first ? std::move(read) : Join(runs.fresh, read);
}

HolderNews CacheRelay::Next(Runs& runs) {
  HolderNews news = runs.told ? Join(*runs.told, runs.fresh) : runs.fresh;
  if (BytesOf(news) > kMaxNewsBytes)
    news = runs.fresh;
  if (BytesOf(news) > kMaxNewsBytes) {
    news.events.events.clear();
    news.events.gap = true;
  }
  HolderNews rest{news.holder, news.events.next, {}};
  rest.events.epoch = news.events.epoch;
  rest.events.next = news.events.next;
  runs.told = std::exchange(runs.fresh, std::move(rest));
  return news;
}

std::vector<CacheNews> CacheRelay::Take(const CacheContents& contents,
                                        MonotonicTime now) {
  std::vector<CacheNews> all;
  std::size_t bytes = 0;
  for (auto& [holder, runs] : runs_) {
    if (!contents.Trusted(holder, now))
      continue;
    HolderNews news = Next(runs);
    news.age = std::chrono::duration_cast<Milliseconds>(
        now - contents.LastHeard(holder));
    if (all.empty() || bytes + BytesOf(news) > kMaxNewsBytes) {
      all.push_back({{}, contents.ClockAt(now)});
      bytes = 0;
    }
    bytes += BytesOf(news);
    all.back().holders.push_back(std::move(news));
  }
  return all;
}

}  // namespace carobshift
