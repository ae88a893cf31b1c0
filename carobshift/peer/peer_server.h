// PeerServer serves requests of other entries.
//
//   PeerServer server(options, secret, handler);
//   Result<NetAddress> address = server.Start();
//   ...
//   server.Stop();
//
// Each connection has its own thread. Connections beyond `max_connections` wait
// in the listen queue. A connection that sends anything but correctly signed
// frames is closed and counted; other connections are unaffected.

#ifndef CAROBSHIFT_PEER_PEER_SERVER_H_
#define CAROBSHIFT_PEER_PEER_SERVER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "carobshift/base/net_address.h"
#include "carobshift/base/result.h"
#include "carobshift/base/units.h"
#include "carobshift/peer/peer_messages.h"

namespace carobshift {

// Handles the requests of other entries. Called concurrently on several
// threads; may block.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  virtual CallReply OnForwardCall(const ForwardCall& call) = 0;
  virtual CallReply OnQueryOutcome(const QueryOutcome& query) = 0;
  virtual ConfigReply OnFetchConfig(const FetchConfig& fetch) = 0;
};

struct PeerServerOptions {
  // Port 0 lets the system choose.
  NetAddress listen;
  int max_connections = 256;
  // Maximum time for which a connection may fail to send expected data.
  Milliseconds idle_timeout{5000};
};

class PeerServer {
 public:
  // `handler` must outlive the server.
  PeerServer(PeerServerOptions options,
             std::string secret,
             PeerHandler& handler);
  ~PeerServer();

  // Starts listening and returns the bound address, or kInvalidSettings on
  // failure.
  Result<NetAddress> Start();
  // Stops accepting and waits for the connections being served.
  void Stop();

  // Number of connections closed because of invalid data.
  [[nodiscard]] std::uint64_t rejected() const { return rejected_; }

 private:
  struct Listener;

  PeerServerOptions options_;
  std::string secret_;
  PeerHandler& handler_;
  std::atomic<std::uint64_t> rejected_{0};
  std::unique_ptr<Listener> listener_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_PEER_PEER_SERVER_H_
