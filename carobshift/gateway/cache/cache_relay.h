// Decides which instances read a holder's cache events when the holder cannot
// serve all of them, and forwards the events from the readers to the others.
//
//   const CacheReaderRoles roles(live, self);
//   if (roles.RoleFor(holder, limit) != CacheReaderRole::kReceiver) ...
//   CacheRelay relay;
//   relay.OnRead(holder, since, events);
//   for (const CacheUpdate& update : relay.TakeMessages())
//     Send(EncodeCacheUpdate(update));
//
// An engine serves a dozen event readers, and each read costs both sides a
// call. Without forwarding, with twenty instances those beyond the limit would
// know nothing of the engines' contents, and each returning session would be
// recomputed. With eighty instances, all of them reading would spend more on
// events than on requests.
//
// Up to a holder's limit every instance reads its events. Beyond it the first
// two by rendezvous hashing of holder and instance read, and the first of them
// forwards the events to the others. The readers of different holders are thus
// different instances. The second reader takes over immediately when the first
// one dies.
//
// A receiving instance trusts a holder only as long as the reader does: each
// message contains the time since the holder's last answer, and when the
// reader's connection breaks, it tells so until nobody can trust the holder any
// more.
//
// Datagrams get lost. Each message therefore repeats the previous range of
// events. A receiver that misses two in a row detects that the ranges are not
// contiguous and treats this as a gap. A store's range that exceeds one
// datagram is split into several. For an engine only the latest range is sent
// in this case, or a gap: engines are many and change often, and sending all of
// it would saturate the link of a small instance.
//
// Thread-compatible. State: two ranges of events for each holder.

#ifndef CAROBSHIFT_GATEWAY_CACHE_CACHE_RELAY_H_
#define CAROBSHIFT_GATEWAY_CACHE_CACHE_RELAY_H_

#include <map>
#include <optional>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/gateway/cache/cache_update.h"

namespace carobshift {

enum class CacheReaderRole {
  // Receives the holder's events from another instance.
  kReceiver,
  kReader,
  // Reads, and forwards the events to the others.
  kForwarder,
};

// Determines the role of an instance for each holder, among the live instances.
class CacheReaderRoles {
 public:
  // `live` includes `self`.
  CacheReaderRoles(const std::vector<EntryId>& live, const EntryId& self);

  // `limit` is the number of readers that the holder serves, 0 for no limit.
  [[nodiscard]] CacheReaderRole RoleFor(const CacheHolder& holder,
                                        int limit) const;

 private:
  std::vector<std::uint64_t> others_;
  std::uint64_t self_;
};

class CacheRelay {
 public:
  // Size limit of a message, so that networks do not fragment the datagram.
  static constexpr std::size_t kMaxMessageBytes = 1200;
  // Maximum number of events per holder and period. Listing a store costs less
  // than forwarding more of them.
  static constexpr std::size_t kMaxRangeEvents = 400;
  // Approximate number of messages per second that one instance receives from
  // all others, which takes a twentieth of a small instance's processor. With
  // two dozen instances each of them sends ten times per second, with eighty
  // three times.
  static constexpr double kMaxMessagesPerSecond = 250;
  static constexpr Milliseconds kMinPeriod{90};

  [[nodiscard]] static Milliseconds SendPeriod(std::size_t instances);

  // Adds the result of a read after `since`. `send_long_ranges`: ranges that
  // exceed one datagram are forwarded as well.
  void OnRead(const CacheHolder& holder,
              std::uint64_t since,
              const StoreEvents& events,
              bool send_long_ranges);
  // Tells the others that the reader's connection has broken, until the next
  // OnRead(). Returns true if that is news.
  bool OnReaderLost(const CacheHolder& holder, MonotonicTime now);
  // Stops forwarding the holder's events.
  void Drop(const CacheHolder& holder) { ranges_.erase(holder); }

  // Returns the messages to send now about every holder that `contents` trusts
  // or has just lost, each of a size for one datagram. A range of more than
  // kMaxRangeEvents is replaced by a gap.
  [[nodiscard]] std::vector<CacheUpdate> TakeMessages(
      const CacheContents& contents,
      MonotonicTime now);

 private:
  struct HolderRanges {
    // The previous range, which was sent once.
    std::optional<HolderUpdate> sent;
    HolderUpdate latest;
    bool send_long_ranges = false;
    // Since when the reader's connection has been broken.
    std::optional<MonotonicTime> lost;
  };

  // Returns both ranges merged, or nullopt if they exceed one datagram.
  [[nodiscard]] static std::optional<HolderUpdate> MergedRange(
      const HolderRanges& holder_ranges);
  // Returns what to send about a holder now, each element of a size for one
  // datagram, and starts the next range.
  [[nodiscard]] static std::vector<HolderUpdate> Next(
      HolderRanges& holder_ranges);

  // Returns what to send about a holder whose reader has no connection.
  [[nodiscard]] static std::vector<HolderUpdate> LossOf(
      const HolderRanges& holder_ranges,
      MonotonicTime now);

  std::map<CacheHolder, HolderRanges> ranges_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_CACHE_CACHE_RELAY_H_
