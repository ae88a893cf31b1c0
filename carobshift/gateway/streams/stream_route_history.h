// What the configurations of the last time tell of streams that are under way,
// as far back as this instance has known one.
//
//   StreamRouteHistory history(first_start);
//   history.OnConfig(config, now);
//   const Milliseconds span = history.LongestStream(now);
//   if (history.HasMoved(service, now)) ...
//
// A stream lives by the configuration under which it began. One that shortens a
// timeout doesn't shorten the streams that are under way, and one that moves a
// route to another service leaves them at theirs.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_STREAMS_STREAM_ROUTE_HISTORY_H_
#define CAROBSHIFT_GATEWAY_STREAMS_STREAM_ROUTE_HISTORY_H_

#include <map>
#include <vector>

#include "carobshift/gateway/serving_config.h"

namespace carobshift {

class StreamRouteHistory {
 public:
  // For this long after this instance has a configuration, others may begin
  // streams under the one before.
  static constexpr Milliseconds kMaxConfigLag{5000};
  // The longest stream under configurations that this instance never saw. As
  // long as the record of a stream is kept (StreamTable::kMaxLife).
  static constexpr Milliseconds kLongestUnknown{120'000};

  // `first_start`: no stream began before this instance started, as the whole
  // deployment starts for the first time.
  explicit StreamRouteHistory(bool first_start) : first_start_(first_start) {}

  // The configuration is in force from `now` on.
  void OnConfig(const ServingConfig& config, MonotonicTime now);
  // Returns for how long a stream may have been under way at most that its
  // caller takes up at `now`.
  [[nodiscard]] Milliseconds LongestStream(MonotonicTime now) const;
  // Returns whether a stream that its caller takes up at `now`, on a route that
  // leads to `service`, may have begun at another service.
  [[nodiscard]] bool HasMoved(const ServiceName& service,
                              MonotonicTime now) const;

 private:
  // The longest stream of a configuration that has been replaced.
  struct PastLimit {
    Milliseconds longest{0};
    // Streams may have begun under it until then.
    MonotonicTime ends{};
  };

  // Paths of the route `before` belong to `route` now. Null if there is none.
  void NoteMove(const Route* route, const Route* before, MonotonicTime until);

  const bool first_start_;
  bool has_config_ = false;
  Milliseconds longest_{0};
  std::vector<PastLimit> past_;
  // Of the configuration in force.
  std::vector<Route> routes_;
  // Until when streams of other services may be taken up on routes to each.
  std::map<ServiceName, MonotonicTime> moved_until_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_STREAMS_STREAM_ROUTE_HISTORY_H_
