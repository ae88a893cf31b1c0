#include "carobshift/net/timer_queue.h"

#include <utility>

namespace carobshift {

TimerId TimerQueue::Add(MonotonicTime at, Callback callback) {
  const std::uint64_t id = ++last_id_;
  timers_.emplace(Key(at, id), std::move(callback));
  due_times_.emplace(id, at);
  return TimerId(id);
}

TimerQueue::~TimerQueue() {
  const auto timers = std::exchange(timers_, {});
  due_times_.clear();
}

void TimerQueue::Cancel(TimerId id) {
  const auto found = due_times_.find(id.value());
  if (found == due_times_.end())
    return;
  const Key key(found->second, id.value());
  due_times_.erase(found);
  // The callback is destroyed at the end of this function, when the queue no
  // longer holds the timer.
  const auto released = timers_.extract(key);
}

void TimerQueue::RunDue(MonotonicTime now) {
  const std::uint64_t last_known = last_id_;
  while (const auto key = NextDue(now, last_known))
    RunTimer(*key);
}

std::optional<TimerQueue::Key> TimerQueue::NextDue(
    MonotonicTime now,
    std::uint64_t last_known) const {
  for (const auto& [key, callback] : timers_) {
    if (key.first > now)
      break;
    if (key.second <= last_known)
      return key;
  }
  return std::nullopt;
}

void TimerQueue::RunTimer(const Key& key) {
  const auto due = timers_.extract(key);
  due_times_.erase(key.second);
  due.mapped()();
}

std::optional<MonotonicTime> TimerQueue::Next() const {
  if (timers_.empty())
    return std::nullopt;
  return timers_.begin()->first.first;
}

}  // namespace carobshift
