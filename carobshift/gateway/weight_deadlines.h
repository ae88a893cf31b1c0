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
// The time counts from the naming, not from when this process heard of it: one
// that starts afterwards would use replaced weights for longer by all that it
// missed. So it takes over what others know (weight_note.h).
//
// Figures: kMargin covers a request on its way, the lag with which an instance
// hears of newly named weights, and that of an engine's record.
//
// Thread-compatible. State: the last kMaxNames names of each model.

#ifndef CAROBSHIFT_GATEWAY_WEIGHT_DEADLINES_H_
#define CAROBSHIFT_GATEWAY_WEIGHT_DEADLINES_H_

#include <map>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

// When weights were named, as far as is known; not before.
struct WeightNaming {
  ModelName model;
  WeightNumber number{};
  MonotonicTime named{};
  friend bool operator==(const WeightNaming&, const WeightNaming&) = default;
};

class WeightDeadlines {
 public:
  static constexpr Milliseconds kMargin{1500};
  static constexpr std::size_t kMaxNames = 16;

  // `bound`: from the naming on, as the platform states it.
  explicit WeightDeadlines(Milliseconds bound) : bound_(bound) {}

  // Heard at `now`. A number that isn't higher than the last one is ignored.
  void OnNamed(const ModelName& model, WeightNumber number, MonotonicTime now);
  // Another instance's word. The earlier time of two counts, and numbers below
  // the newest are taken too: an engine may still have weights from before
  // them.
  void Learn(const WeightNaming& naming);
  [[nodiscard]] bool Knows(const ModelName& model, WeightNumber number) const;
  // All that are known, by model and number.
  [[nodiscard]] std::vector<WeightNaming> Namings() const;
  // Whether some newer weights than these were named so long ago that nothing
  // may begin on these any more.
  [[nodiscard]] bool Overdue(const ModelName& model,
                             WeightNumber weights,
                             MonotonicTime now) const;

 private:
  // By number; the highest kMaxNames of each model.
  using Names = std::map<WeightNumber, MonotonicTime>;

  Milliseconds bound_;
  std::map<ModelName, Names> named_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_WEIGHT_DEADLINES_H_
