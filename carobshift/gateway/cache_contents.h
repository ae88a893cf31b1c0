// Which parts of prompts each engine and each KV cache store holds whole, as
// their events tell.
//
//   CacheContents contents;
//   contents.OnEvents(holder, events, now);
//   if (contents.HoldsWhole(holder, scope, part, now)) FetchFrom(holder);
//
// A part is read from a store only after the store has said that it is whole
// there: a part that is still being written would give a prompt a torn memory.
// What goes wrong: a store restarts empty and a part is written to it anew
// while we still believe in the old one. So what is known of a holder counts
// only while its event reader answers; a reader that is broken or silent for
// kTrust makes everything unknown, and a new epoch drops it.
//
// Thread-compatible. State: one entry a stored part, bounded by the holders'
// memory and by kMaxParts.

#ifndef CAROBSHIFT_GATEWAY_CACHE_CONTENTS_H_
#define CAROBSHIFT_GATEWAY_CACHE_CONTENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/dialect.h"

namespace carobshift {

// An engine by its endpoint id, or a store by its service's name.
using CacheHolder = StrongType<struct CacheHolderTag, std::string>;

// A run of one holder's events without a gap: those after `since`, up to
// events.next. `events.gap` says that some before `since` are lost for good.
struct HolderNews {
  CacheHolder holder;
  std::uint64_t since = 0;
  StoreEvents events;
  // Since the holder last answered whoever reads its events.
  Milliseconds age{0};
  // It was told before. Whoever can't join it has lost it for good; another run
  // is told once more.
  bool repeated = false;
  // More of what the reader knew by then follows in further news.
  bool more = false;
};

class CacheContents {
 public:
  // Longest time since the holder last answered. The reader asks again soon
  // after an answer and waits for kReaderWait, so this leaves half a second for
  // the way and the pace.
  static constexpr Milliseconds kReaderWait{900};
  static constexpr Milliseconds kTrust{1500};
  // Of a part's tokens; memory goes by blocks, so the last few may be missing.
  static constexpr double kWholeShare = 0.95;
  // At a hundred bytes an entry some megabytes.
  static constexpr std::size_t kMaxParts = 20'000;

  // What the reader is to ask for next.
  [[nodiscard]] std::uint64_t next(const CacheHolder& holder) const;

  void OnEvents(const CacheHolder& holder,
                const StoreEvents& events,
                MonotonicTime now);
  // What another instance has read. News that doesn't join what is known here
  // counts as a gap.
  void OnNews(const HolderNews& news, MonotonicTime now);
  // The holders' clock, as another instance tells it.
  void OnClock(WallTime clock, MonotonicTime now);
  void OnListing(const CacheHolder& holder,
                 const StoreListing& listing,
                 MonotonicTime now);
  // The reader's connection broke or stayed silent.
  void OnReaderLost(const CacheHolder& holder);
  // The holder is gone for good.
  void Forget(const CacheHolder& holder) { holders_.erase(holder); }
  // Parts that were freed on order; their events may come late or never.
  void OnFreed(const CacheHolder& holder, const std::vector<StoreEvent>& parts);
  // Whether the contents have to be listed, as events are missing.
  [[nodiscard]] bool NeedsListing(const CacheHolder& holder) const;

  // A part of which an engine has dropped the end is not whole.
  [[nodiscard]] bool HoldsWhole(const CacheHolder& holder,
                                std::string_view scope,
                                const PromptPart& part,
                                MonotonicTime now) const;
  // When the holder last answered its reader; the epoch if it is unknown.
  [[nodiscard]] MonotonicTime LastHeard(const CacheHolder& holder) const;
  // Whether anything about the holder is known at `now`.
  [[nodiscard]] bool Trusted(const CacheHolder& holder,
                             MonotonicTime now) const;
  // The holders' calendar clock at `now`, if one has told it.
  [[nodiscard]] std::optional<WallTime> ClockAt(MonotonicTime now) const;
  [[nodiscard]] std::optional<std::uint64_t> Epoch(
      const CacheHolder& holder) const;
  // Whether what is known of the holder came by way of another instance, and so
  // some tenths of a second later.
  [[nodiscard]] bool KnownByNews(const CacheHolder& holder) const;
  // Everything that the holder is known to hold.
  [[nodiscard]] std::vector<StoreEvent> Parts(const CacheHolder& holder) const;

  [[nodiscard]] std::size_t size(const CacheHolder& holder) const;

 private:
  struct Holder {
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    bool known = false;
    bool by_news = false;
    bool listed = true;
    MonotonicTime heard{};
    // Tokens held of each part, by Key().
    std::unordered_map<std::string, Tokens> parts;
  };

  static std::string Key(std::string_view scope, std::string_view part);
  static void Apply(Holder& holder, const StoreEvent& event);

  std::unordered_map<CacheHolder, Holder> holders_;
  std::optional<Microseconds> clock_offset_;
};

struct StoreChoice {
  CacheHolder holder;
  NetAddress address;
  // Parts are spread by it.
  double weight = 1;
  std::uint64_t hash = 0;
  ZoneName zone{};
};

// The store that a part belongs to, by weighted rendezvous hashing: every
// process comes to the same one, and a store that goes moves only its own
// parts. Null for no stores.
[[nodiscard]] const StoreChoice* ChooseStore(
    const std::vector<StoreChoice>& stores,
    std::string_view part);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_CACHE_CONTENTS_H_
