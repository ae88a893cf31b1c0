// EventLoop waits for sockets and timers on one thread and calls their
// handlers. All code of the request path runs on that thread and needs no
// locks.
//
//   EventLoop loop;
//   loop.Add(socket, handler, EventLoop::kRead);
//   loop.AddTimer(loop.now() + Milliseconds(300), [] { GiveUp(); });
//   loop.Run([] { return stop_requested; });
//
// A timer runs after all input that had arrived by now() has been read, also if
// the process or a handler stood still meanwhile: otherwise timeouts would end
// what the unread input shows to be in time. Input of one socket that exceeds
// kMaxReadRounds reads doesn't hold up timers any longer.
//
// Handlers must not block, since a blocked handler delays all requests. Not
// thread-safe: all calls are made on the thread that runs the loop.

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

// Handles the events of one socket.
class SocketHandler {
 public:
  virtual ~SocketHandler() = default;
  virtual void OnReadable() = 0;
  virtual void OnWritable() = 0;
  // The socket has failed; reading from it returns the error.
  virtual void OnSocketError() = 0;
  // Whether this side has ended the connection and its peer has not, so that
  // the end of the process could cost the peer what it has been sent.
  [[nodiscard]] virtual bool IsEnding() const { return false; }
};

class EventLoop {
 public:
  static constexpr int kRead = Poco::Net::PollSet::POLL_READ;
  static constexpr int kWrite = Poco::Net::PollSet::POLL_WRITE;
  // Maximum time between two checks of the stop condition. A signal that
  // arrives between the check and the wait is noticed with up to this delay.
  static constexpr Milliseconds kMaxPollWait{100};
  // Maximum number of reads of one socket before the timers run.
  static constexpr int kMaxReadRounds = 64;

  EventLoop() : now_(MonotonicNow()) {}
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Watches `socket` for the events in `interest`. The loop shares ownership of
  // the handler and keeps it alive during a call even if the call removes the
  // socket.
  void Add(const Poco::Net::Socket& socket,
           std::shared_ptr<SocketHandler> handler,
           int interest);
  void SetInterest(const Poco::Net::Socket& socket, int interest);
  void Remove(const Poco::Net::Socket& socket);

  TimerId AddTimer(MonotonicTime at, TimerQueue::Callback callback) {
    return timers_.Add(at, std::move(callback));
  }
  void CancelTimer(TimerId id) { timers_.Cancel(id); }

  // Runs until `stop` returns true; `stop` is called before each wait.
  void Run(const std::function<bool()>& stop);
  // Waits for at most `longest` and calls the handlers and timers that are due.
  void RunOnce(Milliseconds longest);

  // Time at which the present iteration of the loop began. A handler doesn't
  // move it, so that no timer runs by a time whose input isn't read. Actions
  // that must not happen late, and short timeouts, use MonotonicNow(), since
  // the process may have been suspended or busy since then.
  [[nodiscard]] MonotonicTime now() const { return now_; }

  [[nodiscard]] std::size_t sockets() const { return handlers_.size(); }
  // Whether a handler's IsEnding() is true.
  [[nodiscard]] bool HasEndingSockets() const;

 private:
  using ReadySockets = Poco::Net::PollSet::SocketModeMap;

  void UpdateNow() { now_ = MonotonicNow(); }
  [[nodiscard]] bool HasDueTimer() const;
  void DispatchAll(const ReadySockets& ready);
  void Dispatch(const Poco::Net::Socket& socket, int events);
  // Updates now() and reads the input that has arrived by then.
  void ReadArrivedInput();

  Poco::Net::PollSet poll_set_;
  std::unordered_map<const Poco::Net::SocketImpl*,
                     std::shared_ptr<SocketHandler>>
      handlers_;
  TimerQueue timers_;
  MonotonicTime now_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_EVENT_LOOP_H_
