// MemberDiscovery tells when an instance that has started knows the other
// instances well enough to divide work with them.
//
//   MemberDiscovery discovery;
//   discovery.OnMembers(live.size(), now);  // about every 100 ms
//   if (discovery.IsSettled(now))
//     ReadCacheEvents();
//
// Load pattern: all instances lose power and start at the same moment. Each
// takes itself for the only one for some hundred milliseconds and reads the
// cache events of all hundred engines and stores, 20 MB over a link of
// 10 Mbit/s. Holders refuse most of the reads, connections time out, and
// callers' requests wait behind them for more than a second.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_INSTANCES_MEMBER_DISCOVERY_H_
#define CAROBSHIFT_GATEWAY_INSTANCES_MEMBER_DISCOVERY_H_

#include <cstddef>
#include <optional>

#include "carobshift/base/units.h"

namespace carobshift {

class MemberDiscovery {
 public:
  // Without a new member for this long, most are known.
  static constexpr Milliseconds kQuietTime{300};
  // After this time an instance works with the members that it knows, if any.
  static constexpr Milliseconds kMaxTime{2000};

  // Sets the number of live instances, including this one.
  void OnMembers(std::size_t count, MonotonicTime now);
  // Once true, it stays true.
  [[nodiscard]] bool IsSettled(MonotonicTime now) const;

 private:
  std::optional<MonotonicTime> started_at_;
  MonotonicTime last_growth_{};
  std::size_t max_count_ = 1;
  bool settled_ = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_INSTANCES_MEMBER_DISCOVERY_H_
