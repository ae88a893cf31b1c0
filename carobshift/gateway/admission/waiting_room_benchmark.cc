// Measures the time of one decision of a waiting room, which an instance spends
// for each arrival and for each attempt to place a waiting request.

#include "carobshift/gateway/admission/waiting_room.h"

#include <benchmark/benchmark.h>

#include <map>
#include <string>

namespace carobshift {
namespace {

constexpr int kUrgencies = 10;

WaitingRequest RequestOf(int i, int accounts, MonotonicTime now) {
  return {.id = RequestId("request-0123456789-" + std::to_string(i)),
          .account = AccountId("account-" + std::to_string(i % accounts)),
          .kind = "question",
          .urgency = i % kUrgencies,
          .cost = 1000.0 + 100 * (i % 37),
          .bytes = 1000,
          .arrived = now + Milliseconds(i),
          // A third of the requests are late.
          .target = i % 3 == 0 ? now : now + Seconds(3600),
          .last_start = now + Seconds(7200)};
}

// Looks the account up as AccountUsage does.
class Room {
 public:
  explicit Room(const benchmark::State& state)
      : size_(static_cast<int>(state.range(0))),
        accounts_(static_cast<int>(state.range(1))),
        room_({.max_requests = 10'000},
              [this](const AccountId& account) { return usage_[account]; }) {
    for (int i = 0; i < accounts_; ++i)
      usage_[AccountId("account-" + std::to_string(i))] = i * 7 % accounts_;
    for (int i = 0; i < size_; ++i)
      room_.Enter(RequestOf(i, accounts_, kNow), kNow);
  }

  static constexpr MonotonicTime kNow{Seconds(100)};
  static constexpr MonotonicTime kLater{Seconds(105)};

  [[nodiscard]] WaitingRequest Newcomer() const {
    return RequestOf(size_, accounts_, kNow);
  }
  WaitingRoom& room() { return room_; }

 private:
  int size_;
  int accounts_;
  std::map<AccountId, double> usage_;
  WaitingRoom room_;
};

void BM_NextAndNoRoom(benchmark::State& state) {
  Room room(state);
  MonotonicTime now = Room::kLater;
  for (auto _ : state) {
    now += Milliseconds(10);
    const std::optional<RequestId> id = room.room().Next(now);
    if (id)
      room.room().OnNoRoom(*id, now);
  }
}

void BM_EnterNextAndStart(benchmark::State& state) {
  Room room(state);
  WaitingRequest request = room.Newcomer();
  int i = room.room().size();
  for (auto _ : state) {
    request.id = RequestId("request-0123456789-" + std::to_string(i++));
    room.room().Enter(request, Room::kLater);
    const std::optional<RequestId> id = room.room().Next(Room::kLater);
    if (id)
      room.room().OnStarted(*id, Room::kLater);
  }
}

// Nothing is scheduled before the new request, so that all waiting requests
// are compared with it.
void BM_MustQueue(benchmark::State& state) {
  Room room(state);
  WaitingRequest request = room.Newcomer();
  request.urgency = -1;
  request.target = Room::kLater;
  for (auto _ : state)
    benchmark::DoNotOptimize(room.room().MustQueue(request, Room::kLater));
}

void BM_NextWakeup(benchmark::State& state) {
  Room room(state);
  for (auto _ : state)
    benchmark::DoNotOptimize(room.room().NextWakeup());
}

// Waiting requests, accounts.
BENCHMARK(BM_NextAndNoRoom)
    ->Args({512, 24})
    ->Args({1000, 24})
    ->Args({1000, 500});
BENCHMARK(BM_EnterNextAndStart)
    ->Args({512, 24})
    ->Args({1000, 24})
    ->Args({1000, 500});
BENCHMARK(BM_MustQueue)->Args({512, 24})->Args({1000, 24})->Args({1000, 500});
BENCHMARK(BM_NextWakeup)->Args({1000, 24});

}  // namespace
}  // namespace carobshift

BENCHMARK_MAIN();
