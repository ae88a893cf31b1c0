// Who reads a holder's cache events where not every instance may, and what the
// reader tells the others.
//
//   const CacheReaderRoles roles(live, self);
//   if (roles.Of(holder, limit) != CacheReaderRole::kListener) ...
//   CacheRelay relay;
//   relay.OnRead(holder, since, events);
//   for (const CacheNews& news : relay.Take()) Send(EncodeCacheNews(news));
//
// Load pattern: an engine serves a dozen event readers, and each read costs
// both sides a call. With twenty instances the later ones would know nothing of
// what engines hold and let each returning session be read again; with eighty,
// all together would spend more on reading events than on requests.
//
// How: up to a holder's limit every instance reads its events. Beyond it the
// first two by rendezvous hashing of holder and instance do, and the first of
// them tells the others, so the readers of different holders are different
// instances. The second one is there at once when the first one dies.
//
// A listener trusts a holder as long as its reader does: news say how long ago
// the holder answered.
//
// Datagrams get lost. Each piece of news therefore repeats the one before it;
// whoever misses two in a row sees that the runs don't join and takes it for a
// gap. A run of a store that one datagram doesn't hold is cut into several. Of
// an engine only the newest is told then, or a gap: engines are many and change
// often, and all of it would fill the link of a small instance.
//
// Thread-compatible. State: two runs of events for each holder.

#ifndef CAROBSHIFT_GATEWAY_CACHE_RELAY_H_
#define CAROBSHIFT_GATEWAY_CACHE_RELAY_H_

#include <map>
#include <optional>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/gateway/cache_news.h"

namespace carobshift {

enum class CacheReaderRole {
  // Hears news of the holder.
  kListener,
  kReader,
  // Reads, and tells the others.
  kTeller,
};

// Which part an instance has for each holder, among those that live.
class CacheReaderRoles {
 public:
  // `live` includes `self`.
  CacheReaderRoles(const std::vector<EntryId>& live, const EntryId& self);

  // `limit`: readers that the holder serves, 0 for any number.
  [[nodiscard]] CacheReaderRole Of(const CacheHolder& holder, int limit) const;

 private:
  std::vector<std::uint64_t> others_;
  std::uint64_t self_;
};

class CacheRelay {
 public:
  // Of news, so that a datagram stays below the size at which networks cut
  // it up.
  static constexpr std::size_t kMaxNewsBytes = 1200;
  // Of a holder in one period; a store's list costs less than more of them.
  static constexpr std::size_t kMostRunEvents = 400;
  // Received by one instance from all others, about: a twentieth of a small
  // instance's processor. With two dozen instances news come ten times a second
  // from each, with eighty three times.
  static constexpr double kNewsPerSecond = 250;
  static constexpr Milliseconds kShortestPeriod{90};

  [[nodiscard]] static Milliseconds PeriodFor(std::size_t instances);

  // What a read after `since` has brought. `whole`: long runs are told as well.
  void OnRead(const CacheHolder& holder,
              std::uint64_t since,
              const StoreEvents& events,
              bool whole);
  // This instance no longer tells of the holder.
  void Drop(const CacheHolder& holder) { runs_.erase(holder); }

  // News of every holder that `contents` trusts, cut into datagrams. A run of
  // more than kMostRunEvents is told as a gap.
  [[nodiscard]] std::vector<CacheNews> Take(const CacheContents& contents,
                                            MonotonicTime now);

 private:
  struct Runs {
    // The run before, told once already.
    std::optional<HolderNews> told;
    HolderNews fresh;
    bool whole = false;
  };

  // The runs as one, if that fits a datagram.
  [[nodiscard]] static std::optional<HolderNews> NextInOne(const Runs& runs);
  // What is told of a holder now, each of a size for one datagram.
  [[nodiscard]] static std::vector<HolderNews> Next(Runs& runs);

  std::map<CacheHolder, Runs> runs_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_CACHE_RELAY_H_
