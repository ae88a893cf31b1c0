#include "testing/relay.h"

#include <fcntl.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <array>

namespace carobshift {
namespace {

const Poco::Timespan kPollInterval(0, 2000);

// A child process of the test that inherited a socket would keep it open: a
// closed listener would go on to establish connections.
void CloseOnExec(const Poco::Net::Socket& socket) {
  fcntl(socket.impl()->sockfd(), F_SETFD, FD_CLOEXEC);
}

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

Relay::Relay(const NetAddress& target) : Relay(target, {"127.0.0.1", 0}) {}

Relay::Relay(const NetAddress& target, const NetAddress& listen)
    : target_(target),
      listener_(Poco::Net::SocketAddress(listen.host, listen.port)),
      listen_address_(listener_.address()) {
  StartAccepting();
}

Relay::~Relay() {
  StopAccepting();
}

void Relay::StartAccepting() {
  CloseOnExec(listener_);
  acceptor_ =
      std::jthread([this](const std::stop_token& stop) { Accept(stop); });
}

void Relay::StopAccepting() {
  acceptor_.request_stop();
  if (acceptor_.joinable())
    acceptor_.join();
  listener_.close();
}

void Relay::Cut(CutForm form) {
  StopAccepting();
  if (form == CutForm::kNewRefused)
    return;
  ++generation_;
  if (form == CutForm::kRefused) {
    first_kept_ = generation_.load();
    return;
  }
  // The kernel drops connection requests to a socket whose accept queue, of
  // length one, is full.
  listener_ = Poco::Net::ServerSocket(listen_address_, /*backlog=*/0);
  CloseOnExec(listener_);
  filler_.emplace(listen_address_);
  CloseOnExec(*filler_);
}

void Relay::Restore() {
  filler_.reset();
  listener_.close();
  listener_ = Poco::Net::ServerSocket(listen_address_);
  StartAccepting();
}

NetAddress Relay::address() const {
  return {listen_address_.host().toString(), listen_address_.port()};
}

void Relay::BlackholeOpenConnections() {
  ++generation_;
}

void Relay::Accept(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    if (!listener_.poll(kPollInterval, Poco::Net::Socket::SELECT_READ))
      continue;
    Poco::Net::StreamSocket client = listener_.acceptConnection();
    CloseOnExec(client);
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
    CloseOnExec(server);
    server.setNoDelay(true);
    client.setNoDelay(true);
    while (!stop.stop_requested()) {
      if (generation < first_kept_) {
        client.setLinger(true, 0);
        return;
      }
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
