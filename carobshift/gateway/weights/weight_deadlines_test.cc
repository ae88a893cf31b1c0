#include "carobshift/gateway/weights/weight_deadlines.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};
const ModelName kModel("m");
constexpr Milliseconds kBound{15000};
constexpr Milliseconds kUsable = kBound - WeightDeadlines::kMargin;

TEST_CASE(
    "an engine with replaced weights is left out when their time is over") {
  // The engine missed several orders in a row. Its answers after the operator's
  // time limit are useless to callers.
  WeightDeadlines deadlines(kBound);
  deadlines.OnNamed(kModel, WeightNumber(2), kStart);
  const MonotonicTime over = kStart + kUsable;
  CHECK_FALSE(
      deadlines.IsOverdue(kModel, WeightNumber(1), over - Milliseconds(1)));
  CHECK(deadlines.IsOverdue(kModel, WeightNumber(1), over));
  CHECK_FALSE(deadlines.IsOverdue(kModel, WeightNumber(2), over));
  CHECK_FALSE(deadlines.IsOverdue(ModelName("other"), WeightNumber(1), over));
}

TEST_CASE("what waits may begin a little longer than what is sent anew") {
  WeightDeadlines deadlines(kBound);
  deadlines.OnNamed(kModel, WeightNumber(2), kStart);
  const MonotonicTime last = kStart + kBound - WeightDeadlines::kLastMargin;
  CHECK(deadlines.IsOverdue(kModel, WeightNumber(1), last - Milliseconds(1)));
  CHECK_FALSE(deadlines.TooLateToBegin(kModel, WeightNumber(1),
                                       last - Milliseconds(1)));
  CHECK(deadlines.TooLateToBegin(kModel, WeightNumber(1), last));
  CHECK_FALSE(deadlines.TooLateToBegin(kModel, WeightNumber(2), last));
}

TEST_CASE("each naming counts from itself") {
  // A second naming follows before the first is complete everywhere. An engine
  // that has the first weights has time until the second's own bound.
  WeightDeadlines deadlines(kBound);
  deadlines.OnNamed(kModel, WeightNumber(2), kStart);
  deadlines.OnNamed(kModel, WeightNumber(3), kStart + Seconds(5));
  deadlines.OnNamed(kModel, WeightNumber(3), kStart + Seconds(9));
  CHECK(deadlines.IsOverdue(kModel, WeightNumber(1), kStart + kUsable));
  CHECK_FALSE(deadlines.IsOverdue(kModel, WeightNumber(2), kStart + kUsable));
  CHECK(deadlines.IsOverdue(kModel, WeightNumber(2),
                            kStart + kUsable + Seconds(5)));
}

TEST_CASE("a peer's naming time can make a naming older, never younger") {
  // This process started after the naming and cannot know its time by itself.
  WeightDeadlines deadlines(kBound);
  deadlines.MergeNaming({kModel, WeightNumber(3), kStart});
  deadlines.MergeNaming({kModel, WeightNumber(3), kStart - Seconds(6)});
  deadlines.MergeNaming({kModel, WeightNumber(3), kStart + Seconds(6)});
  CHECK(deadlines.IsOverdue(kModel, WeightNumber(2),
                            kStart + kUsable - Seconds(6)));
  CHECK_FALSE(
      deadlines.IsOverdue(kModel, WeightNumber(2),
                          kStart + kUsable - Seconds(6) - Milliseconds(1)));
  // A number below the newest counts for engines with still older weights.
  deadlines.MergeNaming({kModel, WeightNumber(2), kStart - Seconds(60)});
  CHECK(deadlines.IsOverdue(kModel, WeightNumber(1), kStart));
  CHECK_FALSE(deadlines.IsOverdue(kModel, WeightNumber(2), kStart));
}

TEST_CASE("what is known of namings can be told, and is bounded") {
  WeightDeadlines deadlines(kBound);
  for (std::uint64_t number = 1; number <= 2 * WeightDeadlines::kMaxNamings;
       ++number)
    deadlines.OnNamed(kModel, WeightNumber(number), kStart);
  const auto namings = deadlines.Namings();
  REQUIRE(namings.size() == WeightDeadlines::kMaxNamings);
  CHECK(namings.back() ==
        WeightNaming{kModel, WeightNumber(2 * WeightDeadlines::kMaxNamings),
                     kStart, NamingSource::kObserved});
  CHECK(namings.front().number > WeightNumber(1));
  CHECK_FALSE(deadlines.HasAssumedTime());
}

TEST_CASE(
    "an assumed naming time yields to any source, an observed one to none") {
  WeightDeadlines deadlines(kBound);
  deadlines.MergeNaming(
      {kModel, WeightNumber(2), kStart - Seconds(60), NamingSource::kAssumed});
  CHECK(deadlines.IsAssumedTime(kModel, WeightNumber(2)));
  CHECK(deadlines.IsOverdue(kModel, WeightNumber(1), kStart));
  deadlines.MergeNaming(
      {kModel, WeightNumber(2), kStart, NamingSource::kFromPeer});
  CHECK_FALSE(deadlines.HasAssumedTime());
  CHECK_FALSE(deadlines.IsOverdue(kModel, WeightNumber(1), kStart));
  deadlines.MergeNaming(
      {kModel, WeightNumber(2), kStart - Seconds(60), NamingSource::kAssumed});
  CHECK_FALSE(deadlines.IsOverdue(kModel, WeightNumber(1), kStart));

  deadlines.OnNamed(kModel, WeightNumber(3), kStart);
  deadlines.MergeNaming(
      {kModel, WeightNumber(3), kStart - Seconds(60), NamingSource::kFromPeer});
  CHECK_FALSE(deadlines.IsOverdue(kModel, WeightNumber(2), kStart));
}

TEST_CASE("a short bound leaves some time for the change") {
  // The operator allows one second. If the margin were subtracted in full,
  // every engine would be excluded at the naming itself, and all callers
  // refused until the first engines have loaded.
  WeightDeadlines deadlines(Milliseconds(1000));
  deadlines.OnNamed(kModel, WeightNumber(2), kStart);
  CHECK_FALSE(deadlines.IsOverdue(kModel, WeightNumber(1), kStart));
}

}  // namespace
}  // namespace carobshift
