#include "carobshift/net/timer_queue.h"

#include <utility>

namespace carobshift {

TimerId TimerQueue::Add(MonotonicTime at, Callback callback) {
  const std::uint64_t id = ++last_id_;
  timers_.emplace(Key(at, id), std::move(callback));
  times_.emplace(id, at);
  return TimerId(id);
}

void TimerQueue::Cancel(TimerId id) {
  const auto found = times_.find(id.value());
  if (found == times_.end())
    return;
  timers_.erase(Key(found->second, id.value()));
  times_.erase(found);
}

void TimerQueue::RunDue(MonotonicTime now) {
  const std::uint64_t last_known = last_id_;
  auto next = timers_.begin();
  while (next != timers_.end() && next->first.first <= now) {
    const Key key = next->first;
    if (key.second > last_known) {
      ++next;
      continue;
    }
    const Callback callback = std::move(next->second);
    timers_.erase(next);
    times_.erase(key.second);
    callback();
    next = timers_.begin();
  }
}

std::optional<MonotonicTime> TimerQueue::Next() const {
  if (timers_.empty())
    return std::nullopt;
  return timers_.begin()->first.first;
}

}  // namespace carobshift
