// Answers other entries.
//
//   PeerServer server(options, secret, handler);
//   Result<NetAddress> address = server.Start();
//   ...
//   server.Stop();
//
// One thread serves one connection; beyond `max_connections` new ones wait in
// the listen queue. A connection that sends anything but signed frames is
// closed and counted; the others go on.

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

// What an entry does for others. Called on many threads at once; may block.
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
  // How long a connection may stay without sending what is due.
  Milliseconds idle_timeout{5000};
};

class PeerServer {
 public:
  // `handler` must outlive the server.
  PeerServer(PeerServerOptions options,
             std::string secret,
             PeerHandler& handler);
  ~PeerServer();

  // The address it listens on; kInvalidSettings if it can't.
  Result<NetAddress> Start();
  // Accepts no more and waits for connections that are served.
  void Stop();

  // Connections closed for what they sent.
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
