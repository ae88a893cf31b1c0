// Models the idle time between the turns of a conversation and estimates how
// likely the conversation is to return.
//
//   GapModel population;
//   population.Record(Seconds(5400));
//   ReturnForecast f = ForecastReturn(population, own, idle, from, until);
//
// Callers return after minutes to days; some never do. Without a model a store
// fills up with finished conversations, which displace those that will return.
// The weight of a conversation's own gaps grows with their number; before that
// the gaps of the population are used.
//
// Bucket boundaries spaced by a factor of about three cover one minute to one
// week in ten buckets of two bytes. With kPriorWeight, four observed gaps weigh
// as much as the population.

#ifndef CAROBSHIFT_CACHE_GAP_MODEL_H_
#define CAROBSHIFT_CACHE_GAP_MODEL_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "carobshift/base/units.h"

namespace carobshift {

inline constexpr std::size_t kGapBuckets = 10;
// Upper boundaries. The last bucket counts all longer gaps and those of
// conversations that never returned.
inline constexpr std::array<Seconds, kGapBuckets - 1> kGapBorders = {
    Seconds(60),    Seconds(180),    Seconds(600),
    Seconds(1800),  Seconds(5400),   Seconds(16200),
    Seconds(43200), Seconds(129600), Seconds(604800)};

// Histogram of gap lengths, 20 bytes. All counts are halved before one
// overflows, so that old gaps lose weight. Thread-compatible.
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

// The gaps of all conversations of this process. Starts from a uniform prior in
// which each bucket has the weight of one gap.
class GapModel {
 public:
  GapModel();
  void Record(Seconds gap);
  // Records a conversation that was evicted before it returned.
  void RecordAbandoned();
  // Returns the fraction of gaps in a bucket.
  [[nodiscard]] double share(std::size_t bucket) const;

 private:
  void Add(std::size_t bucket);
  std::array<double, kGapBuckets> weights_;
  double total_ = 0;
};

struct ReturnForecast {
  // Probability that the conversation returns after an idle time between `from`
  // and `until`, given that it has been idle for `idle`.
  double probability = 0;
  // The same, with the probability of each return divided by the time until it:
  // the value of a byte of store space per second. A conversation that returns
  // every few minutes is worth more space than one that returns with equal
  // probability after days.
  double per_second = 0;
};

// Returns zeros if until <= idle.
[[nodiscard]] ReturnForecast ForecastReturn(const GapModel& population,
                                            const GapHistory& own,
                                            Seconds idle,
                                            Seconds from,
                                            Seconds until);

}  // namespace carobshift

#endif  // CAROBSHIFT_CACHE_GAP_MODEL_H_
