#include "testing/relay.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <array>

namespace carobshift {
namespace {

const Poco::Timespan kPollInterval(0, 2000);

// Forwards the bytes that are available. Returns false once the connection has
// ended.
bool ForwardAvailable(Poco::Net::StreamSocket& from,
                      Poco::Net::StreamSocket& to) {
  std::array<char, 65536> buffer;
  if (!from.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
    return true;
  const int size = from.receiveBytes(buffer.data(), buffer.size());
  if (size <= 0)
    return false;
  for (int sent = 0; sent < size;)
    sent += to.sendBytes(buffer.data() + sent, size - sent);
  return true;
}

}  // namespace

Relay::Relay(const NetAddress& target)
    : target_(target),
      listener_(Poco::Net::SocketAddress("127.0.0.1", 0)),
      acceptor_([this](const std::stop_token& stop) { Accept(stop); }) {}

Relay::~Relay() {
  acceptor_.request_stop();
  acceptor_.join();
}

NetAddress Relay::address() const {
  return {"127.0.0.1", listener_.address().port()};
}

void Relay::BlackholeOpenConnections() {
  ++generation_;
}

void Relay::Accept(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    if (!listener_.poll(kPollInterval, Poco::Net::Socket::SELECT_READ))
      continue;
    Poco::Net::StreamSocket client = listener_.acceptConnection();
    ++accepted_;
    const std::lock_guard lock(mutex_);
    connections_.emplace_back([this, client, generation = generation_.load()](
                                  const std::stop_token& stopped) {
      Forward(stopped, client, generation);
    });
  }
}

void Relay::Forward(const std::stop_token& stop,
                    Poco::Net::StreamSocket client,
                    int generation) {
  try {
    Poco::Net::StreamSocket server(
        Poco::Net::SocketAddress(target_.host, target_.port));
    server.setNoDelay(true);
    client.setNoDelay(true);
    while (!stop.stop_requested()) {
      // A blackholed connection stays open on both sides.
      const bool blackholed = generation != generation_;
      if (!blackholed && (!ForwardAvailable(client, server) ||
                          !ForwardAvailable(server, client)))
        return;
      (void)client.poll(kPollInterval, blackholed
                                           ? Poco::Net::Socket::SELECT_ERROR
                                           : Poco::Net::Socket::SELECT_READ);
    }
  } catch (const Poco::Exception&) {
    // One side closed; returning closes the other.
  }
}

}  // namespace carobshift
