#include "carobshift/net/connection_quota.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

namespace carobshift {
namespace {

constexpr std::size_t kMost = 16;
constexpr std::size_t kLimit = std::size_t{1} << 20;
constexpr MonotonicTime kNow = MonotonicTime{} + Milliseconds(100'000);

// A connection that ends at once when it is asked to.
struct FakeConnection : public QuotaMember, public QuotaSocket {
  [[nodiscard]] ConnectionActivity activity() const override { return now; }
  void Reclaim() override {
    reclaimed = true;
    held.Release();
    slot->OnEnded(kNow);
  }
  void Close() override { slot.reset(); }

  ConnectionActivity now;
  ByteReservation held;
  std::shared_ptr<ConnectionSlot> slot;
  bool reclaimed = false;
};

struct Fixture {
  std::shared_ptr<FakeConnection> Open(ConnectionActivity activity) {
    auto slot = quota.Admit(kNow);
    if (slot == nullptr)
      return nullptr;
    auto connection = std::make_shared<FakeConnection>();
    connection->now = activity;
    connection->held = ByteReservation(&budget, ByteImportance::kRequest);
    connection->slot = slot;
    slot->Attach(connection, connection);
    all.push_back(connection);
    return connection;
  }
  std::shared_ptr<FakeConnection> Open(ConnectionState state,
                                       int age_ms,
                                       double bytes_per_second = 0) {
    return Open({state, kNow - Milliseconds(age_ms), bytes_per_second});
  }

  ByteBudget budget{kLimit};
  ConnectionQuota quota{{.max_connections = kMost, .max_active = kMost - 2},
                        budget};
  std::vector<std::shared_ptr<FakeConnection>> all;
};

// Guards against callers that keep all places and send nothing.
TEST_CASE("a newcomer takes the place of the longest idle connection") {
  Fixture fixture;
  for (int i = 0; i < 14; ++i)
    fixture.Open(ConnectionState::kIdle, 1000 + i);
  REQUIRE(fixture.Open(ConnectionState::kIdle, 0) != nullptr);
  CHECK(fixture.all[13]->reclaimed);
  CHECK_FALSE(fixture.all[0]->reclaimed);
  CHECK(fixture.quota.counters().idle_closed == 1);
}

TEST_CASE("requests that don't arrive go before idle connections") {
  Fixture fixture;
  for (int i = 0; i < 13; ++i)
    fixture.Open(ConnectionState::kIdle, 60000);
  const auto stalled = fixture.Open(ConnectionState::kReading, 2000, 10);
  REQUIRE(fixture.Open(ConnectionState::kIdle, 0) != nullptr);
  CHECK(stalled->reclaimed);
}

TEST_CASE("requests that are served keep their places") {
  Fixture fixture;
  int admitted = 0;
  for (std::size_t i = 0; i < 2 * kMost; ++i)
    admitted += fixture.Open(ConnectionState::kServing, 0) != nullptr ? 1 : 0;
  CHECK(admitted == kMost);
  for (const auto& connection : fixture.all)
    CHECK_FALSE(connection->reclaimed);
  CHECK(fixture.quota.counters().connections_refused == kMost);
}

// Guards against descriptors that are held by connections whose callers have
// been refused.
TEST_CASE("ended connections are closed when all places are taken") {
  Fixture fixture;
  for (std::size_t i = 0; i < 4 * kMost; ++i) {
    REQUIRE(fixture.Open(ConnectionState::kReading, 0) != nullptr);
    CHECK(fixture.quota.connections() <= kMost);
  }
  CHECK(fixture.quota.counters().ended_closed > 0);
}

TEST_CASE("a small request takes room from any that isn't whole") {
  Fixture fixture;
  const auto begun = fixture.Open(ConnectionState::kReading, 10, 50000);
  const auto served = fixture.Open(ConnectionState::kServing, 10);
  REQUIRE(begun->held.GrowTo(kLimit / 2));
  REQUIRE(served->held.GrowTo(kLimit / 8));
  std::vector<ByteReservation> rest;
  rest.emplace_back(&fixture.budget, ByteImportance::kRequest);
  CHECK(fixture.quota.Grow(rest.back(), 30000, nullptr, kNow));
  CHECK_FALSE(begun->reclaimed);
  while (!begun->reclaimed && rest.size() < 100) {
    rest.emplace_back(&fixture.budget, ByteImportance::kRequest);
    REQUIRE(fixture.quota.Grow(rest.back(), 30000, nullptr, kNow));
  }
  CHECK(begun->reclaimed);
  CHECK_FALSE(served->reclaimed);
}

// Guards against large bodies that displace each other until none is whole.
TEST_CASE("a large body takes room only from requests that don't arrive") {
  Fixture fixture;
  const auto begun = fixture.Open(ConnectionState::kReading, 5000, 50000);
  REQUIRE(begun->held.GrowTo(kLimit / 2));
  ByteReservation reserved(&fixture.budget, ByteImportance::kRequest);
  CHECK_FALSE(fixture.quota.Grow(reserved, kLimit / 2, nullptr, kNow));
  CHECK_FALSE(begun->reclaimed);
  begun->now.bytes_per_second = 100;
  CHECK(fixture.quota.Grow(reserved, kLimit / 2, nullptr, kNow));
  CHECK(begun->reclaimed);
}

TEST_CASE("a request takes no room from itself") {
  Fixture fixture;
  const auto asking = fixture.Open(ConnectionState::kReading, 5000);
  REQUIRE(asking->held.GrowTo(kLimit / 2));
  CHECK_FALSE(fixture.quota.Grow(asking->held, kLimit, asking.get(), kNow));
  CHECK_FALSE(asking->reclaimed);
}

}  // namespace
}  // namespace carobshift
