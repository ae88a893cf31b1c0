// How long conversations stay away, and so how likely one is to come back.
//
//   GapModel population;
//   population.Record(Seconds(5400));
//   ReturnForecast f = ForecastReturn(population, own, idle, from, until);
//
// Load pattern: callers return after minutes to days; some never. Without a
// model a store fills with conversations that are over, and those that will
// return are pushed out. A conversation's own gaps weigh more the more of them
// there are; before that the population's speak for it.
//
// Grounds for the figures: bucket borders at about a factor of three cover one
// minute to one week in ten buckets of two bytes. kPriorWeight: four observed
// gaps weigh as much as the population.

#ifndef CAROBSHIFT_CACHE_GAP_MODEL_H_
#define CAROBSHIFT_CACHE_GAP_MODEL_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "carobshift/base/units.h"

namespace carobshift {

inline constexpr std::size_t kGapBuckets = 10;
// Upper borders. The last bucket holds all longer gaps and those that have no
// end.
inline constexpr std::array<Seconds, kGapBuckets - 1> kGapBorders = {
    Seconds(60),    Seconds(180),    Seconds(600),
    Seconds(1800),  Seconds(5400),   Seconds(16200),
    Seconds(43200), Seconds(129600), Seconds(604800)};

// Counts of gaps by length; counts are halved together before one overflows,
// so old habits fade. 20 bytes. Thread-compatible.
class GapHistory {
 public:
  void Record(Seconds gap);
  [[nodiscard]] std::uint32_t count() const;
  [[nodiscard]] std::uint32_t at(std::size_t bucket) const {
    return counts_[bucket];
  }

 private:
  std::array<std::uint16_t, kGapBuckets> counts_{};
};

// The gaps of all conversations of this process. Starts from a flat prior, in
// which each bucket weighs one gap.
class GapModel {
 public:
  GapModel();
  void Record(Seconds gap);
  // A conversation that was given up without a return.
  void RecordNever();
  // Share of gaps in a bucket.
  [[nodiscard]] double share(std::size_t bucket) const;

 private:
  void Add(std::size_t bucket);
  std::array<double, kGapBuckets> weights_;
  double total_ = 0;
};

struct ReturnForecast {
  // That the conversation returns when it has been away for between `from` and
  // `until`, given that it has been away for `idle`.
  double probability = 0;
  // The same, each return divided by the time until then: what a byte of a
  // store earns a second. A conversation that returns every few minutes is
  // worth more room than one that returns as surely, but in days.
  double per_second = 0;
};

// Nothing is expected if until <= idle.
[[nodiscard]] ReturnForecast ForecastReturn(const GapModel& population,
                                            const GapHistory& own,
                                            Seconds idle,
                                            Seconds from,
                                            Seconds until);

}  // namespace carobshift

#endif  // CAROBSHIFT_CACHE_GAP_MODEL_H_
