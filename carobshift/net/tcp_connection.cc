#include "carobshift/net/tcp_connection.h"

#include <Poco/Exception.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace carobshift {
namespace {

constexpr std::size_t kReadBufferBytes = std::size_t{16} << 10;

// Sent bytes are removed from the buffer once there are this many.
constexpr std::size_t kCompactBytes = std::size_t{64} << 10;
// An empty buffer with more room gives its memory back: many connections are
// idle.
constexpr std::size_t kMaxEmptyBufferBytes = std::size_t{4} << 10;

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
    connection->PostFailure();
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
    connection->PostFailure();
  }
  return connection;
}

void TcpConnection::StartConnect(const NetAddress& address) {
  socket_.connectNB(Poco::Net::SocketAddress(address.host, address.port));
}

void TcpConnection::Configure(const TcpOptions& options) {
  socket_.setNoDelay(true);
  if (options.receive_buffer_bytes > 0)
    socket_.setReceiveBufferSize(options.receive_buffer_bytes);
  socket_.setKeepAlive(true);
  const int interval = static_cast<int>(options.probe_interval.count());
  socket_.setOption(IPPROTO_TCP, TCP_KEEPIDLE, interval);
  socket_.setOption(IPPROTO_TCP, TCP_KEEPINTVL, interval);
  // Decides only where TCP_USER_TIMEOUT has no effect on probes.
  socket_.setOption(
      IPPROTO_TCP, TCP_KEEPCNT,
      static_cast<int>(options.user_timeout / options.probe_interval));
  socket_.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT,
                    static_cast<int>(options.user_timeout.count()));
}

void TcpConnection::Send(std::string_view bytes) {
  if (closed_ || lingering_)
    return;
  BufferShared();
  send_buffer_.append(bytes);
  if (connected_)
    Flush();
}

void TcpConnection::SendShared(const SharedBytes& bytes) {
  if (closed_ || lingering_)
    return;
  BufferShared();
  shared_ = bytes;
  if (connected_)
    Flush();
}

void TcpConnection::BufferShared() {
  send_buffer_.append(shared_.view().substr(shared_offset_));
  shared_ = {};
  shared_offset_ = 0;
}

std::string_view TcpConnection::NextUnsent() const {
  if (send_offset_ < send_buffer_.size())
    return std::string_view(send_buffer_).substr(send_offset_);
  return shared_.view().substr(shared_offset_);
}

void TcpConnection::OnSent(std::size_t bytes) {
  if (send_offset_ < send_buffer_.size())
    send_offset_ += bytes;
  else
    shared_offset_ += bytes;
}

void TcpConnection::DropUnsent() {
  if (send_buffer_.capacity() > kMaxEmptyBufferBytes)
    std::string().swap(send_buffer_);
  send_buffer_.clear();
  send_offset_ = 0;
  shared_ = {};
  shared_offset_ = 0;
}

void TcpConnection::Flush() {
  while (unsent() > 0) {
    const std::string_view next = NextUnsent();
    // sendBytes() throws the same exception for a full buffer and for a
    // failure; only the latter must close the connection.
    const ssize_t sent = ::send(socket_.impl()->sockfd(), next.data(),
                                next.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR)
      continue;
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      break;
    if (sent <= 0) {
      // Data that the peer sent before the failure is still read first.
      PostFailure();
      return;
    }
    OnSent(static_cast<std::size_t>(sent));
  }
  if (unsent() == 0) {
    DropUnsent();
  } else if (send_offset_ >= kCompactBytes) {
    send_buffer_.erase(0, send_offset_);
    send_offset_ = 0;
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
  DropUnsent();
  loop_.Remove(socket_);
  socket_.close();
  slot_.reset();
}

void TcpConnection::Abort() {
  if (closed_)
    return;
  try {
    socket_.setLinger(true, 0);
  } catch (const Poco::Exception&) {
    // The socket has already failed, so the peer sees no normal close either.
  }
  Close();
}

void TcpConnection::CloseAfterFlush(Milliseconds longest) {
  if (closed_)
    return;
  longest_linger_ = longest;
  handler_ = nullptr;
  lingering_ = true;
  SetReading(true);
  if (unsent() == 0)
    EndSending();
}

void TcpConnection::CloseUnread() {
  discards_input_ = false;
  CloseAfterFlush();
}

bool TcpConnection::HasInput() const {
  if (closed_)
    return false;
  pollfd socket{.fd = socket_.impl()->sockfd(), .events = POLLIN, .revents = 0};
  return ::poll(&socket, 1, 0) > 0;
}

void TcpConnection::EndSending() {
  try {
    socket_.shutdownSend();
  } catch (const Poco::Exception&) {
    Close();
    return;
  }
  linger_until_ = loop_.now() + longest_linger_;
  CloseOnceDelivered();
}

void TcpConnection::CloseOnceDelivered() {
  loop_.AddTimer(loop_.now() + kLinger, [self = shared_from_this()] {
    // A peer that doesn't receive at all is given up by the user timeout.
    const bool goes_on = std::exchange(self->discarded_, false) &&
                         self->loop_.now() < self->linger_until_;
    if (self->undelivered() > 0 || goes_on)
      self->CloseOnceDelivered();
    else
      self->Close();
  });
}

std::size_t TcpConnection::undelivered() const {
  if (closed_)
    return 0;
  int in_kernel = 0;
  if (::ioctl(socket_.impl()->sockfd(), SIOCOUTQ, &in_kernel) != 0)
    in_kernel = 0;
  return unsent() + static_cast<std::size_t>(in_kernel);
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
    if (had_unsent)
      EndSending();
    return;
  }
  if (had_unsent && handler_ != nullptr)
    handler_->OnFlushed();
}

void TcpConnection::OnReadable() {
  if (!connected_)
    return;
  if (lingering_) {
    // Closing with unread bytes resets the connection.
    if (discards_input_)
      DiscardInput();
    else
      Close();
    return;
  }
  std::array<char, kReadBufferBytes> buffer;
  int received = -1;
  try {
    received = socket_.receiveBytes(buffer.data(), kReadBufferBytes);
  } catch (const Poco::Exception&) {
    Fail(CloseReason::kFailed);
    return;
  }
  if (received == 0) {
    ended_early_ = undelivered() > 0;
    Fail(failed_ ? CloseReason::kFailed : CloseReason::kPeerEnded);
  } else if (received > 0) {
    handler_->OnData({buffer.data(), static_cast<std::size_t>(received)});
  }
}

void TcpConnection::DiscardInput() {
  std::array<char, kReadBufferBytes> buffer;
  try {
    discarded_ = true;
    if (socket_.receiveBytes(buffer.data(), kReadBufferBytes) == 0)
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
  // While reading is stopped, nothing else would detect the failure, and the
  // loop would report it in every iteration.
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

void TcpConnection::PostFailure() {
  failed_ = true;
  loop_.AddTimer(loop_.now(), [self = shared_from_this()] {
    self->Fail(CloseReason::kFailed);
  });
}

}  // namespace carobshift
