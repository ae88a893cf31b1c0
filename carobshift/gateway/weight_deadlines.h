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
// What was sent in time may still wait at its engine. Near the bound it is
// taken back, if no answer has begun.
//
// Figures: kMargin covers a request on its way, the lag with which an instance
// hears of newly named weights, and that of an engine's record. kLastMargin
// covers two ticks until an attempt is taken back and its way to the engine.
//
// Thread-compatible. State: the last kMaxNames names of each model.

#ifndef CAROBSHIFT_GATEWAY_WEIGHT_DEADLINES_H_
#define CAROBSHIFT_GATEWAY_WEIGHT_DEADLINES_H_

#include <algorithm>
#include <map>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

// Whence the time of a naming is known; each goes before the ones above it.
enum class NamingSource {
  // Not known. What is assumed must give way to anybody's word.
  kGuess,
  // From another instance, by its note.
  kTold,
  // The naming came while this process followed the log. Calendar clocks that
  // differ can't make it older.
  kHeard,
};

// When weights were named, as far as is known; not before.
struct WeightNaming {
  ModelName model;
  WeightNumber number{};
  MonotonicTime named{};
  NamingSource source = NamingSource::kTold;
  friend bool operator==(const WeightNaming&, const WeightNaming&) = default;
};

class WeightDeadlines {
 public:
  static constexpr Milliseconds kMargin{1500};
  static constexpr Milliseconds kLastMargin{400};
  // Of a short bound, the part that a margin takes at most; with all of it
  // taken every engine would be left out at the naming itself.
  static constexpr int kMarginDivisor = 4;
  static constexpr std::size_t kMaxNames = 16;

  // `bound`: from the naming on, as the platform states it.
  explicit WeightDeadlines(Milliseconds bound) : bound_(bound) {}

  // Heard at `now`. A number that isn't higher than the last one is ignored.
  void OnNamed(const ModelName& model, WeightNumber number, MonotonicTime now);
  // Takes over what goes before what is known; of two from the same source the
  // earlier time counts. Numbers below the newest are taken too: an engine may
  // still have weights from before them.
  void Learn(const WeightNaming& naming);
  // Whether the time of some naming is a guess.
  [[nodiscard]] bool HasGuess() const;
  [[nodiscard]] bool IsGuess(const ModelName& model, WeightNumber number) const;
  // All that are known, by model and number.
  [[nodiscard]] std::vector<WeightNaming> Namings() const;
  // Whether some newer weights than these were named so long ago that nothing
  // may begin on these any more.
  [[nodiscard]] bool Overdue(const ModelName& model,
                             WeightNumber weights,
                             MonotonicTime now) const {
    return NamedBefore(model, weights, now - UsableFor(kMargin));
  }
  // Whether what waits for these weights must not begin any more.
  [[nodiscard]] bool TooLateToBegin(const ModelName& model,
                                    WeightNumber weights,
                                    MonotonicTime now) const {
    return NamedBefore(model, weights, now - UsableFor(kLastMargin));
  }

 private:
  struct Known {
    MonotonicTime named{};
    NamingSource source = NamingSource::kGuess;
  };
  // By number; the highest kMaxNames of each model.
  using Names = std::map<WeightNumber, Known>;

  [[nodiscard]] Milliseconds UsableFor(Milliseconds margin) const {
    return bound_ - std::min(margin, bound_ / kMarginDivisor);
  }

  // Whether some newer weights than these were named by `time`.
  [[nodiscard]] bool NamedBefore(const ModelName& model,
                                 WeightNumber weights,
                                 MonotonicTime time) const;

  Milliseconds bound_;
  std::map<ModelName, Names> named_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_WEIGHT_DEADLINES_H_
