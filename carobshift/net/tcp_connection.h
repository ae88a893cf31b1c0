// TcpConnection is a TCP connection in the event loop.
//
//   auto connection = TcpConnection::Connect(loop, address, options, handler);
//   connection->Send(bytes);
//   connection->Close();
//
// Failures and how they are handled:
//
// - The peer doesn't read. unsent() grows; the producer of the bytes checks it
//   and stops reading from its own source, see SetReading(). This bounds the
//   buffers on both sides.
// - The peer's machine fails, or a middlebox drops the connection's state. No
//   error is reported by itself; TCP_USER_TIMEOUT and keep-alive probes convert
//   the silence into OnClosed(kFailed).
// - Closing a socket with unread bytes resets the connection, and the reset may
//   overtake a reply just sent, which the caller then never receives.
//   CloseAfterFlush() ends the sending side and continues to read for a while.
//
// The handler is a raw pointer. Its owner outlives the connection or calls
// Close(); no handler call is made after Close().

#ifndef CAROBSHIFT_NET_TCP_CONNECTION_H_
#define CAROBSHIFT_NET_TCP_CONNECTION_H_

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "carobshift/base/net_address.h"
#include "carobshift/base/shared_bytes.h"
#include "carobshift/net/connection_quota.h"
#include "carobshift/net/event_loop.h"

namespace carobshift {

enum class CloseReason {
  // The peer closed its side normally.
  kPeerEnded,
  // Reset, timed out, refused or unreachable.
  kFailed,
};

class TcpConnectionHandler {
 public:
  virtual ~TcpConnectionHandler() = default;
  // An outgoing connection is established.
  virtual void OnConnected() {}
  virtual void OnData(std::string_view bytes) = 0;
  // The connection ended for `reason`; it is already closed.
  virtual void OnClosed(CloseReason reason) = 0;
  // All unsent bytes have been sent.
  virtual void OnFlushed() {}
};

struct TcpOptions {
  // Largest number of received bytes that the kernel keeps unread, about; its
  // own choice, of several megabytes at most, if 0.
  int receive_buffer_bytes = 0;
  // Time without any sign of the peer after which the connection ends: with
  // unacknowledged bytes, with a peer whose window stays full, or with
  // unanswered keep-alive probes. TCP_USER_TIMEOUT decides all three, whatever
  // the count of probes. It must be longer than the longest silence of a peer
  // that is no fault, and by so much that a retransmission and its answer fit:
  // the time between retransmissions doubles, so the next one may come as long
  // after the end of a silence as the silence was.
  Milliseconds user_timeout{2000};
  // Idle time before the first keep-alive probe, and time between probes.
  Seconds probe_interval{1};
};

class TcpConnection : public SocketHandler,
                      public QuotaSocket,
                      public std::enable_shared_from_this<TcpConnection> {
 public:
  // How long CloseAfterFlush() continues to read what the peer sends, once the
  // peer has received all bytes.
  static constexpr Milliseconds kLinger{1000};

  // Starts to connect. OnConnected or OnClosed follows, after this function has
  // returned.
  static std::shared_ptr<TcpConnection> Connect(EventLoop& loop,
                                                const NetAddress& address,
                                                const TcpOptions& options,
                                                TcpConnectionHandler* handler);
  // Creates a connection from an accepted socket.
  static std::shared_ptr<TcpConnection> Accept(
      EventLoop& loop,
      const Poco::Net::StreamSocket& socket,
      const TcpOptions& options,
      TcpConnectionHandler* handler);

  // Sends what the socket accepts now, and buffers the rest.
  void Send(std::string_view bytes);
  // The same; the rest is held, not copied, unless the connection sends more
  // before it is gone.
  void SendShared(const SharedBytes& bytes);
  // Stops or resumes reading. While reading is stopped, the end of the peer's
  // side isn't noticed.
  void SetReading(bool reading);
  // Closes the connection; resets it if received bytes are unread.
  void Close() override;
  // Keeps the place of the connection until the socket is closed.
  void HoldSlot(std::shared_ptr<ConnectionSlot> slot) {
    slot_ = std::move(slot);
  }
  // Sends the unsent bytes, ends this side, continues to read for kLinger and
  // closes. Reads on for up to `longest` while more comes: closing before would
  // reset the connection, and the peer might lose what was sent. How long the
  // sending takes is up to the peer, within TcpOptions::user_timeout without
  // progress.
  void CloseAfterFlush(Milliseconds longest = kLinger);
  // Ends this side of a connection that is idle and whose bytes the peer has
  // received, and closes. Bytes that cross the end stay unread and reset the
  // connection, so that the peer can tell that its request was not read.
  void CloseUnread();
  // Returns whether bytes, the peer's end or an error have arrived that the
  // handler has not been told of.
  [[nodiscard]] bool HasInput() const;
  // Resets the connection, so that the peer can't mistake this for a normal
  // close.
  void Abort();

  [[nodiscard]] std::size_t unsent() const {
    return send_buffer_.size() - send_offset_ + shared_.size() - shared_offset_;
  }
  // Bytes that the peer has not received yet: unsent() and those in the kernel.
  // Asks the kernel.
  [[nodiscard]] std::size_t undelivered() const;
  [[nodiscard]] bool connected() const { return connected_; }
  [[nodiscard]] bool closed() const { return closed_; }
  // Returns whether the peer ended its side before it had received all bytes.
  [[nodiscard]] bool ended_early() const { return ended_early_; }

  void OnReadable() override;
  void OnWritable() override;
  void OnSocketError() override;
  [[nodiscard]] bool IsEnding() const override {
    return lingering_ && discards_input_ && !closed_;
  }

 private:
  TcpConnection(EventLoop& loop,
                const Poco::Net::StreamSocket& socket,
                TcpConnectionHandler* handler)
      : loop_(loop), socket_(socket), handler_(handler) {}

  void Configure(const TcpOptions& options);
  void StartConnect(const NetAddress& address);
  bool FinishConnect();
  // Sends unsent bytes until the socket accepts no more.
  void Flush();
  // Returns the bytes that are to be sent next, in one piece.
  [[nodiscard]] std::string_view NextUnsent() const;
  void OnSent(std::size_t bytes);
  // Moves the rest of shared_ behind send_buffer_.
  void BufferShared();
  void DropUnsent();
  // Ends this side of a connection that is lingering.
  void EndSending();
  // Closes after kLinger, or later if the peer has not received all by then or
  // goes on sending.
  void CloseOnceDelivered();
  void UpdateInterest();
  void Fail(CloseReason reason);
  // Closes the connection as failed in the next iteration, unless reading finds
  // its end before.
  void PostFailure();
  void DiscardInput();

  EventLoop& loop_;
  // Before the socket, which is closed first.
  std::shared_ptr<ConnectionSlot> slot_;
  Poco::Net::StreamSocket socket_;
  TcpConnectionHandler* handler_;
  std::string send_buffer_;
  std::size_t send_offset_ = 0;
  // Sent after send_buffer_, from the offset on.
  SharedBytes shared_;
  std::size_t shared_offset_ = 0;
  int interest_ = 0;
  bool connected_ = false;
  bool reading_ = true;
  bool closed_ = false;
  // A failed call has taken the socket's error, so that the end of what is
  // still read looks like the peer's normal end.
  bool failed_ = false;
  bool ended_early_ = false;
  bool lingering_ = false;
  // While lingering, input is discarded; otherwise it resets the connection.
  bool discards_input_ = true;
  // Input has been discarded since the last look.
  bool discarded_ = false;
  Milliseconds longest_linger_ = kLinger;
  MonotonicTime linger_until_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_TCP_CONNECTION_H_
