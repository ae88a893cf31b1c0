// An event loop in virtual time. Events run in order of their times; events of
// the same time run in the order in which they were added. Not thread-safe.
//
//   EventLoop loop;
//   loop.After(Milliseconds(5), [] { ... });
//   loop.RunUntil(end);

#ifndef BENCHMARKS_SIM_EVENT_LOOP_H_
#define BENCHMARKS_SIM_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "carobshift/base/units.h"

namespace carobshift {

// Virtual time starts late enough that a zero-initialized time is far in the
// past.
inline constexpr MonotonicTime kSimBegin{Seconds(1000)};

class EventLoop {
 public:
  [[nodiscard]] MonotonicTime now() const { return now_; }

  void At(MonotonicTime time, std::function<void()> action) {
    events_.push({std::max(time, now_), sequence_++, std::move(action)});
  }
  void After(Microseconds delay, std::function<void()> action) {
    At(now_ + delay, std::move(action));
  }

  void RunUntil(MonotonicTime end) {
    while (!events_.empty() && events_.top().time <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.action();
    }
    now_ = end;
  }

 private:
  struct Event {
    MonotonicTime time;
    std::uint64_t sequence = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : sequence > other.sequence;
    }
  };

  MonotonicTime now_ = kSimBegin;
  std::uint64_t sequence_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace carobshift

#endif  // BENCHMARKS_SIM_EVENT_LOOP_H_
