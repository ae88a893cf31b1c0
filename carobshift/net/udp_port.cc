#include "carobshift/net/udp_port.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <array>

namespace carobshift {
namespace {

constexpr std::size_t kMaxDatagram = 2048;

}  // namespace

Result<std::shared_ptr<UdpPort>> UdpPort::Open(EventLoop& loop,
                                               const NetAddress& address,
                                               OnDatagram on_datagram) {
  std::shared_ptr<UdpPort> port(new UdpPort(loop, std::move(on_datagram)));
  try {
    // Exclusive bind: two processes of the same instance would otherwise both
    // run and take the same lease.
    port->socket_.bind(Poco::Net::SocketAddress(address.host, address.port),
                       /*reuseAddress=*/false, /*reusePort=*/false);
    port->socket_.setBlocking(false);
  } catch (const Poco::Exception& e) {
    return Error{
        ResultCode::kInvalidSettings,
        "cannot bind UDP port " + address.ToString() + ": " + e.displayText()};
  }
  loop.Add(port->socket_, port, EventLoop::kRead);
  return port;
}

void UdpPort::Send(const NetAddress& to, std::string_view bytes) {
  try {
    socket_.sendTo(bytes.data(), static_cast<int>(bytes.size()),
                   Poco::Net::SocketAddress(to.host, to.port));
  } catch (const Poco::Exception&) {
    // The datagram is lost; the protocols on top repeat what matters.
  }
}

void UdpPort::Close() {
  if (closed_)
    return;
  closed_ = true;
  loop_.Remove(socket_);
  socket_.close();
}

void UdpPort::OnReadable() {
  std::array<char, kMaxDatagram> buffer;
  for (int i = 0; i < kReadsPerRound && !closed_; ++i) {
    int received = -1;
    try {
      received = socket_.receiveBytes(buffer.data(), kMaxDatagram);
    } catch (const Poco::Exception&) {
      return;
    }
    if (received < 0)
      return;
    on_datagram_({buffer.data(), static_cast<std::size_t>(received)});
  }
}

}  // namespace carobshift
