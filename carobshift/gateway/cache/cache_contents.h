// Tracks which parts of prompts each engine and each KV cache store holds
// completely, as reported by their cache events.
//
//   CacheContents contents;
//   contents.OnEvents(holder, events, now);
//   if (contents.HoldsComplete(holder, scope, part, now)) FetchFrom(holder);
//
// A part is fetched from a store only after the store has reported it as
// complete. A part that is still being written would give a prompt inconsistent
// KV data. A store can also restart empty and have the part written anew while
// this instance still has the old state. The state of a holder is therefore
// valid only while its event reader receives answers. It becomes unknown when
// the reader's connection breaks or is silent for kTrustTimeout, and a new
// epoch discards it.
//
// Instances learn of a restart at different times. A state is therefore a lease
// on the holder's contents: a fetch that relies on it ends within kFetchLease
// of the answer that it is from (FetchDeadline), and nothing is saved in a new
// epoch until every lease on the one before has ended (MaySave). This needs no
// message to arrive in time, only clocks that run equally fast.
//
// Thread-compatible. State: one entry per stored part, bounded by the holders'
// memory and by kMaxParts.

#ifndef CAROBSHIFT_GATEWAY_CACHE_CACHE_CONTENTS_H_
#define CAROBSHIFT_GATEWAY_CACHE_CACHE_CONTENTS_H_

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

// A holder of KV data: an engine, identified by its endpoint id, or a store,
// identified by its service name.
using CacheHolder = StrongType<struct CacheHolderTag, std::string>;

// A gapless range of one holder's events: those after `since`, up to
// events.next. `events.gap` is true if events before `since` are lost
// permanently.
struct HolderUpdate {
  CacheHolder holder;
  std::uint64_t since = 0;
  StoreEvents events;
  // Time since the holder last answered the reader of its events.
  Milliseconds age{0};
  // The holder's clock in that answer, if it reports its clock.
  std::optional<WallTime> answered{};
  // True if the reader's connection has broken since. The state is unknown, and
  // the update contains no events.
  bool reader_lost = false;
  // True if the range was sent before. A receiver whose state does not reach
  // `since` has missed it permanently, because a range is repeated only once.
  // It waits for the repetition of any other range.
  bool repeated = false;
  // True if further messages contain the rest of what the reader knew when it
  // sent this one.
  bool more = false;
};

