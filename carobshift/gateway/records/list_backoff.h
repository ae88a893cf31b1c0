// Spaces the listings of one holder's contents by one instance.
//
//   ListBackoff backoff;
//   if (contents.NeedsListing(holder) && backoff.MayList(now)) {
//     backoff.OnList(hash, now);
//     List(holder);
//   }
//
// Load pattern: datagrams with a store's events are lost since links are full.
// Every instance misses them and lists the store, several times a second with
// a hundred instances in a zone. The listings fill the links, more datagrams
// are lost, and the state persists after its cause is gone.
//
// The first listing is immediate, since an instance that has started knows
// nothing. Each further one within kResetTime waits twice as long as the one
// before. The jitter keeps instances that missed the same datagram from listing
// at the same time.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_RECORDS_LIST_BACKOFF_H_
#define CAROBSHIFT_GATEWAY_RECORDS_LIST_BACKOFF_H_

#include <cstdint>
#include <optional>

#include "carobshift/base/units.h"

namespace carobshift {

class ListBackoff {
 public:
  static constexpr Milliseconds kMinDelay{1000};
  static constexpr Milliseconds kMaxDelay{16'000};
  // A listing this long after the one before starts the backoff anew.
  static constexpr Milliseconds kResetTime{30'000};

  [[nodiscard]] bool MayList(MonotonicTime now) const { return now >= next_; }
  // Records a listing. `hash` is the source of the jitter; it should differ
  // between instances and listings.
  void OnList(std::uint64_t hash, MonotonicTime now);

 private:
  std::optional<MonotonicTime> last_;
  Milliseconds delay_{0};
  MonotonicTime next_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_RECORDS_LIST_BACKOFF_H_
