// Accepts TCP connections in the event loop.
//
//   auto listener = TcpListener::Open(loop, address, [](auto socket) { ... });
//   if (!listener.ok()) return listener.error();
//   listener.value()->Close();

#ifndef CAROBSHIFT_NET_TCP_LISTENER_H_
#define CAROBSHIFT_NET_TCP_LISTENER_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <memory>

#include "carobshift/base/net_address.h"
#include "carobshift/base/result.h"
#include "carobshift/net/event_loop.h"

namespace carobshift {

class TcpListener : public SocketHandler {
 public:
  using OnAccept = std::function<void(const Poco::Net::StreamSocket&)>;

  // Length of the accept queue. When it is full, further connections hang for
  // seconds at the caller.
  static constexpr int kBacklog = 1024;
  // Maximum number of connections accepted per iteration, so that a burst of
  // new connections doesn't delay the requests on existing ones.
  static constexpr int kAcceptsPerRound = 64;

  // Returns kInvalidSettings if the address can't be bound. With port 0 the
  // system chooses the port.
  static Result<std::shared_ptr<TcpListener>> Open(EventLoop& loop,
                                                   const NetAddress& address,
                                                   OnAccept on_accept);

  void Close();
  [[nodiscard]] std::uint16_t port() const { return port_; }

  void OnReadable() override;
  void OnWritable() override {}
  void OnSocketError() override {}

 private:
  TcpListener(EventLoop& loop, OnAccept on_accept)
      : loop_(loop), on_accept_(std::move(on_accept)) {}

  EventLoop& loop_;
  OnAccept on_accept_;
  Poco::Net::ServerSocket socket_;
  std::uint16_t port_ = 0;
  bool closed_ = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_TCP_LISTENER_H_
