#include "carobshift/cache/gap_model.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace carobshift {
namespace {

constexpr double kPriorWeight = 4.0;
// Returns within fewer seconds than this have the same value.
constexpr double kShortestReturn = 30.0;
// Number of gaps over which the population adapts to a changed distribution.
constexpr double kPopulationMemory = 100000.0;

std::size_t BucketOf(Seconds gap) {
  const auto it = std::lower_bound(kGapBorders.begin(), kGapBorders.end(), gap);
  return static_cast<std::size_t>(it - kGapBorders.begin());
}

// Returns the fraction of a bucket above `gap`, assuming a uniform distribution
// within the bucket.
double ShareAbove(std::size_t bucket, Seconds gap) {
  const Seconds low = bucket == 0 ? Seconds(0) : kGapBorders[bucket - 1];
  if (gap <= low)
    return 1.0;
  if (bucket == kGapBuckets - 1)
    return 1.0;
  const Seconds high = kGapBorders[bucket];
  if (gap >= high)
    return 0.0;
  return static_cast<double>((high - gap).count()) /
         static_cast<double>((high - low).count());
}

// Returns the seconds from `idle` to the middle of the remaining part of a
// bucket.
double SecondsUntil(std::size_t bucket, Seconds idle) {
  const Seconds low = bucket == 0 ? Seconds(0) : kGapBorders[bucket - 1];
  const Seconds high = kGapBorders[bucket];
  const double middle =
      static_cast<double>((std::max(low, idle) + high).count()) / 2.0;
  return std::max(kShortestReturn, middle - static_cast<double>(idle.count()));
}

}  // namespace

void GapHistory::Record(Seconds gap) {
  std::uint16_t& count = counts_[BucketOf(gap)];
  if (count == std::numeric_limits<std::uint16_t>::max()) {
    for (std::uint16_t& each : counts_)
      each /= 2;
  }
  ++count;
}

std::uint32_t GapHistory::count() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint32_t{0});
}

GapModel::GapModel() : total_(kGapBuckets) {
  weights_.fill(1.0);
}

void GapModel::Add(std::size_t bucket) {
  weights_[bucket] += 1.0;
  total_ += 1.0;
  if (total_ < kPopulationMemory)
    return;
  for (double& weight : weights_)
    weight /= 2;
  total_ /= 2;
}

void GapModel::Record(Seconds gap) {
  Add(BucketOf(gap));
}

void GapModel::RecordAbandoned() {
  Add(kGapBuckets - 1);
}

double GapModel::share(std::size_t bucket) const {
  return weights_[bucket] / total_;
}

ReturnForecast ForecastReturn(const GapModel& population,
                              const GapHistory& own,
                              Seconds idle,
                              Seconds from,
                              Seconds until) {
  const Seconds begin = std::max(idle, from);
  if (until <= begin)
    return {};
  const double own_count = own.count();
  double still_away = 0;
  ReturnForecast forecast;
  for (std::size_t bucket = 0; bucket < kGapBuckets; ++bucket) {
    const double mass =
        (own.at(bucket) + kPriorWeight * population.share(bucket)) /
        (own_count + kPriorWeight);
    still_away += mass * ShareAbove(bucket, idle);
    if (bucket == kGapBuckets - 1)
      continue;
    const double returns =
        mass * (ShareAbove(bucket, begin) - ShareAbove(bucket, until));
    forecast.probability += returns;
    forecast.per_second += returns / SecondsUntil(bucket, idle);
  }
  if (still_away <= 0)
    return {};
  forecast.probability /= still_away;
  forecast.per_second /= still_away;
  return forecast;
}

}  // namespace carobshift
