#include "carobshift/net/event_loop.h"

#include <algorithm>
#include <map>
#include <utility>

namespace carobshift {

void EventLoop::Add(const Poco::Net::Socket& socket,
                    std::shared_ptr<SocketHandler> handler,
                    int interest) {
  handlers_[socket.impl()] = std::move(handler);
  poll_set_.add(socket, interest);
}

void EventLoop::SetInterest(const Poco::Net::Socket& socket, int interest) {
  poll_set_.update(socket, interest);
}

void EventLoop::Remove(const Poco::Net::Socket& socket) {
  if (handlers_.erase(socket.impl()) > 0)
    poll_set_.remove(socket);
}

void EventLoop::Run(const std::function<bool()>& stop) {
  while (!stop())
    RunOnce(kMaxPollWait);
}

void EventLoop::RunOnce(Milliseconds longest) {
  UpdateNow();
  Microseconds wait = longest;
  if (const auto next = timers_.Next()) {
    const auto until_next =
        std::chrono::duration_cast<Microseconds>(*next - now_);
    wait = std::clamp(until_next, Microseconds(0), wait);
  }
  // poll() takes milliseconds. Rounding up prevents a busy loop while the next
  // timer is due in less than one.
  const auto wait_ms = std::chrono::ceil<Milliseconds>(wait);
  const auto ready = poll_set_.poll(Poco::Timespan(wait_ms.count() * 1000));
  UpdateNow();
  DispatchAll(ready);
  if (!HasDueTimer())
    return;
  ReadArrivedInput();
  timers_.RunDue(now_);
}

bool EventLoop::HasEndingSockets() const {
  return std::any_of(handlers_.begin(), handlers_.end(), [](const auto& entry) {
    return entry.second->IsEnding();
  });
}

bool EventLoop::HasDueTimer() const {
  const auto next = timers_.Next();
  return next && *next <= now_;
}

void EventLoop::ReadArrivedInput() {
  // The clock is read first: what a later poll() doesn't report has arrived
  // after now().
  UpdateNow();
  ReadySockets unread = poll_set_.poll(Poco::Timespan(0));
  for (int round = 0; !unread.empty() && round < kMaxReadRounds; ++round) {
    DispatchAll(unread);
    ReadySockets ready = poll_set_.poll(Poco::Timespan(0));
    // Sockets that become ready only now have received nothing older.
    std::erase_if(ready, [&unread](const auto& entry) {
      return !unread.contains(entry.first);
    });
    unread = std::move(ready);
  }
}

void EventLoop::DispatchAll(const ReadySockets& ready) {
  for (const auto& [socket, events] : ready)
    Dispatch(socket, events);
}

void EventLoop::Dispatch(const Poco::Net::Socket& socket, int events) {
  // An earlier call of this iteration may have removed the socket.
  const auto find = [&] { return handlers_.find(socket.impl()); };
  auto found = find();
  if (found == handlers_.end())
    return;
  const std::shared_ptr<SocketHandler> handler = found->second;
  if ((events & kRead) != 0)
    handler->OnReadable();
  if ((events & kWrite) != 0 && find() != handlers_.end())
    handler->OnWritable();
  if ((events & Poco::Net::PollSet::POLL_ERROR) != 0 &&
      find() != handlers_.end())
    handler->OnSocketError();
}

}  // namespace carobshift
