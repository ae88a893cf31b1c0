#include "carobshift/net/tcp_listener.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include "carobshift/telemetry/event_log.h"

namespace carobshift {

Result<std::shared_ptr<TcpListener>> TcpListener::Open(
    EventLoop& loop,
    const NetAddress& address,
    OnAccept on_accept) {
  std::shared_ptr<TcpListener> listener(
      new TcpListener(loop, std::move(on_accept)));
  try {
    // reuseAddress allows connections in TIME_WAIT on the address; without
    // reusePort a second listener fails.
    listener->socket_.bind(Poco::Net::SocketAddress(address.host, address.port),
                           /*reuseAddress=*/true, /*reusePort=*/false);
    listener->socket_.listen(kBacklog);
    listener->socket_.setBlocking(false);
    listener->port_ = listener->socket_.address().port();
  } catch (const Poco::Exception& e) {
    return Error{
        ResultCode::kInvalidSettings,
        "cannot listen on " + address.ToString() + ": " + e.displayText()};
  }
  loop.Add(listener->socket_, listener, EventLoop::kRead);
  return listener;
}

void TcpListener::Close() {
  if (closed_)
    return;
  closed_ = true;
  loop_.Remove(socket_);
  socket_.close();
}

void TcpListener::OnReadable() {
  for (int i = 0; i < kAcceptsPerRound && !closed_; ++i) {
    try {
      if (i > 0 &&
          !socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
        return;
      on_accept_(socket_.acceptConnection());
    } catch (const Poco::Exception& e) {
      // Out of file descriptors, or the caller has already disconnected.
      LogEvent(LogLevel::kWarning, "accept_failed",
               {{"reason", e.displayText()}});
      return;
    }
  }
}

}  // namespace carobshift
