// A TCP relay in front of one process that can blackhole its open connections:
// they stay open without a reset but transfer no more data, while new
// connections work. This is what a router does that loses its connection table.
//
//   Relay relay(engine.address());
//   cluster.UpdateInstance("engine-0",
//                          {{"address", relay.address().ToString()}});
//   relay.BlackholeOpenConnections();
//
// Cut() also cuts the path for new connections, in one of several forms, until
// Restore().

#ifndef TESTING_RELAY_H_
#define TESTING_RELAY_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <list>
#include <mutex>
#include <optional>
#include <thread>

#include "carobshift/base/net_address.h"

namespace carobshift {

// How a path between two processes is cut.
enum class CutForm {
  // Open connections are reset and new ones refused.
  kRefused,
  // Open connections transfer no more data, and new ones are never established.
  kHang,
  // Open connections go on, and new ones are refused.
  kNewRefused,
};

// Thread-safe, except that Cut() and Restore() are called from one thread.
class Relay {
 public:
  // Listens on any port of 127.0.0.1.
  explicit Relay(const NetAddress& target);
  Relay(const NetAddress& target, const NetAddress& listen);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  [[nodiscard]] NetAddress address() const;
  // Stops forwarding on the connections opened before this call.
  void BlackholeOpenConnections();
  void Cut(CutForm form);
  // Accepts connections again. Those cut before remain cut.
  void Restore();
  [[nodiscard]] int connections_accepted() const { return accepted_; }

 private:
  void StartAccepting();
  // Closes the listening socket.
  void StopAccepting();
  void Accept(const std::stop_token& stop);
  void Forward(const std::stop_token& stop,
               Poco::Net::StreamSocket client,
               int generation);

  const NetAddress target_;
  Poco::Net::ServerSocket listener_;
  const Poco::Net::SocketAddress listen_address_;
  // The accept queue of a listening socket that accepts nothing.
  std::optional<Poco::Net::StreamSocket> filler_;
  std::atomic<int> generation_{0};
  // Connections of earlier generations than this one are reset.
  std::atomic<int> first_kept_{0};
  std::atomic<int> accepted_{0};
  std::mutex mutex_;
  std::list<std::jthread> connections_;
  std::jthread acceptor_;
};

}  // namespace carobshift

#endif  // TESTING_RELAY_H_
