#include "carobshift/gateway/cache/cache_relay.h"

#include <algorithm>
#include <utility>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

// Approximate encoded size of a HolderUpdate without its events.
constexpr std::size_t kHolderBytes = 70;

std::size_t BytesOf(const HolderUpdate& update) {
  return kHolderBytes + kCacheEventBytes * update.events.events.size();
}

bool Joins(const HolderUpdate& before, const HolderUpdate& after) {
  return before.events.epoch == after.events.epoch &&
         before.events.next == after.since && !after.events.gap;
}

// Merges two ranges if `after` continues `before`, otherwise returns `after`.
HolderUpdate Join(const HolderUpdate& before, const HolderUpdate& after) {
  if (!Joins(before, after))
    return after;
  HolderUpdate joined = before;
  joined.events.next = after.events.next;
  joined.events.events.insert(joined.events.events.end(),
                              after.events.events.begin(),
                              after.events.events.end());
  return joined;
}

// Splits the range into pieces of a size for one datagram. The holder's
// sequence numbers inside the range are not known, so each event counts as one.
// The assumed number therefore never exceeds the actual one.
void Split(const HolderUpdate& range, std::vector<HolderUpdate>& pieces) {
  constexpr std::size_t kMaxPieceEvents =
      (CacheRelay::kMaxMessageBytes - kHolderBytes) / kCacheEventBytes;
  const std::vector<StoreEvent>& events = range.events.events;
  std::size_t begin = 0;
  do {
    const std::size_t end = std::min(begin + kMaxPieceEvents, events.size());
    HolderUpdate piece{range.holder, range.since + begin, {}};
    piece.repeated = range.repeated;
    piece.more = end < events.size();
    piece.events.epoch = range.events.epoch;
    piece.events.gap = range.events.gap && begin == 0;
    piece.events.next = piece.more ? range.since + end : range.events.next;
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

CacheReaderRole CacheReaderRoles::RoleFor(const CacheHolder& holder,
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
    return CacheReaderRole::kForwarder;
  return before == 1 ? CacheReaderRole::kReader : CacheReaderRole::kReceiver;
}

Milliseconds CacheRelay::SendPeriod(std::size_t instances) {
  constexpr double kMillisecondsPerSecond = 1000;
  const Milliseconds fair(static_cast<std::int64_t>(
      static_cast<double>(instances) * kMillisecondsPerSecond /
      kMaxMessagesPerSecond));
  return std::max(kMinPeriod, fair);
}

void CacheRelay::OnRead(const CacheHolder& holder,
                        std::uint64_t since,
                        const StoreEvents& events,
                        bool send_long_ranges) {
  HolderUpdate read{holder, since, events};
  read.events.clock.reset();
  const auto [found, first] = ranges_.try_emplace(holder);
  HolderRanges& holder_ranges = found->second;
  holder_ranges.send_long_ranges = send_long_ranges;
  holder_ranges.lost.reset();
  // A restarted holder numbers its events from the start.
  if (!first && holder_ranges.latest.events.epoch != events.epoch)
    read.since = 0;
  holder_ranges.latest =
      first ? std::move(read) : Join(holder_ranges.latest, read);
}

bool CacheRelay::OnReaderLost(const CacheHolder& holder, MonotonicTime now) {
  const auto found = ranges_.find(holder);
  if (found == ranges_.end() || found->second.lost)
    return false;
  found->second.lost = now;
  return true;
}

std::optional<HolderUpdate> CacheRelay::MergedRange(
    const HolderRanges& holder_ranges) {
  const bool joins =
      holder_ranges.sent && Joins(*holder_ranges.sent, holder_ranges.latest);
  HolderUpdate joined = joins ? Join(*holder_ranges.sent, holder_ranges.latest)
                              : holder_ranges.latest;
  joined.repeated = joins;
  if (BytesOf(joined) <= kMaxMessageBytes)
    return joined;
  return std::nullopt;
}

std::vector<HolderUpdate> CacheRelay::Next(HolderRanges& holder_ranges) {
  constexpr std::size_t kMaxMergedEvents =
      (kMaxMessageBytes - kHolderBytes) / kCacheEventBytes;
  const std::size_t most =
      holder_ranges.send_long_ranges ? kMaxRangeEvents : kMaxMergedEvents;
  if (holder_ranges.latest.events.events.size() > most) {
    holder_ranges.latest.events.events.clear();
    holder_ranges.latest.events.gap = true;
  }
  std::vector<HolderUpdate> pieces;
  if (auto merged = MergedRange(holder_ranges)) {
    pieces.push_back(std::move(*merged));
  } else {
    if (holder_ranges.send_long_ranges && holder_ranges.sent &&
        Joins(*holder_ranges.sent, holder_ranges.latest)) {
      holder_ranges.sent->repeated = true;
      Split(*holder_ranges.sent, pieces);
      pieces.back().more = true;
    }
    Split(holder_ranges.latest, pieces);
  }
  HolderUpdate rest{
      holder_ranges.latest.holder, holder_ranges.latest.events.next, {}};
  rest.events.epoch = holder_ranges.latest.events.epoch;
  rest.events.next = holder_ranges.latest.events.next;
  holder_ranges.sent = std::exchange(holder_ranges.latest, std::move(rest));
  return pieces;
}

std::vector<HolderUpdate> CacheRelay::LossOf(const HolderRanges& holder_ranges,
                                             MonotonicTime now) {
  if (now - *holder_ranges.lost > CacheContents::kTrustTimeout)
    return {};
  const HolderUpdate& latest = holder_ranges.latest;
  HolderUpdate loss{latest.holder, latest.since, {}};
  loss.events.epoch = latest.events.epoch;
  loss.events.next = latest.since;
  loss.reader_lost = true;
  return {std::move(loss)};
}

std::vector<CacheUpdate> CacheRelay::TakeMessages(const CacheContents& contents,
                                                  MonotonicTime now) {
  std::vector<CacheUpdate> all;
  std::size_t bytes = 0;
  for (auto& [holder, holder_ranges] : ranges_) {
    std::vector<HolderUpdate> updates;
    if (holder_ranges.lost)
      updates = LossOf(holder_ranges, now);
    else if (contents.IsTrusted(holder, now))
      updates = Next(holder_ranges);
    const auto age = std::chrono::duration_cast<Milliseconds>(
        now - contents.LastHeard(holder));
    for (HolderUpdate& update : updates) {
      update.age = update.reader_lost ? Milliseconds(0) : age;
      update.answered = contents.LastAnswered(holder);
      if (all.empty() || bytes + BytesOf(update) > kMaxMessageBytes) {
        all.push_back({{}, contents.ClockAt(now)});
        bytes = 0;
      }
      bytes += BytesOf(update);
      all.back().holders.push_back(std::move(update));
    }
  }
  return all;
}

}  // namespace carobshift
