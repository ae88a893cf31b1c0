// TimerQueue calls functions at given times, in the order of these times.
//
//   TimerQueue timers;
//   TimerId id = timers.Add(now + Milliseconds(300), [] { GiveUp(); });
//   timers.Cancel(id);
//   timers.RunDue(now);
//
// A callback, and the destructor of an object that it owns, may add and cancel
// timers: neither runs while the queue is being modified.
//
// Thread-compatible.

#ifndef CAROBSHIFT_NET_TIMER_QUEUE_H_
#define CAROBSHIFT_NET_TIMER_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "carobshift/base/strong_type.h"
#include "carobshift/base/units.h"

namespace carobshift {

// Identifies a timer; 0 stands for no timer and is never assigned.
using TimerId = StrongType<struct TimerIdTag, std::uint64_t>;

class TimerQueue {
 public:
  using Callback = std::function<void()>;

  TimerQueue() = default;
  ~TimerQueue();
  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  TimerId Add(MonotonicTime at, Callback callback);

  // Cancels a timer. Unknown ids, such as those of timers that have run, are
  // ignored.
  void Cancel(TimerId id);

  // Runs all timers that are due at `now`. A callback may cancel a timer that
  // is due in the same call. A timer added during the call runs in the next
  // call at the earliest, so that a callback that adds itself again can't block
  // the loop.
  void RunDue(MonotonicTime now);

  [[nodiscard]] std::optional<MonotonicTime> Next() const;
  [[nodiscard]] std::size_t size() const { return timers_.size(); }

 private:
  using Key = std::pair<MonotonicTime, std::uint64_t>;

  // Returns the first due timer with an id of at most `last_known`.
  [[nodiscard]] std::optional<Key> NextDue(MonotonicTime now,
                                           std::uint64_t last_known) const;
  void RunTimer(const Key& key);

  std::map<Key, Callback> timers_;
  std::unordered_map<std::uint64_t, MonotonicTime> due_times_;
  std::uint64_t last_id_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_TIMER_QUEUE_H_