class CacheContents {
 public:
  // kTrustTimeout is the maximum time since the holder's last answer. The
  // reader polls again soon after an answer and waits for kReaderWait, which
  // leaves half a second for network delay and the polling interval.
  static constexpr Milliseconds kReaderWait{900};
  static constexpr Milliseconds kTrustTimeout{1500};
  // Time after an answer within which fetches that rely on it end. It is longer
  // than kTrustTimeout, so that a fetch that is planned shortly before the end
  // of the trust has time.
  static constexpr Milliseconds kFetchLease{2000};
  // How late a message of another instance may arrive. When none has been
  // accepted for longer, the holder's clock is taken to have been set back.
  static constexpr Milliseconds kMaxUpdateDelay{30'000};
  // Minimum fraction of a part's tokens for it to count as complete. Memory is
  // allocated in blocks, so the last few tokens may be missing.
  static constexpr double kMinWholeFraction = 0.95;
  // Maximum number of parts per holder. At a hundred bytes per entry they take
  // some megabytes.
  static constexpr std::size_t kMaxParts = 20'000;

  // Sets whether the holder is a managed store, which drops parts only when it
  // is told to or restarts. Its known parts stay valid when events are missing:
  // what it was told to drop are parts of weights that no engine has. Without
  // this call a holder may drop parts at any time.
  void SetManaged(const CacheHolder& holder, bool managed) {
    holders_[holder].managed = managed;
  }
  // Returns the sequence number that the reader passes to its next read.
  [[nodiscard]] std::uint64_t next(const CacheHolder& holder) const;

  void OnEvents(const CacheHolder& holder,
                const StoreEvents& events,
                MonotonicTime now);
  // Applies events that another instance has read. A range that does not
  // continue the known state counts as a gap.
  void OnPeerUpdate(const HolderUpdate& update, MonotonicTime now);
  // Sets the holders' clock as reported by another instance.
  void OnClock(WallTime clock, MonotonicTime now);
  // `asked` is the time at which the listing was requested. It may be from any
  // time since.
  void OnListing(const CacheHolder& holder,
                 const StoreListing& listing,
                 MonotonicTime asked,
                 MonotonicTime now);
  // Marks the holder's state as unknown after the reader's connection broke or
  // timed out.
  void OnReaderLost(const CacheHolder& holder);
  // Discards the state of a holder that was removed.
  void Forget(const CacheHolder& holder) { holders_.erase(holder); }
  // Removes parts that this instance ordered to be freed, because their events
  // may arrive late or never.
  void OnFreed(const CacheHolder& holder, const std::vector<StoreEvent>& parts);
  // Returns true if events are missing, so that the holder's contents have to
  // be listed.
  [[nodiscard]] bool NeedsListing(const CacheHolder& holder) const;

  // Returns true if the holder holds the part completely. A part whose end an
  // engine has evicted is incomplete.
  [[nodiscard]] bool HoldsComplete(const CacheHolder& holder,
                                   std::string_view scope,
                                   const PromptPart& part,
                                   MonotonicTime now) const;
  // Returns the time at which the holder last answered its reader, or the
  // clock's epoch if that is unknown.
  [[nodiscard]] MonotonicTime LastHeard(const CacheHolder& holder) const;
  // Returns true if the holder's state is known at `now`.
  [[nodiscard]] bool IsTrusted(const CacheHolder& holder,
                               MonotonicTime now) const;
  // Returns true if parts may be saved in the holder: its state is known, and
  // no instance relies on a state of an epoch before any more.
  [[nodiscard]] bool MaySave(const CacheHolder& holder,
                             MonotonicTime now) const;
  // Returns the time on the holders' clock at which fetches from the holder
  // have to end, or nullopt if no holder has reported that clock.
  [[nodiscard]] std::optional<WallTime> FetchDeadline(
      const CacheHolder& holder) const;
  // Returns the holder's clock in its last answer, if it reports its clock.
  [[nodiscard]] std::optional<WallTime> LastAnswered(
      const CacheHolder& holder) const;
  // Returns the holders' wall clock at `now`, or nullopt if none has reported
  // it.
  [[nodiscard]] std::optional<WallTime> ClockAt(MonotonicTime now) const;
  [[nodiscard]] std::optional<std::uint64_t> Epoch(
      const CacheHolder& holder) const;
  // Returns true if the holder's state was received from another instance, and
  // is therefore some tenths of a second older.
  [[nodiscard]] bool IsFromPeer(const CacheHolder& holder) const;
  // Returns all parts that the holder is known to hold, complete or not.
  [[nodiscard]] std::vector<StoreEvent> Parts(const CacheHolder& holder) const;

  [[nodiscard]] std::size_t size(const CacheHolder& holder) const;

 private:
  struct Holder {
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    bool known = false;
    bool from_peer = false;
    bool listed = true;
    bool managed = false;
    MonotonicTime heard{};
    // When this instance first heard of the epoch. All answers of the epoch
    // before were given earlier.
    MonotonicTime epoch_heard{};
    // The holder's clock in its last answer.
    std::optional<WallTime> answered;
    // When `answered` became known.
    MonotonicTime answer_known{};
    // Number of tokens held of each part, by Key().
    std::unordered_map<std::string, Tokens> parts;
  };

  static std::string Key(std::string_view scope, std::string_view part);
  static void Apply(Holder& holder, const StoreEvent& event);
  static void SetEpoch(Holder& holder, std::uint64_t epoch, MonotonicTime now);
  static void SetAnswered(Holder& holder,
                          std::optional<WallTime> answered,
                          MonotonicTime now);
  static void ApplyEvents(Holder& holder,
                          const StoreEvents& events,
                          MonotonicTime now);
  // Returns true if the update is from before what is known: of an epoch
  // before, or from before the reader lost the holder. Datagrams overtake each
  // other and wait in the queue of an instance that stands still.
  [[nodiscard]] static bool IsOutdated(const Holder& holder,
                                       const HolderUpdate& update,
                                       MonotonicTime now);

  std::unordered_map<CacheHolder, Holder> holders_;
  std::optional<Microseconds> clock_offset_;
};

struct StoreChoice {
  CacheHolder holder;
  NetAddress address;
  // Parts are distributed in proportion to it.
  double weight = 1;
  std::uint64_t hash = 0;
  ZoneName zone{};
};

// Returns the store that a part belongs to, by weighted rendezvous hashing.
// Every process selects the same store, and removing a store moves only its own
// parts. Returns null if there are no stores.
[[nodiscard]] const StoreChoice* ChooseStore(
    const std::vector<StoreChoice>& stores,
    std::string_view part);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_CACHE_CACHE_CONTENTS_H_
