// Functions to be called at a time, in the order of their times.
//
//   TimerQueue timers;
//   TimerId id = timers.Add(now + Milliseconds(300), [] { GiveUp(); });
//   timers.Cancel(id);
//   timers.RunDue(now);
//
// A callback, and the destructor of what it owns, may add and cancel timers:
// neither runs while the queue is in the middle of a change.
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

// 0 is never given out and stands for no timer.
using TimerId = StrongType<struct TimerIdTag, std::uint64_t>;

class TimerQueue {
 public:
  using Callback = std::function<void()>;

  TimerQueue() = default;
  ~TimerQueue();
  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  TimerId Add(MonotonicTime at, Callback callback);

  // Unknown ids, such as those of timers that have run, are ignored.
  void Cancel(TimerId id);

  // Runs all timers that are due at `now`. A timer that another one adds or
  // cancels meanwhile is respected; one added for `now` or earlier runs at the
  // next call, so that a callback that re-adds itself can't hold up the loop.
  void RunDue(MonotonicTime now);

  [[nodiscard]] std::optional<MonotonicTime> Next() const;
  [[nodiscard]] std::size_t size() const { return timers_.size(); }

 private:
  using Key = std::pair<MonotonicTime, std::uint64_t>;

  // The first timer that is due and was added up to `last_known`.
  [[nodiscard]] std::optional<Key> NextDue(MonotonicTime now,
                                           std::uint64_t last_known) const;
  void RunOne(const Key& key);

  std::map<Key, Callback> timers_;
  std::unordered_map<std::uint64_t, MonotonicTime> times_;
  std::uint64_t last_id_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_TIMER_QUEUE_H_
