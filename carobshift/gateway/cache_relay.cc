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

bool Joins(const HolderNews& before, const HolderNews& after) {
  return before.events.epoch == after.events.epoch &&
         before.events.next == after.since && !after.events.gap;
}

// Both runs as one, if the later one goes on where the earlier one ended.
HolderNews Join(const HolderNews& before, const HolderNews& after) {
  if (!Joins(before, after))
    return after;
  HolderNews joined = before;
  joined.events.next = after.events.next;
  joined.events.events.insert(joined.events.events.end(),
                              after.events.events.begin(),
                              after.events.events.end());
  return joined;
}

// Appends the run in pieces for one datagram each. Between them the holder's
// numbers aren't known, so each event counts for one; that is never beyond the
// true number.
void Cut(const HolderNews& run, std::vector<HolderNews>& pieces) {
  constexpr std::size_t kMostEvents =
      (CacheRelay::kMaxNewsBytes - kHolderBytes) / kCacheEventBytes;
  const std::vector<StoreEvent>& events = run.events.events;
  std::size_t begin = 0;
  do {
    const std::size_t end = std::min(begin + kMostEvents, events.size());
    HolderNews piece{run.holder, run.since + begin, {}};
    piece.repeated = run.repeated;
    piece.more = end < events.size();
    piece.events.epoch = run.events.epoch;
    piece.events.gap = run.events.gap && begin == 0;
    piece.events.next = piece.more ? run.since + end : run.events.next;
    piece.events.events.assign(
        events.begin() + static_cast<std::ptrdiff_t>(begin),
        events.begin() + static_cast<std::ptrdiff_t>(end));
    pieces.push_back(std::move(piece));
    begin = end;
  } while (begin < events.size());
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
                        const StoreEvents& events,
                        bool whole) {
  HolderNews read{holder, since, events};
  read.events.clock.reset();
  const auto [found, first] = runs_.try_emplace(holder);
  Runs& runs = found->second;
  runs.whole = whole;
  // A holder that has restarted counts its events from the start.
  if (!first && runs.fresh.events.epoch != events.epoch)
    read.since = 0;
  runs.fresh = first ? std::move(read) : Join(runs.fresh, read);
}

std::optional<HolderNews> CacheRelay::NextInOne(const Runs& runs) {
  const bool joins = runs.told && Joins(*runs.told, runs.fresh);
  HolderNews joined = joins ? Join(*runs.told, runs.fresh) : runs.fresh;
  joined.repeated = joins;
  if (BytesOf(joined) <= kMaxNewsBytes)
    return joined;
  return std::nullopt;
}

std::vector<HolderNews> CacheRelay::Next(Runs& runs) {
  constexpr std::size_t kMostInOne =
      (kMaxNewsBytes - kHolderBytes) / kCacheEventBytes;
  const std::size_t most = runs.whole ? kMostRunEvents : kMostInOne;
  if (runs.fresh.events.events.size() > most) {
    runs.fresh.events.events.clear();
    runs.fresh.events.gap = true;
  }
  std::vector<HolderNews> pieces;
  if (auto in_one = NextInOne(runs)) {
    pieces.push_back(std::move(*in_one));
  } else {
    if (runs.whole && runs.told && Joins(*runs.told, runs.fresh)) {
      runs.told->repeated = true;
      Cut(*runs.told, pieces);
      pieces.back().more = true;
    }
    Cut(runs.fresh, pieces);
  }
  HolderNews rest{runs.fresh.holder, runs.fresh.events.next, {}};
  rest.events.epoch = runs.fresh.events.epoch;
  rest.events.next = runs.fresh.events.next;
  runs.told = std::exchange(runs.fresh, std::move(rest));
  return pieces;
}

std::vector<CacheNews> CacheRelay::Take(const CacheContents& contents,
                                        MonotonicTime now) {
  std::vector<CacheNews> all;
  std::size_t bytes = 0;
  for (auto& [holder, runs] : runs_) {
    if (!contents.Trusted(holder, now))
      continue;
    const auto age = std::chrono::duration_cast<Milliseconds>(
        now - contents.LastHeard(holder));
    for (HolderNews& news : Next(runs)) {
      news.age = age;
      if (all.empty() || bytes + BytesOf(news) > kMaxNewsBytes) {
        all.push_back({{}, contents.ClockAt(now)});
        bytes = 0;
      }
      bytes += BytesOf(news);
      all.back().holders.push_back(std::move(news));
    }
  }
  return all;
}

}  // namespace carobshift
