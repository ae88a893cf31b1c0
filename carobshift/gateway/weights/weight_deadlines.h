// WeightDeadlines decides until when requests may begin on weights that have
// been replaced. "Naming" weights is the operator's declaration of new weights
// for a model.
//
//   WeightDeadlines deadlines(settings.weights_replacement_bound);
//   deadlines.OnNamed(model, number, now);
//   if (deadlines.IsOverdue(model, weights_of_engine, now)) SendElsewhere();
//
// Load pattern: new weights are named while engines miss orders or crash, or
// the lease holder dies, so the last engines still have the old weights when
// the operator's time limit for the change expires. A request that begins there
// afterwards is useless to its caller, who cannot tell, and the platform counts
// it as a fault. Requests therefore stop beginning on such engines shortly
// before the limit, until they have loaded the new weights. Merely preferring
// other engines would not help, since a last-choice engine serves exactly when
// most others are unavailable.
//
// The time limit counts from the naming and not from when this process learned
// of it. A process that starts later would otherwise use replaced weights
// longer by the time it missed, so it takes over what other instances know
// (weight_note.h).
//
// A request sent in time may still wait at its engine. Near the limit it is
// withdrawn if no answer has begun.
//
// Constants: kMargin covers a request in flight, the lag with which an instance
// learns of newly named weights, and the lag of an engine's record. kLastMargin
// covers the two ticks until an attempt is withdrawn and its transfer to the
// engine.
//
// Thread-compatible. State: the last kMaxNamings namings of each model.

#ifndef CAROBSHIFT_GATEWAY_WEIGHTS_WEIGHT_DEADLINES_H_
#define CAROBSHIFT_GATEWAY_WEIGHTS_WEIGHT_DEADLINES_H_

#include <algorithm>
#include <map>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

// How the time of a naming is known. A later enumerator takes precedence over
// an earlier one.
enum class NamingSource {
  // The time is unknown. The assumed time yields to any other source.
  kAssumed,
  // From another instance's note.
  kFromPeer,
  // The naming was received while this process followed the log. Differences
  // between wall clocks cannot make it older.
  kObserved,
};

// A naming of weights and its time: as far as is known, the weights were not
// named before `named`.
struct WeightNaming {
  ModelName model;
  WeightNumber number{};
  MonotonicTime named{};
  NamingSource source = NamingSource::kFromPeer;
  friend bool operator==(const WeightNaming&, const WeightNaming&) = default;
};

class WeightDeadlines {
 public:
  static constexpr Milliseconds kMargin{1500};
  static constexpr Milliseconds kLastMargin{400};
  // If the bound is short, a margin takes at most 1/kMarginDivisor of it.
  // Otherwise every engine would be excluded at the naming itself.
  static constexpr int kMarginDivisor = 4;
  static constexpr std::size_t kMaxNamings = 16;

  // `bound` is the time from the naming on, as the platform states it.
  explicit WeightDeadlines(Milliseconds bound) : bound_(bound) {}

  // Records a naming received at `now`. A number that is not higher than the
  // last one is ignored.
  void OnNamed(const ModelName& model, WeightNumber number, MonotonicTime now);
  // Merges a naming. A source of higher precedence wins; for equal sources the
  // earlier time counts. Numbers below the newest are accepted too, because an
  // engine may still have weights older than those.
  void MergeNaming(const WeightNaming& naming);
  // Returns whether the time of any naming is an assumption.
  [[nodiscard]] bool HasAssumedTime() const;
  [[nodiscard]] bool IsAssumedTime(const ModelName& model,
                                   WeightNumber number) const;
  // Returns all known namings, ordered by model and number.
  [[nodiscard]] std::vector<WeightNaming> Namings() const;
  // Returns whether newer weights were named so long ago that nothing may begin
  // on `weights` any more.
  [[nodiscard]] bool IsOverdue(const ModelName& model,
                               WeightNumber weights,
                               MonotonicTime now) const {
    return HasNewerNamedBy(model, weights, now - UsableTime(kMargin));
  }
  // Returns whether a request that waits for `weights` may no longer begin.
  [[nodiscard]] bool TooLateToBegin(const ModelName& model,
                                    WeightNumber weights,
                                    MonotonicTime now) const {
    return HasNewerNamedBy(model, weights, now - UsableTime(kLastMargin));
  }

 private:
  struct Known {
    MonotonicTime named{};
    NamingSource source = NamingSource::kAssumed;
  };
  // By number; the highest kMaxNamings of each model.
  using ModelNamings = std::map<WeightNumber, Known>;

  [[nodiscard]] Milliseconds UsableTime(Milliseconds margin) const {
    return bound_ - std::min(margin, bound_ / kMarginDivisor);
  }

  // Returns whether newer weights than `weights` were named by `time`.
  [[nodiscard]] bool HasNewerNamedBy(const ModelName& model,
                                     WeightNumber weights,
                                     MonotonicTime time) const;

  Milliseconds bound_;
  std::map<ModelName, ModelNamings> namings_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_WEIGHTS_WEIGHT_DEADLINES_H_
