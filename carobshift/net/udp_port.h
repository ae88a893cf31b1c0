// Sends and receives datagrams in the event loop.
//
//   auto port = UdpPort::Open(loop, address, [](std::string_view bytes) {});
//   port.value()->Send(peer, bytes);

#ifndef CAROBSHIFT_NET_UDP_PORT_H_
#define CAROBSHIFT_NET_UDP_PORT_H_

#include <Poco/Net/DatagramSocket.h>

#include <functional>
#include <memory>
#include <string_view>

#include "carobshift/base/net_address.h"
#include "carobshift/base/result.h"
#include "carobshift/net/event_loop.h"

namespace carobshift {

class UdpPort : public SocketHandler {
 public:
  using OnDatagram = std::function<void(std::string_view)>;

  // Maximum number of datagrams read per iteration.
  static constexpr int kReadsPerRound = 32;

  static Result<std::shared_ptr<UdpPort>> Open(EventLoop& loop,
                                               const NetAddress& address,
                                               OnDatagram on_datagram);

  // Sends a datagram. A datagram that can't be sent is lost, like one dropped
  // by the network.
  void Send(const NetAddress& to, std::string_view bytes);
  void Close();

  void OnReadable() override;
  void OnWritable() override {}
  void OnSocketError() override {}

 private:
  UdpPort(EventLoop& loop, OnDatagram on_datagram)
      : loop_(loop), on_datagram_(std::move(on_datagram)) {}

  EventLoop& loop_;
  OnDatagram on_datagram_;
  Poco::Net::DatagramSocket socket_;
  bool closed_ = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_UDP_PORT_H_
