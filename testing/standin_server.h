// The HTTP server shared by all stand-ins: routes on top of the Poco HTTP
// server, fault injection by POST /faults, and a main loop.
//
//   cxxopts::Options options = StandinOptions("standin_x");
//   const auto flags = options.parse(argc, argv);
//   StandinServer server;
//   server.Route("GET", "/status", [](StandinExchange& x) {
//     x.Reply({{"used", 0}});
//   });
//   return server.Run(flags["listen"].as<std::string>());
//
// Faults common to all stand-ins, as fields of the posted JSON object: `silent`
// (true: requests get no response), `delay_ms` (delay before each request is
// handled), `fail_status` (respond with this status instead), `lose_replies`
// (how many replies to POST, PUT and DELETE are dropped after the request took
// effect).

#ifndef TESTING_STANDIN_SERVER_H_
#define TESTING_STANDIN_SERVER_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <signal.h>

#include <atomic>
#include <cstdint>
#include <cxxopts.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/result_code.h"
#include "carobshift/base/units.h"

namespace carobshift {

// The faults currently injected. Thread-safe.
class Faults {
 public:
  void Merge(const nlohmann::json& changes);
  [[nodiscard]] nlohmann::json All() const;
  [[nodiscard]] std::int64_t Number(const std::string& name,
                                    std::int64_t fallback = 0) const;
  [[nodiscard]] std::string Text(const std::string& name) const;
  [[nodiscard]] bool Flag(const std::string& name) const;
  // Decrements a counter. Returns false if it was 0.
  [[nodiscard]] bool ConsumeOne(const std::string& name);
  // Removes a value and returns it; null if it isn't set.
  [[nodiscard]] nlohmann::json Take(const std::string& name);

 private:
  mutable std::mutex mutex_;
  nlohmann::json values_ = nlohmann::json::object();
};

// One HTTP request and its response.
class StandinExchange {
 public:
  StandinExchange(Poco::Net::HTTPServerRequest& request,
                  Poco::Net::HTTPServerResponse& response);

  [[nodiscard]] const std::string& method() const { return method_; }
  // Segments of the path.
  [[nodiscard]] const std::vector<std::string>& path() const { return path_; }
  [[nodiscard]] const std::string& body() const { return body_; }
  [[nodiscard]] std::string Query(const std::string& name) const;
  [[nodiscard]] std::uint64_t QueryNumber(const std::string& name) const;
  [[nodiscard]] std::string Header(const std::string& name) const;
  // Returns the body as JSON. Throws nlohmann::json::exception if it is
  // invalid.
  [[nodiscard]] nlohmann::json Json() const;

  void Reply(const nlohmann::json& body);
  void ReplyRaw(int status, std::string_view type, std::string_view body);
  // Replies with the status and the typed error body of `code`.
  void ReplyError(ResultCode code, std::string_view message);
  void SetHeader(const std::string& name, const std::string& value);
  // Sends bytes ahead of the response.
  void SendRaw(std::string_view bytes);
  // Returns the address of the connection's other end.
  [[nodiscard]] std::string PeerAddress() const;
  // The response gets neither a length nor chunks, and ends with its
  // connection.
  void EndWithConnection();

  // Streaming responses. Each chunk is flushed at once. The Send methods return
  // false once the peer has closed the connection.
  void BeginStream(std::string_view type);
  bool SendChunk(std::string_view chunk);
  bool SendEvent(const nlohmann::json& event);
  [[nodiscard]] bool PeerClosed() const;
  // Closes the connection without a response.
  void CloseConnection();
  // The same, but with a reset.
  void ResetConnection();
  // Drops all following replies and closes the connection instead.
  void DropReply() { drop_reply_ = true; }

 private:
  Poco::Net::HTTPServerRequest& request_;
  Poco::Net::HTTPServerResponse& response_;
  std::string method_;
  std::vector<std::string> path_;
  std::map<std::string, std::string> query_;
  std::string body_;
  std::ostream* stream_ = nullptr;
  bool drop_reply_ = false;
  bool ends_with_connection_ = false;
};

// Returns the flags common to all stand-ins: `listen`, by default a port that
// the system chooses.
[[nodiscard]] cxxopts::Options StandinOptions(const std::string& name);

using StandinHandler = std::function<void(StandinExchange&)>;

class StandinServer {
 public:
  // Adds a route. A path segment "*" in `pattern` matches any segment. Add all
  // routes before Run().
  void Route(std::string method, std::string pattern, StandinHandler handler);
  [[nodiscard]] Faults& faults() { return faults_; }

  // Listens, prints "listening HOST:PORT" and serves until SIGTERM or SIGINT.
  int Run(const std::string& listen);

  // Simulates the crash of the process: all connections and the listening
  // socket are closed, and it listens again after `down`. Faults and what is
  // recorded stay. Thread-safe; returns at once.
  void Crash(Milliseconds down);

  // Handles one request. Called by the connection threads.
  void Serve(StandinExchange& exchange);

 private:
  struct RouteEntry {
    std::string method;
    std::vector<std::string> pattern;
    StandinHandler handler;
  };

  // Returns false when the server has crashed, true when it is to stop.
  [[nodiscard]] bool WaitForStop(const sigset_t& stop) const;
  void Dispatch(StandinExchange& exchange);
  bool ApplyFaults(StandinExchange& exchange);

  std::vector<RouteEntry> routes_;
  Faults faults_;
  std::atomic<bool> crashed_{false};
  std::atomic<std::int64_t> down_ms_{0};
};

// A rate limiter that simulates a link shared by all callers. Thread-safe.
class RateLimiter {
 public:
  // A rate of 0 means no limit.
  explicit RateLimiter(double units_per_second) : rate_(units_per_second) {}

  // Blocks until `units` have been transferred. Returns false at once if that
  // would take longer than `max_wait`.
  bool Acquire(double units, Milliseconds max_wait = Milliseconds(3600000));
  void set_rate(double units_per_second);

 private:
  std::mutex mutex_;
  double rate_;
  MonotonicTime next_free_;
};

}  // namespace carobshift

#endif  // TESTING_STANDIN_SERVER_H_
