// One TCP connection in the event loop, with bounded buffers on both sides.
//
//   auto connection = TcpConnection::Connect(loop, address, options, handler);
//   connection->Send(bytes);
//   connection->Close();
//
// What can go wrong, and what is done:
// - The peer doesn't read. unsent() grows; whoever produces the bytes asks it
//   and stops reading from its own source, see SetReading().
// - The peer's machine is gone, or something between has lost track of the
//   connection. No error comes by itself; TCP_USER_TIMEOUT and keep-alive
//   probes turn the silence into OnClosed(kFailed).
// - Closing with bytes unread resets the connection, and the reset may overtake
//   a reply just sent, which the caller then never sees. CloseAfterFlush() ends
//   our side, then reads on for a while.
//
// The handler is a plain pointer of an owner that outlives the connection or
// calls Close(). No handler call is made after Close().

#ifndef CAROBSHIFT_NET_TCP_CONNECTION_H_
#define CAROBSHIFT_NET_TCP_CONNECTION_H_

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <string>
#include <string_view>

#include "carobshift/base/net_address.h"
#include "carobshift/net/event_loop.h"

namespace carobshift {

enum class CloseReason {
  // The peer ended its side in order.
  kPeerEnded,
  // Reset, timed out, refused or unreachable.
  kFailed,
};

class TcpConnectionHandler {
 public:
  virtual ~TcpConnectionHandler() = default;
  // Of a connection that was opened here.
  virtual void OnConnected() {}
  virtual void OnData(std::string_view bytes) = 0;
  // The connection is closed when this returns.
  virtual void OnClosed(CloseReason reason) = 0;
  // unsent() is zero again.
  virtual void OnFlushed() {}
};

struct TcpOptions {
  // Sent bytes that aren't acknowledged this long end the connection. Some
  // hundred round trips between availability zones; shorter ones would take a
  // lost packet and its repeats for a lost peer.
  Milliseconds user_timeout{2000};
  // Idle time before the first keep-alive probe, and between probes; two
  // unanswered ones end the connection.
  Seconds probe_interval{1};
};

class TcpConnection : public SocketHandler,
                      public std::enable_shared_from_this<TcpConnection> {
 public:
  // How long a closed side goes on reading what the peer still sends.
  static constexpr Milliseconds kLinger{1000};

  // Begins to connect; OnConnected or OnClosed follows, never before this
  // returns.
  static std::shared_ptr<TcpConnection> Connect(EventLoop& loop,
                                                const NetAddress& address,
                                                const TcpOptions& options,
                                                TcpConnectionHandler* handler);
  // Takes over an accepted socket.
  static std::shared_ptr<TcpConnection> Accept(
      EventLoop& loop,
      const Poco::Net::StreamSocket& socket,
      const TcpOptions& options,
      TcpConnectionHandler* handler);

  // Sends now what the system takes and the rest later.
  void Send(std::string_view bytes);
  // Stops or resumes reading; a stopped side doesn't see the peer's end.
  void SetReading(bool reading);
  // Resets if bytes are unread.
  void Close();
  // Sends what is unsent, ends this side, reads on for kLinger and closes.
  void CloseAfterFlush();
  // Resets the connection, so that the peer can't take it for an ordered end.
  void Abort();

  [[nodiscard]] std::size_t unsent() const { return out_.size() - out_at_; }
  [[nodiscard]] bool connected() const { return connected_; }
  [[nodiscard]] bool closed() const { return closed_; }

  void OnReadable() override;
  void OnWritable() override;
  void OnSocketError() override;

 private:
  TcpConnection(EventLoop& loop,
                const Poco::Net::StreamSocket& socket,
                TcpConnectionHandler* handler)
      : loop_(loop), socket_(socket), handler_(handler) {}

  void Configure(const TcpOptions& options);
  void StartConnect(const NetAddress& address);
  bool FinishConnect();
  // Sends from the buffer until the system takes no more.
  void Flush();
  void UpdateInterest();
  void Fail(CloseReason reason);
  void FailLater();
  void ReadAway();

  EventLoop& loop_;
  Poco::Net::StreamSocket socket_;
  TcpConnectionHandler* handler_;
  std::string out_;
  std::size_t out_at_ = 0;
  int interest_ = 0;
  bool connected_ = false;
  bool reading_ = true;
  bool closed_ = false;
  bool lingering_ = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_TCP_CONNECTION_H_
