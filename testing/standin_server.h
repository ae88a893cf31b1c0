// What all stand-ins share: routes over Poco's HTTP server, faults switched by
// POST /faults, and a main function.
//
//   cxxopts::Options options = StandinOptions("standin_x");
//   const auto flags = options.parse(argc, argv);
//   StandinServer server;
//   server.Route("GET", "/status", [](StandinExchange& x) {
//     x.Reply({{"used", 0}});
//   });
//   return server.Run(flags["listen"].as<std::string>());
//
// Faults that every stand-in knows, as fields of the JSON object posted:
// `silent` (true: no answer while set), `delay_ms` (before each request),
// `fail_status` (answer with this status instead), `lose_replies` (how many
// replies to POST, PUT and DELETE are lost after their effect).

#ifndef TESTING_STANDIN_SERVER_H_
#define TESTING_STANDIN_SERVER_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

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

// The faults in force. Thread-safe.
class Faults {
 public:
  void Merge(const nlohmann::json& changes);
  [[nodiscard]] nlohmann::json All() const;
  [[nodiscard]] std::int64_t Number(const std::string& name,
                                    std::int64_t fallback = 0) const;
  [[nodiscard]] std::string Text(const std::string& name) const;
  [[nodiscard]] bool Flag(const std::string& name) const;
  // Counts a number down by one; false if it was 0.
  [[nodiscard]] bool TakeOne(const std::string& name);

 private:
  mutable std::mutex mutex_;
  nlohmann::json values_ = nlohmann::json::object();
};

// One request and its answer.
class StandinExchange {
 public:
  StandinExchange(Poco::Net::HTTPServerRequest& request,
                  Poco::Net::HTTPServerResponse& response);

  [[nodiscard]] const std::string& method() const { return method_; }
  // Parts of the path between slashes.
  [[nodiscard]] const std::vector<std::string>& path() const { return path_; }
  [[nodiscard]] const std::string& body() const { return body_; }
  [[nodiscard]] std::string Query(const std::string& name) const;
  [[nodiscard]] std::uint64_t QueryNumber(const std::string& name) const;
  [[nodiscard]] std::string Header(const std::string& name) const;
  // The body as JSON; throws nlohmann::json::exception.
  [[nodiscard]] nlohmann::json Json() const;

  void Reply(const nlohmann::json& body);
  void ReplyRaw(int status, std::string_view type, std::string_view body);
  // An error body that names `code`.
  void Refuse(ResultCode code, std::string_view message);
  void SetHeader(const std::string& name, const std::string& value);

  // Streams: pieces are sent at once. False once the peer is gone.
  void BeginStream(std::string_view type);
  bool SendPiece(std::string_view piece);
  bool SendEvent(const nlohmann::json& event);
  [[nodiscard]] bool PeerGone() const;
  // Closes the connection without an answer.
  void Abandon();
  // Replies from here on are dropped and the connection closed.
  void LoseReply() { lose_reply_ = true; }

 private:
  Poco::Net::HTTPServerRequest& request_;
  Poco::Net::HTTPServerResponse& response_;
  std::string method_;
  std::vector<std::string> path_;
  std::map<std::string, std::string> query_;
  std::string body_;
  std::ostream* stream_ = nullptr;
  bool lose_reply_ = false;
};

// The flag that all stand-ins have: `listen`, by default at a port that the
// system chooses.
[[nodiscard]] cxxopts::Options StandinOptions(const std::string& name);

using StandinHandler = std::function<void(StandinExchange&)>;

class StandinServer {
 public:
  // `pattern` is a path whose parts may be "*". All routes are added before
  // Run.
  void Route(std::string method, std::string pattern, StandinHandler handler);
  [[nodiscard]] Faults& faults() { return faults_; }

  // Listens, prints "listening HOST:PORT" and serves until SIGTERM or SIGINT.
  int Run(const std::string& listen);

  // Used by the connections.
  void Serve(StandinExchange& exchange);

 private:
  struct RouteEntry {
    std::string method;
    std::vector<std::string> pattern;
    StandinHandler handler;
  };

  void Dispatch(StandinExchange& exchange);
  bool ApplyFaults(StandinExchange& exchange);

  std::vector<RouteEntry> routes_;
  Faults faults_;
};

// A link of limited rate, shared by all that take from it. Thread-safe.
class RateLimiter {
 public:
  // 0: no limit.
  explicit RateLimiter(double units_per_second) : rate_(units_per_second) {}

  // Blocks until `units` have passed. False, at once, if that would take
  // longer than `longest`.
  bool Take(double units, Milliseconds longest = Milliseconds(3600000));
  void set_rate(double units_per_second);

 private:
  std::mutex mutex_;
  double rate_;
  MonotonicTime next_free_;
};

}  // namespace carobshift

#endif  // TESTING_STANDIN_SERVER_H_
