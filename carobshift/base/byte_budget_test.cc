#include "carobshift/base/byte_budget.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

namespace carobshift {
namespace {

constexpr std::size_t kLimit = std::size_t{16} << 20;
constexpr std::size_t kMiB = std::size_t{1} << 20;

// Guards against buffers each of which is within its bound and which exceed the
// memory together.
TEST_CASE("reservations never exceed the budget in sum") {
  ByteBudget budget(kLimit);
  std::vector<ByteReservation> held;
  for (int i = 0; i < 40; ++i) {
    held.emplace_back(&budget, ByteImportance::kRequired);
    (void)held.back().GrowTo(kMiB);
    CHECK(budget.held() <= kLimit);
  }
  CHECK(budget.held() == kLimit);
  CHECK(budget.refusals() == 24);
}

TEST_CASE("large optional bytes leave room for small ones, all for required") {
  ByteBudget budget(kLimit);
  ByteReservation large(&budget, ByteImportance::kOptional);
  REQUIRE(large.GrowTo(kLimit / 2));
  CHECK_FALSE(large.GrowTo(kLimit / 2 + 1));
  std::vector<ByteReservation> small;
  int granted = 0;
  for (int i = 0; i < 100; ++i) {
    small.emplace_back(&budget, ByteImportance::kOptional);
    granted += small.back().GrowTo(ByteBudget::kSmallBytes) ? 1 : 0;
  }
  CHECK(granted == 64);
  ByteReservation required(&budget, ByteImportance::kRequired);
  CHECK(required.GrowTo(kLimit / 4));
  CHECK_FALSE(required.GrowTo(kLimit / 4 + 1));
}

// Guards against a sound stream that ends since others fill the budget.
TEST_CASE("a small part of an answer is never refused") {
  ByteBudget budget(kLimit);
  ByteReservation required(&budget, ByteImportance::kRequired);
  REQUIRE(required.GrowTo(kLimit));
  ByteReservation answer(&budget, ByteImportance::kAnswer);
  CHECK(answer.GrowTo(ByteBudget::kSmallBytes));
  CHECK_FALSE(answer.GrowTo(ByteBudget::kSmallBytes + 1));
  ByteReservation more(&budget, ByteImportance::kRequired);
  CHECK_FALSE(more.GrowTo(1));
  CHECK(budget.held() == kLimit + ByteBudget::kSmallBytes);
}

TEST_CASE("a reservation gives its bytes back once, however it ends") {
  ByteBudget budget(kLimit);
  {
    ByteReservation first(&budget, ByteImportance::kOptional);
    REQUIRE(first.GrowTo(100));
    REQUIRE(first.GrowTo(50));
    CHECK(first.size() == 100);
    ByteReservation second = std::move(first);
    CHECK(budget.held() == 100);
    ByteReservation third(&budget, ByteImportance::kOptional);
    REQUIRE(third.GrowTo(10));
    third = std::move(second);
    CHECK(budget.held() == 100);
    third.Release();
    CHECK(budget.held() == 0);
    REQUIRE(third.GrowTo(7));
  }
  CHECK(budget.held() == 0);
  CHECK(budget.refusals() == 0);
}

TEST_CASE("a buffer reserves the memory of its text") {
  ByteBudget budget(kLimit);
  BudgetedBuffer buffer(&budget, ByteImportance::kOptional);
  const std::string piece(1000, 'x');
  std::size_t size = 0;
  while (buffer.Append(piece)) {
    size += piece.size();
    CHECK(buffer.text().size() == size);
    CHECK(budget.held() >= size);
  }
  CHECK(size <= kLimit / 2);
  buffer.Clear();
  CHECK(buffer.text().empty());
  CHECK(budget.held() == 0);
  CHECK(buffer.Append(piece));
}

TEST_CASE("without a budget nothing is refused") {
  ByteReservation held;
  CHECK(held.GrowTo(kLimit));
}

}  // namespace
}  // namespace carobshift
