// The rate at which a queue is served while there is something to serve.
//
//   DrainRate drain;
//   drain.OnStart(cost, backlogged, now);
//   Microseconds wait = drain.TimeFor(cost_ahead);
//
// Only time with a backlog counts: the rate of an idle queue is that of its
// arrivals and says nothing about how fast it could go. Without a backlog so
// far the rate is unknown and no wait is expected. Windows of a quarter second
// with a weight of 0.3 follow a halved fleet within a second. A window with
// fewer than four starts is prolonged up to a second, as the cost of single
// requests differs by two orders of magnitude.
//
// Thread-compatible.

#ifndef CAROBSHIFT_ADMISSION_DRAIN_RATE_H_
#define CAROBSHIFT_ADMISSION_DRAIN_RATE_H_

#include "carobshift/admission/request_cost.h"
#include "carobshift/base/units.h"

namespace carobshift {

class DrainRate {
 public:
  // The queue has become or stopped being non-empty, or time has passed.
  void Observe(bool backlogged, MonotonicTime now);
  // A request of this cost leaves the queue to be run.
  void OnStart(CostUnits cost);

  // Cost units a second; 0 while unknown.
  [[nodiscard]] double rate() const { return rate_; }
  // Zero while the rate is unknown.
  [[nodiscard]] Microseconds TimeFor(CostUnits cost) const;

 private:
  bool backlogged_ = false;
  MonotonicTime window_begin_{};
  CostUnits window_cost_ = 0;
  int window_starts_ = 0;
  double rate_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_ADMISSION_DRAIN_RATE_H_
