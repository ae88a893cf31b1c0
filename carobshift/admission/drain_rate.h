// Measures the rate at which a queue is served while it has a backlog.
//
//   DrainRate drain;
//   drain.Observe(backlogged, now);
//   drain.OnStart(cost);
//   Microseconds wait = drain.TimeFor(cost_ahead);
//
// Only time with a backlog counts: the rate of an idle queue is its arrival
// rate and says nothing about its capacity. Before the first backlog the rate
// is unknown and the expected wait is zero. Windows of a quarter second with a
// weight of 0.3 follow the loss of half a fleet within a second. A window with
// fewer than four starts is extended up to a second, because the cost of single
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
  // Must be called when the queue becomes empty or non-empty, and as time
  // passes.
  void Observe(bool backlogged, MonotonicTime now);
  // A request of this cost leaves the queue to run.
  void OnStart(CostUnits cost);

  // Cost units per second; 0 while unknown.
  [[nodiscard]] double rate() const { return rate_; }
  // Time to serve `cost`; zero while the rate is unknown.
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
