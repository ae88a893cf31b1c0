#include "carobshift/cache/store_table.h"

#include <catch2/catch.hpp>
#include <vector>

namespace carobshift {
namespace {

const StoreId kStore("store-1");
const MonotonicTime kStart{Seconds(1000)};
constexpr Bytes kRate = 1000000;

StoreStatus Well(std::uint64_t generation = 1) {
  return {generation, 0, 100 * kRate, 0, 0};
}

StoreTable Declared() {
  StoreTable stores;
  stores.Declare(kStore, kRate);
  stores.OnStatus(kStore, Well(), kStart);
  return stores;
}

}  // namespace

// Guards against a link that is loaded beyond its budget, which slows all its
// users. It comes about at the end of a busy hour, when every conversation
// pauses and is to be exported while callers import.
TEST_CASE("what a link is given in any minute stays within its budget") {
  LinkBudget budget(kRate);
  std::vector<std::pair<MonotonicTime, Bytes>> admitted;
  MonotonicTime now = kStart;
  for (int i = 0; i < 60000; ++i) {
    now += Milliseconds(10);
    const Bytes bytes = i % 7 == 0 ? 5 * kRate : kRate / 20 * (i % 5);
    const auto kind =
        i % 3 == 0 ? TransferKind::kImport : TransferKind::kExport;
    if (budget.TryTake(kind, bytes, now))
      admitted.emplace_back(now, bytes);
  }
  for (std::size_t first = 0; first < admitted.size(); ++first) {
    Bytes sum = 0;
    for (std::size_t i = first; i < admitted.size(); ++i) {
      if (admitted[i].first - admitted[first].first >= Seconds(60))
        break;
      sum += admitted[i].second;
    }
    REQUIRE(sum <= 60 * kRate);
  }
}

TEST_CASE("exports leave room for an import at any moment") {
  LinkBudget budget(kRate);
  while (budget.TryTake(TransferKind::kExport, kRate / 10, kStart)) {
  }
  CHECK(budget.TryTake(TransferKind::kImport, kRate / 3, kStart));
}

TEST_CASE("an import is booked after those before it, up to a limit") {
  LinkBudget budget(kRate);
  CHECK(budget.BookImport(kRate, kStart) == Milliseconds(0));
  const auto second = budget.BookImport(kRate / 4, kStart);
  REQUIRE(second.has_value());
  CHECK(*second == Milliseconds(278));
  CHECK_FALSE(budget.BookImport(kRate / 2, kStart).has_value());
  CHECK(budget.WaitFor(TransferKind::kImport, 6 * kRate, kStart) ==
        Milliseconds::max());
}

// Guards against planning with the declared rate after a link has slowed to a
// tenth of it: returning callers would wait ten times longer than a recompute
// takes.
TEST_CASE("a slow link is seen while its first transfer is still under way") {
  StoreTable stores = Declared();
  CHECK(stores.ImportTime(kStore, kRate / 10, kStart) == Milliseconds(100));
  const auto slow =
      stores.Begin(kStore, TransferKind::kImport, kRate / 10, kStart);
  const MonotonicTime later = kStart + Seconds(1);
  CHECK(stores.ImportTime(kStore, kRate / 10, later) == Milliseconds(1000));
  stores.End(slow->id, TransferEnd::kMoved, later);
  CHECK(stores.ImportTime(kStore, kRate / 10, later) == Milliseconds(1000));
  // The link is unused now and is tried again some minutes later.
  CHECK(*stores.ImportTime(kStore, kRate / 10, later + Seconds(360)) ==
        Milliseconds(100));
}

TEST_CASE("a dead store is left alone, and a restart is reported") {
  StoreTable stores = Declared();
  const Error silent{ResultCode::kStoreUnavailable, "no answer"};
  CHECK(stores.OnStatus(kStore, silent, kStart) == StoreChange::kNone);
  CHECK_FALSE(stores.ImportTime(kStore, 1000, kStart).has_value());
  CHECK(stores.StoresForExport(kStart).empty());
  CHECK(stores.OnStatus(kStore, silent, kStart) == StoreChange::kNone);
  CHECK(stores.OnStatus(kStore, silent, kStart) == StoreChange::kDied);
  CHECK(stores.OnStatus(kStore, Well(2), kStart) == StoreChange::kRestarted);
  CHECK(stores.ImportTime(kStore, 1000, kStart).has_value());
}

TEST_CASE("room counts what is being written and what was dropped") {
  StoreTable stores = Declared();
  const Bytes all = stores.Room(kStore);
  const auto write =
      stores.Begin(kStore, TransferKind::kExport, kRate / 4, kStart);
  CHECK(stores.Room(kStore) == all - kRate / 4);
  stores.End(write->id, TransferEnd::kMoved, kStart + Seconds(1));
  CHECK(stores.Room(kStore) == all - kRate / 4);
  stores.OnDropped(kStore, kRate / 4);
  CHECK(stores.Room(kStore) == all);
  stores.OnFull(kStore, kStart);
  CHECK(stores.StoresForExport(kStart).empty());
  CHECK(stores.ImportTime(kStore, 1000, kStart).has_value());
}

}  // namespace carobshift
