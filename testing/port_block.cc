#include "testing/port_block.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <unistd.h>

#include <stdexcept>

namespace carobshift {
namespace {

using Poco::Net::SocketAddress;

constexpr int kFirstPort = 20000;
constexpr int kBlocks = 1000;
constexpr char kReservationHost[] = "127.0.3.1";

// Returns false if another socket has the address. `reuse_address`: connections
// that ended lately on the port don't count.
template <typename Socket>
bool TryBind(Socket& socket, const SocketAddress& address, bool reuse_address) {
  try {
    socket.bind(address, reuse_address, /*reusePort=*/false);
    return true;
  } catch (const Poco::Net::NetException&) {
    return false;
  }
}

bool IsFree(const SocketAddress& address) {
  Poco::Net::ServerSocket stream;
  Poco::Net::DatagramSocket datagram;
  return TryBind(stream, address, /*reuse_address=*/true) &&
         TryBind(datagram, address, /*reuse_address=*/false);
}

bool AreFree(const std::vector<std::string>& hosts, std::uint16_t first) {
  for (const std::string& host : hosts) {
    for (int offset = 0; offset < PortBlock::kSize; ++offset) {
      if (!IsFree({host, static_cast<std::uint16_t>(first + offset)}))
        return false;
    }
  }
  return true;
}

}  // namespace

PortBlock::PortBlock(const std::vector<std::string>& hosts) {
  // Processes begin at different blocks, so that a block is rarely taken.
  const int begin = getpid() % kBlocks;
  for (int tried = 0; tried < kBlocks; ++tried) {
    const int block = (begin + tried) % kBlocks;
    const auto first = static_cast<std::uint16_t>(kFirstPort + block * kSize);
    Poco::Net::ServerSocket reservation;
    if (!TryBind(reservation, {kReservationHost, first},
                 /*reuse_address=*/false) ||
        !AreFree(hosts, first)) {
      continue;
    }
    reservation_ = reservation;
    first_ = first;
    return;
  }
  throw std::runtime_error("no block of ports is free");
}

}  // namespace carobshift
