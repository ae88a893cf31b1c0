// One HTTP request and its answer over Poco::Net, with exact knowledge of
// whether any byte may have reached the peer, and a bounded pool of kept-alive
// connections per address.
//
//   HttpExchange http(options);
//   HttpReply reply = http.Run(call);
//   if (reply.reach == HttpReach::kNotSent) ...   // safe to send elsewhere
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
  // Path and query, already encoded.
  std::string path;
  std::string body;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  // Longest wait for the next byte, and for the whole exchange (0: no bound).
  Milliseconds progress_timeout{2000};
  Milliseconds total_timeout{2000};
  // For calls that may not be repeated. A kept-alive connection may have been
  // lost unnoticed; the call would then fail with its outcome open although
  // the peer is well. A new connection proves that the peer is there, and a
  // failure to get one proves that nothing was sent.
  bool new_connection = false;
};

enum class HttpReach {
  // No byte of the request left this process.
  kNotSent,
  // The request may have arrived; there is no whole answer.
  kMayHaveArrived,
  // The answer is whole.
  kAnswered,
};

struct HttpReply {
  HttpReach reach = HttpReach::kNotSent;
  // The failure is a timeout rather than a closed connection.
  bool timed_out = false;
  // The line consumer asked to stop.
  bool cancelled = false;
  // Set once the answer's header has arrived, whole or not.
  int status = 0;
  std::string body;
  std::string content_type;
  // X-Run-State of the answer, if any.
  std::string run_state;
  // Cause of a failure, for logs.
  std::string failure;
};

// Gets each line of a streamed answer, without its line end. Returns whether
// to go on.
using LineConsumer = std::function<bool(std::string_view line)>;

class HttpExchange {
 public:
  explicit HttpExchange(HttpOptions options);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  // Reads the whole answer into `body`.
  [[nodiscard]] HttpReply Run(const HttpCall& call);

  // Feeds the lines of an answer of type text/event-stream to `consumer`;
  // any other answer is read into `body` as by Run.
  [[nodiscard]] HttpReply Stream(const HttpCall& call,
                                 const LineConsumer& consumer);

  [[nodiscard]] const HttpOptions& options() const { return options_; }

  // Idle connections kept to `peer`.
  [[nodiscard]] std::size_t IdleConnections(const NetAddress& peer) const;

 private:
  class Connection;
  struct PeerConnections {
    std::deque<std::unique_ptr<Connection>> idle;
    // Raised by each failure; connections of an earlier epoch aren't kept.
    std::uint64_t epoch = 0;
    int in_use = 0;
  };
  class Lease;

  // Counts a new connection to `peer`; returns the epoch it belongs to.
  std::uint64_t BeginUse(const NetAddress& peer);
  std::unique_ptr<Connection> TakeIdle(const NetAddress& peer);
  void Return(const NetAddress& peer,
              std::unique_ptr<Connection> connection,
              bool reusable,
              bool failed);

  const HttpOptions options_;
  mutable std::mutex mutex_;
  // Holds only addresses with idle or used connections.
  std::map<NetAddress, PeerConnections> peers_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_EXTERNAL_INTERNAL_HTTP_EXCHANGE_H_
