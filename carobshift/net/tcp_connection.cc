#include "carobshift/net/tcp_connection.h"

#include <Poco/Exception.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace carobshift {
namespace {

constexpr std::size_t kReadBytes = std::size_t{16} << 10;
constexpr int kUnansweredProbes = 2;

// The bytes sent are compacted away once they are as many as this.
constexpr std::size_t kCompactBytes = std::size_t{64} << 10;

}  // namespace

std::shared_ptr<TcpConnection> TcpConnection::Connect(
    EventLoop& loop,
    const NetAddress& address,
    const TcpOptions& options,
    TcpConnectionHandler* handler) {
  std::shared_ptr<TcpConnection> connection(
      new TcpConnection(loop, Poco::Net::StreamSocket(), handler));
  try {
    connection->StartConnect(address);
    connection->Configure(options);
    connection->interest_ = EventLoop::kWrite;
    loop.Add(connection->socket_, connection, EventLoop::kWrite);
  } catch (const Poco::Exception&) {
    connection->FailLater();
  }
  return connection;
}

std::shared_ptr<TcpConnection> TcpConnection::Accept(
    EventLoop& loop,
    const Poco::Net::StreamSocket& socket,
    const TcpOptions& options,
    TcpConnectionHandler* handler) {
  std::shared_ptr<TcpConnection> connection(
      new TcpConnection(loop, socket, handler));
  connection->connected_ = true;
  try {
    connection->socket_.setBlocking(false);
    connection->Configure(options);
    connection->interest_ = EventLoop::kRead;
    loop.Add(connection->socket_, connection, EventLoop::kRead);
  } catch (const Poco::Exception&) {
    connection->FailLater();
  }
  return connection;
}

void TcpConnection::StartConnect(const NetAddress& address) {
  socket_.connectNB(Poco::Net::SocketAddress(address.host, address.port));
}

void TcpConnection::Configure(const TcpOptions& options) {
  socket_.setNoDelay(true);
  socket_.setKeepAlive(true);
  const int interval = static_cast<int>(options.probe_interval.count());
  socket_.setOption(IPPROTO_TCP, TCP_KEEPIDLE, interval);
  socket_.setOption(IPPROTO_TCP, TCP_KEEPINTVL, interval);
  socket_.setOption(IPPROTO_TCP, TCP_KEEPCNT, kUnansweredProbes);
  socket_.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT,
                    static_cast<int>(options.user_timeout.count()));
}

void TcpConnection::Send(std::string_view bytes) {
  if (closed_ || lingering_)
    return;
  out_.append(bytes);
  if (connected_)
    Flush();
}

void TcpConnection::Flush() {
  while (unsent() > 0) {
    // Not by sendBytes(), which throws the same for a full buffer, which is no
    // failure, as for one.
    const ssize_t sent = ::send(socket_.impl()->sockfd(), out_.data() + out_at_,
                                unsent(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR)
      continue;
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      break;
    if (sent <= 0) {
      // Reading finds the reason and what the peer had sent before it.
      FailLater();
      return;
    }
    out_at_ += static_cast<std::size_t>(sent);
  }
  if (unsent() == 0) {
    out_.clear();
    out_at_ = 0;
  } else if (out_at_ >= kCompactBytes) {
    out_.erase(0, out_at_);
    out_at_ = 0;
  }
  UpdateInterest();
}

void TcpConnection::UpdateInterest() {
  if (closed_ || !connected_)
    return;
  const int wanted = (reading_ ? EventLoop::kRead : 0) |
                     (unsent() > 0 ? EventLoop::kWrite : 0);
  if (wanted == interest_)
    return;
  interest_ = wanted;
  loop_.SetInterest(socket_, wanted);
}

void TcpConnection::SetReading(bool reading) {
  reading_ = reading;
  UpdateInterest();
}

void TcpConnection::Close() {
  if (closed_)
    return;
  closed_ = true;
  handler_ = nullptr;
  loop_.Remove(socket_);
  socket_.close();
}

void TcpConnection::Abort() {
  if (closed_)
    return;
  try {
    socket_.setLinger(true, 0);
  } catch (const Poco::Exception&) {
    // It has failed already, so the peer won't see an ordered end either.
  }
  Close();
}

void TcpConnection::CloseAfterFlush() {
  if (closed_)
    return;
  handler_ = nullptr;
  lingering_ = true;
  SetReading(true);
  if (unsent() == 0)
    OnWritable();
  loop_.AddTimer(loop_.now() + kLinger,
                 [self = shared_from_this()] { self->Close(); });
}

bool TcpConnection::FinishConnect() {
  int error = 0;
  try {
    socket_.impl()->getOption(SOL_SOCKET, SO_ERROR, error);
  } catch (const Poco::Exception&) {
    error = -1;
  }
  if (error != 0) {
    Fail(CloseReason::kFailed);
    return false;
  }
  connected_ = true;
  UpdateInterest();
  if (handler_ != nullptr)
    handler_->OnConnected();
  return !closed_;
}

void TcpConnection::OnWritable() {
  if (!connected_ && !FinishConnect())
    return;
  const bool had_unsent = unsent() > 0;
  Flush();
  if (closed_ || unsent() > 0)
    return;
  if (lingering_) {
    try {
      socket_.shutdownSend();
    } catch (const Poco::Exception&) {
      Close();
    }
    return;
  }
  if (had_unsent && handler_ != nullptr)
    handler_->OnFlushed();
}

void TcpConnection::OnReadable() {
  if (!connected_)
    return;
  if (lingering_) {
    ReadAway();
    return;
  }
  std::array<char, kReadBytes> buffer;
  int received = -1;
  try {
    received = socket_.receiveBytes(buffer.data(), kReadBytes);
  } catch (const Poco::Exception&) {
    Fail(CloseReason::kFailed);
    return;
  }
  if (received == 0)
    Fail(CloseReason::kPeerEnded);
  else if (received > 0)
    handler_->OnData({buffer.data(), static_cast<std::size_t>(received)});
}

void TcpConnection::ReadAway() {
  std::array<char, kReadBytes> buffer;
  try {
    if (socket_.receiveBytes(buffer.data(), kReadBytes) == 0)
      Close();
  } catch (const Poco::Exception&) {
    Close();
  }
}

void TcpConnection::OnSocketError() {
  if (!connected_) {
    Fail(CloseReason::kFailed);
    return;
  }
  // With reading stopped nothing else would notice the failure, and the loop
  // would be told of it over and over.
  if (!reading_)
    Fail(CloseReason::kFailed);
}

void TcpConnection::Fail(CloseReason reason) {
  if (closed_)
    return;
  TcpConnectionHandler* const handler = handler_;
  Close();
  if (handler != nullptr)
    handler->OnClosed(reason);
}

void TcpConnection::FailLater() {
  loop_.AddTimer(loop_.now(), [self = shared_from_this()] {
    self->Fail(CloseReason::kFailed);
  });
}

}  // namespace carobshift
