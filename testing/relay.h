// A TCP relay in front of one process that can blackhole its open connections:
// they stay open without a reset but transfer no more data, while new
// connections work. This is what a router does that loses its connection table.
//
//   Relay relay(engine.address());
//   cluster.UpdateInstance("engine-0",
//                          {{"address", relay.address().ToString()}});
//   relay.BlackholeOpenConnections();

#ifndef TESTING_RELAY_H_
#define TESTING_RELAY_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <list>
#include <mutex>
#include <thread>

#include "carobshift/base/net_address.h"

namespace carobshift {

// Thread-safe.
class Relay {
 public:
  explicit Relay(const NetAddress& target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  [[nodiscard]] NetAddress address() const;
  // Stops forwarding on the connections opened before this call.
  void BlackholeOpenConnections();
  [[nodiscard]] int connections_accepted() const { return accepted_; }

 private:
  void Accept(const std::stop_token& stop);
  void Forward(const std::stop_token& stop,
               Poco::Net::StreamSocket client,
               int generation);

  const NetAddress target_;
  Poco::Net::ServerSocket listener_;
  std::atomic<int> generation_{0};
  std::atomic<int> accepted_{0};
  std::mutex mutex_;
  std::list<std::jthread> connections_;
  std::jthread acceptor_;
};

}  // namespace carobshift

#endif  // TESTING_RELAY_H_
