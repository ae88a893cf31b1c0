// The one thread that waits for sockets and timers and calls whoever owns
// them. Everything on the request path runs on it, so that it needs no locks.
//
//   EventLoop loop;
//   loop.Add(socket, handler, EventLoop::kRead);
//   loop.AddTimer(loop.now() + Milliseconds(300), [] { GiveUp(); });
//   loop.Run([] { return stop_requested; });
//
// Calls must not block: a handler that waits holds up all requests. Not
// thread-safe; all calls are made on the thread that runs it.

#ifndef CAROBSHIFT_NET_EVENT_LOOP_H_
#define CAROBSHIFT_NET_EVENT_LOOP_H_

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include <functional>
#include <memory>
#include <unordered_map>

#include "carobshift/base/units.h"
#include "carobshift/net/timer_queue.h"

namespace carobshift {

// Owner of a socket in the loop.
class SocketHandler {
 public:
  virtual ~SocketHandler() = default;
  virtual void OnReadable() = 0;
  virtual void OnWritable() = 0;
  // The socket has failed; reading tells the reason.
  virtual void OnSocketError() = 0;
};

class EventLoop {
 public:
  static constexpr int kRead = Poco::Net::PollSet::POLL_READ;
  static constexpr int kWrite = Poco::Net::PollSet::POLL_WRITE;
  // Longest time without a look at the stop condition: a signal that arrives
  // between the check and the wait is noticed this late.
  static constexpr Milliseconds kLongestWait{100};

  EventLoop() : now_(MonotonicNow()) {}
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // The handler is kept alive while one of its calls runs, also if it removes
  // its socket meanwhile.
  void Add(const Poco::Net::Socket& socket,
           std::shared_ptr<SocketHandler> handler,
           int interest);
  void SetInterest(const Poco::Net::Socket& socket, int interest);
  void Remove(const Poco::Net::Socket& socket);

  TimerId AddTimer(MonotonicTime at, TimerQueue::Callback callback) {
    return timers_.Add(at, std::move(callback));
  }
  void CancelTimer(TimerId id) { timers_.Cancel(id); }

  // Until `stop` returns true; it is asked before each wait.
  void Run(const std::function<bool()>& stop);
  // One wait of at most `longest`, and the calls that follow from it.
  void RunOnce(Milliseconds longest);

  // The time at which the present round of calls began.
  [[nodiscard]] MonotonicTime now() const { return now_; }
  // Reads the clock again: before something that must not happen late, since
  // the process may have been suspended since the round began.
  MonotonicTime Refresh() { return now_ = MonotonicNow(); }

  [[nodiscard]] std::size_t sockets() const { return handlers_.size(); }

 private:
  void Dispatch(const Poco::Net::Socket& socket, int events);

  Poco::Net::PollSet poll_set_;
  std::unordered_map<const Poco::Net::SocketImpl*,
                     std::shared_ptr<SocketHandler>>
      handlers_;
  TimerQueue timers_;
  MonotonicTime now_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_EVENT_LOOP_H_
