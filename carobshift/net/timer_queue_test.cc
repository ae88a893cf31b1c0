#include "carobshift/net/timer_queue.h"

#include <catch2/catch.hpp>
#include <string>

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
  // A reply and the deadline of its request come in one round of the loop. The
  // first of them ends the request; if the other one still ran, it would answer
  // the caller a second time.
  TimerQueue timers;
  TimerId second;
  bool ran = false;
  timers.Add(kStart, [&] { timers.Cancel(second); });
  second = timers.Add(kStart, [&] { ran = true; });
  timers.RunDue(kStart);
  CHECK_FALSE(ran);
}

TEST_CASE("a timer that adds itself again does not hold up the loop") {
  // A poll that is due at once adds itself for now. Run in the same round it
  // would never let the loop read a socket again, and all callers would hang.
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

}  // namespace
}  // namespace carobshift
