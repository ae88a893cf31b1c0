// Until when requests may begin on weights that have been replaced.
//
//   WeightDeadlines deadlines(settings.weights_bound);
//   deadlines.OnNamed(model, number, now);
//   if (deadlines.Overdue(model, weights_of_engine, now)) SendElsewhere();
//
// Load pattern: new weights are named while engines lose their orders or crash,
// or the holder of the lease dies, so the last engines still have the old
// weights when the operator's time for the change is over. What begins there
// from then on is of no use to its caller, who can't tell, and the platform
// counts it as a fault. So nothing begins there, shortly before the time is
// over, until they have loaded. An engine that is only taken last serves just
// when most others are out of use.
//
// Figures: kMargin covers a request on its way, the lag with which an instance
// hears of newly named weights, and that of an engine's record.
//
// Thread-compatible. State: the last kMaxNames names of each model.

#ifndef CAROBSHIFT_GATEWAY_WEIGHT_DEADLINES_H_
#define CAROBSHIFT_GATEWAY_WEIGHT_DEADLINES_H_

#include <deque>
#include <map>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

class WeightDeadlines {
 public:
  static constexpr Milliseconds kMargin{1500};
  static constexpr std::size_t kMaxNames = 16;

  // `bound`: from the naming on, as the platform states it.
  explicit WeightDeadlines(Milliseconds bound) : bound_(bound) {}

  // Heard at `now`. A number that isn't higher than the last one is ignored.
  void OnNamed(const ModelName& model, WeightNumber number, MonotonicTime now);
  // Whether some newer weights than these were named so long ago that nothing
  // may begin on these any more.
  [[nodiscard]] bool Overdue(const ModelName& model,
                             WeightNumber weights,
                             MonotonicTime now) const;

 private:
  struct Named {
    WeightNumber number{};
    MonotonicTime heard{};
  };

  Milliseconds bound_;
  std::map<ModelName, std::deque<Named>> named_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_WEIGHT_DEADLINES_H_
