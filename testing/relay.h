// A TCP relay in front of one process that can lose track of its open
// connections: they go silent for good, with no reset, while new ones work.
//
//   Relay relay(engine.address());
//   cluster.Relist("engine-0", {{"address", relay.address().ToString()}});
//   relay.SilenceOpenConnections();

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
  // Connections opened before this call forward nothing more.
  void SilenceOpenConnections();
  [[nodiscard]] int connections_made() const { return made_; }

 private:
  void Accept(const std::stop_token& stop);
  void Forward(const std::stop_token& stop,
               Poco::Net::StreamSocket client,
               int generation);

  const NetAddress target_;
  Poco::Net::ServerSocket listener_;
  std::atomic<int> generation_{0};
  std::atomic<int> made_{0};
  std::mutex mutex_;
  std::list<std::jthread> connections_;
  std::jthread acceptor_;
};

}  // namespace carobshift

#endif  // TESTING_RELAY_H_
