#include "carobshift/gateway/weight_deadlines.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};
const ModelName kModel("m");
constexpr Milliseconds kBound{15000};
constexpr Milliseconds kUsable = kBound - WeightDeadlines::kMargin;

TEST_CASE(
    "an engine with replaced weights is left out when their time is over") {
  // The engine lost one order after the other. What its callers get after the
  // operator's time for the change is of no use to them.
  WeightDeadlines deadlines(kBound);
  deadlines.OnNamed(kModel, WeightNumber(2), kStart);
  const MonotonicTime over = kStart + kUsable;
  CHECK_FALSE(
      deadlines.Overdue(kModel, WeightNumber(1), over - Milliseconds(1)));
  CHECK(deadlines.Overdue(kModel, WeightNumber(1), over));
  CHECK_FALSE(deadlines.Overdue(kModel, WeightNumber(2), over));
  CHECK_FALSE(deadlines.Overdue(ModelName("other"), WeightNumber(1), over));
}

TEST_CASE("each naming counts from itself") {
  // Named again before the first was in place everywhere: an engine that has
  // the first has time until the second's own bound.
  WeightDeadlines deadlines(kBound);
  deadlines.OnNamed(kModel, WeightNumber(2), kStart);
  deadlines.OnNamed(kModel, WeightNumber(3), kStart + Seconds(5));
  deadlines.OnNamed(kModel, WeightNumber(3), kStart + Seconds(9));
  CHECK(deadlines.Overdue(kModel, WeightNumber(1), kStart + kUsable));
  CHECK_FALSE(deadlines.Overdue(kModel, WeightNumber(2), kStart + kUsable));
  CHECK(deadlines.Overdue(kModel, WeightNumber(2),
                          kStart + kUsable + Seconds(5)));
}

TEST_CASE("another instance's word makes a naming older, never younger") {
  // This process started after the naming and can't know its time by itself.
  WeightDeadlines deadlines(kBound);
  deadlines.OnNamed(kModel, WeightNumber(3), kStart);
  deadlines.Learn({kModel, WeightNumber(3), kStart - Seconds(6)});
  deadlines.Learn({kModel, WeightNumber(3), kStart + Seconds(6)});
  CHECK(deadlines.Overdue(kModel, WeightNumber(2),
                          kStart + kUsable - Seconds(6)));
  CHECK_FALSE(
      deadlines.Overdue(kModel, WeightNumber(2),
                        kStart + kUsable - Seconds(6) - Milliseconds(1)));
  // A number below the newest counts for those who have still older weights.
  deadlines.Learn({kModel, WeightNumber(2), kStart - Seconds(60)});
  CHECK(deadlines.Overdue(kModel, WeightNumber(1), kStart));
  CHECK_FALSE(deadlines.Overdue(kModel, WeightNumber(2), kStart));
}

TEST_CASE("what is known of namings can be told, and is bounded") {
  WeightDeadlines deadlines(kBound);
  for (std::uint64_t number = 1; number <= 2 * WeightDeadlines::kMaxNames;
       ++number)
    deadlines.OnNamed(kModel, WeightNumber(number), kStart);
  const auto namings = deadlines.Namings();
  REQUIRE(namings.size() == WeightDeadlines::kMaxNames);
  CHECK(namings.back() ==
        WeightNaming{kModel, WeightNumber(2 * WeightDeadlines::kMaxNames),
                     kStart});
  CHECK(deadlines.Knows(kModel, namings.front().number));
  CHECK_FALSE(deadlines.Knows(kModel, WeightNumber(1)));
}

}  // namespace
}  // namespace carobshift
