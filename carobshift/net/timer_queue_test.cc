#include "carobshift/net/timer_queue.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};

TEST_CASE("timers run in the order of their times") {
  TimerQueue timers;
  std::string order;
  timers.Add(kStart + Milliseconds(20), [&] { order += 'b'; });
  timers.Add(kStart + Milliseconds(10), [&] { order += 'a'; });
  timers.Add(kStart + Milliseconds(20), [&] { order += 'c'; });
  timers.RunDue(kStart + Milliseconds(15));
  CHECK(order == "a");
  timers.RunDue(kStart + Milliseconds(20));
  CHECK(order == "abc");
  CHECK(timers.size() == 0);
  CHECK_FALSE(timers.Next().has_value());
}

TEST_CASE("a timer may cancel another one that is due at the same time") {
  // The reply and the deadline of a request occur in the same iteration. The
  // first one ends the request; if the other one still ran, it would send a
  // second reply to the caller.
  TimerQueue timers;
  TimerId second;
  bool ran = false;
  timers.Add(kStart, [&] { timers.Cancel(second); });
  second = timers.Add(kStart, [&] { ran = true; });
  timers.RunDue(kStart);
  CHECK_FALSE(ran);
}

TEST_CASE("a timer that adds itself again does not hold up the loop") {
  // A poll that is due immediately adds itself for the present time. If it ran
  // in the same iteration, the loop would never read a socket again and all
  // callers would hang.
  TimerQueue timers;
  int runs = 0;
  std::function<void()> again = [&] {
    ++runs;
    timers.Add(kStart, again);
  };
  timers.Add(kStart, again);
  timers.RunDue(kStart);
  CHECK(runs == 1);
  timers.RunDue(kStart);
  CHECK(runs == 2);
}

TEST_CASE("cancelling a timer that has run is without effect") {
  TimerQueue timers;
  const TimerId id = timers.Add(kStart, [] {});
  timers.RunDue(kStart);
  timers.Cancel(id);
  timers.Cancel(TimerId());
  CHECK(timers.size() == 0);
}

// Object owned by a callback, such as a request with its own deadline.
class CancelsOnDestruction {
 public:
  CancelsOnDestruction(TimerQueue& timers, TimerId other)
      : timers_(timers), other_(other) {}
  ~CancelsOnDestruction() { timers_.Cancel(other_); }
  CancelsOnDestruction(const CancelsOnDestruction&) = delete;
  CancelsOnDestruction& operator=(const CancelsOnDestruction&) = delete;

 private:
  TimerQueue& timers_;
  TimerId other_;
};

TEST_CASE("a callback that is let go may cancel the timer due next") {
  // Guards against a double free that crashes the process: destroying a
  // callback's last request removes the entry with which the queue would
  // continue.
  TimerQueue timers;
  bool ran = false;
  const TimerId next =
      timers.Add(kStart + Milliseconds(1), [&] { ran = true; });
  timers.Add(kStart,
             [owned = std::make_shared<CancelsOnDestruction>(timers, next)] {});
  timers.RunDue(kStart + Milliseconds(2));
  CHECK_FALSE(ran);
  CHECK(timers.size() == 0);
}

TEST_CASE("a cancelled callback may cancel itself as it is let go") {
  // Guards against removing an entry twice.
  TimerQueue timers;
  const auto id = std::make_shared<TimerId>();
  struct CancelsItself {
    TimerQueue& timers;
    std::shared_ptr<TimerId> id;
    ~CancelsItself() { timers.Cancel(*id); }
  };
  std::shared_ptr<CancelsItself> owned(new CancelsItself{timers, id});
  *id = timers.Add(kStart, [owned] {});
  owned.reset();
  timers.Cancel(*id);
  CHECK(timers.size() == 0);
}

// Runs a queue whose callbacks add and cancel random timers while they run, and
// cancel another one when they are destroyed.
class RandomTimers {
 public:
  explicit RandomTimers(std::uint64_t seed) : state_(seed) {}
  RandomTimers(const RandomTimers&) = delete;
  RandomTimers& operator=(const RandomTimers&) = delete;

  void Run() {
    constexpr int kRounds = 40;
    for (int round = 0; round < kRounds; ++round) {
      for (int i = 0; i < kAddedPerRound; ++i)
        Add();
      Cancel(DrawId());
      now_ += Milliseconds(static_cast<std::int64_t>(Draw(kMaxAheadMs)));
      running_ = true;
      timers_.RunDue(now_);
      running_ = false;
      RC_ASSERT(std::none_of(
          planned_.begin(), planned_.end(), [this](const Planned& timer) {
            return timer.live && timer.at <= now_ && !timer.added_while_running;
          }));
      for (Planned& timer : planned_)
        timer.added_while_running = false;
    }
  }

 private:
  static constexpr int kAddedPerRound = 6;
  static constexpr std::uint64_t kMaxAheadMs = 8;
  static constexpr std::size_t kMaxTimers = 2000;

  struct Planned {
    MonotonicTime at;
    bool live = true;
    bool added_while_running = false;
  };
  struct CancelsOneOnDestruction {
    RandomTimers& timers;
    std::size_t index;
    ~CancelsOneOnDestruction() { timers.Cancel(index); }
  };

  std::uint64_t Draw(std::uint64_t bound) {
    constexpr std::uint64_t kMultiplier = 6364136223846793005ULL;
    constexpr std::uint64_t kIncrement = 1442695040888963407ULL;
    constexpr int kHighBits = 33;
    state_ = state_ * kMultiplier + kIncrement;
    return (state_ >> kHighBits) % bound;
  }
  std::size_t DrawId() {
    return planned_.empty() ? 0
                            : static_cast<std::size_t>(Draw(planned_.size()));
  }

  void Add() {
    if (planned_.size() >= kMaxTimers)
      return;
    const std::size_t index = planned_.size();
    const MonotonicTime at =
        now_ + Milliseconds(static_cast<std::int64_t>(Draw(kMaxAheadMs)));
    planned_.push_back({at, true, running_});
    // In half of the cases a timer that was added just before, which is due at
    // about the same time.
    const std::size_t other =
        Draw(2) == 0 ? DrawId() : index - std::min<std::size_t>(index, Draw(4));
    const std::shared_ptr<CancelsOneOnDestruction> owned(
        new CancelsOneOnDestruction{*this, other});
    ids_.push_back(timers_.Add(at, [this, index, owned] { OnTimer(index); }));
  }

  void Cancel(std::size_t index) {
    if (index >= ids_.size())
      return;
    planned_[index].live = false;
    timers_.Cancel(ids_[index]);
  }

  void OnTimer(std::size_t index) {
    RC_ASSERT(planned_[index].live);
    RC_ASSERT(planned_[index].at <= now_);
    planned_[index].live = false;
    if (Draw(2) == 0)
      Add();
    if (Draw(3) == 0)
      Cancel(DrawId());
  }

  std::uint64_t state_;
  MonotonicTime now_ = kStart;
  bool running_ = false;
  std::vector<Planned> planned_;
  std::vector<TimerId> ids_;
  TimerQueue timers_;
};

TEST_CASE("no timer runs twice or after it was cancelled") {
  rc::prop("whatever callbacks do while they run and as they are let go",
           [](std::uint64_t seed) { RandomTimers(seed).Run(); });
}

}  // namespace
}  // namespace carobshift
