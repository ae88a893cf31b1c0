// HttpExchange makes blocking HTTP calls. It reports whether any byte of a
// request may have reached the peer, and keeps a bounded pool of idle
// connections per address.
//
//   HttpExchange http(options);
//   HttpReply reply = http.Run(call);
//   if (reply.delivery == DeliveryState::kNotSent) ...   // safe to send
//   elsewhere
//
// Thread-safe; Run and Stream block.

#ifndef CAROBSHIFT_EXTERNAL_INTERNAL_HTTP_EXCHANGE_H_
#define CAROBSHIFT_EXTERNAL_INTERNAL_HTTP_EXCHANGE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "carobshift/base/net_address.h"
#include "carobshift/base/units.h"
#include "carobshift/external/http_options.h"

namespace carobshift {

struct HttpCall {
  NetAddress peer;
  std::string method = "GET";
  // Path and query, percent-encoded.
  std::string path;
  std::string body;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  // Maximum wait for the next byte, and for the reply's head and again for its
  // body (0: no limit).
  Milliseconds progress_timeout{2000};
  Milliseconds total_timeout{2000};
  // For calls that must not be retried. An idle connection may have died
  // unnoticed; the outcome of the call would then be unknown although the peer
  // is healthy. A new connection proves that the peer is reachable, and a
  // failure to connect proves that nothing was sent.
  bool new_connection = false;
};

enum class DeliveryState {
  // No byte of the request left this process.
  kNotSent,
  // The request may have arrived; there is no complete reply.
  kMayHaveArrived,
  // The reply is complete.
  kAnswered,
};

struct HttpReply {
  DeliveryState delivery = DeliveryState::kNotSent;
  // Whether the failure is a timeout rather than a closed connection.
  bool timed_out = false;
  // Whether the line consumer stopped the stream.
  bool cancelled = false;
  // Set once the reply's head has arrived, even if the body is incomplete.
  int status = 0;
  std::string body;
  std::string content_type;
  // Value of the reply's X-Run-State field; empty if absent.
  std::string run_state;
  // Reason of a failure, for logs.
  std::string failure;
};

// Receives each line of a streamed reply, without its line ending. Returns
// whether to continue.
using LineConsumer = std::function<bool(std::string_view line)>;

class HttpExchange {
 public:
  explicit HttpExchange(HttpOptions options);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  // Makes a call and reads the complete reply into `body`.
  [[nodiscard]] HttpReply Run(const HttpCall& call);

  // Makes a call and passes the lines of a reply of type text/event-stream to
  // `consumer`; any other reply is read into `body` as by Run.
  [[nodiscard]] HttpReply Stream(const HttpCall& call,
                                 const LineConsumer& consumer);

  [[nodiscard]] const HttpOptions& options() const { return options_; }

  // Returns the number of idle connections to `peer`.
  [[nodiscard]] std::size_t IdleConnections(const NetAddress& peer) const;

 private:
  class Connection;
  struct PeerConnections {
    std::deque<std::unique_ptr<Connection>> idle;
    // Incremented by each failure; connections of an earlier epoch aren't
    // reused.
    std::uint64_t epoch = 0;
    int in_use = 0;
  };
  class ScopedConnection;

  // Counts a new connection to `peer` as in use and returns its epoch.
  std::uint64_t BeginUse(const NetAddress& peer);
  std::unique_ptr<Connection> TakeIdleConnection(const NetAddress& peer);
  void ReleaseConnection(const NetAddress& peer,
                         std::unique_ptr<Connection> connection,
                         bool reusable,
                         bool failed);

  const HttpOptions options_;
  mutable std::mutex mutex_;
  // Holds only addresses with connections that are idle or in use.
  std::map<NetAddress, PeerConnections> peers_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_EXTERNAL_INTERNAL_HTTP_EXCHANGE_H_
