// Stand-in for a replica on the surrounding platform: an engine that streams
// events, or a plain service, as the published interface of the platform
// describes them. It validates the expected instance and weight version,
// accepts orders to load weights, and reports its runs and the arrivals of
// requests, run or not, at GET /runs.
//
// Faults besides the common ones: `break_after` (closes the connection after
// this many events, once each time it is set), `pause_after` (sends nothing for
// `pause_ms` after this many events, with the connection open, once each time
// it is set), `pause_inside` (the same, in the middle of the event after this
// many), `order_silence` (this many orders get no response and are not carried
// out), `crash_body` (closes the connection of a request with this body as soon
// as it runs), `queue_ms` (queueing time before a request runs; the request
// does not run if its connection closes first), `limit` (text sent as the
// Server-Limit header), `brittle` (text sent as the Server-Brittle header),
// `leaving` (text sent as the Server-Leaving header), `reject` (each request is
// rejected), `retry_after` (text sent as the Retry-After header of rejections),
// `crash_part` (a request with this part in its prompt, unless it is the last,
// crashes the replica for `down_ms` when it begins to answer), `until_close`
// (answers have neither a length nor chunks and end with their connection),
// `endless` (a stream is one event, which lasts until its
// reader closes the connection), `slots` (a request beyond this many is
// rejected; 0: none is), `work_ms` (the time that a request holds its slot),
// `late_copies` (each rejection comes a second time, when the next response is
// due on its connection) and `cut` (an object, consumed by the next request
// that runs: the connection ends after the first `bytes` of the response, with
// a reset if `reset` is true; its `framing` is "length", "chunks" or
// "until_close"). GET /runs reports the sizes of the latest response cut so.
// A replica that states `brittle` and rejects more requests in a second than
// that falls over: it closes all connections for two seconds.

#include <atomic>
#include <cstdlib>
#include <cxxopts.hpp>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "testing/standin_server.h"

namespace carobshift {
namespace {

using nlohmann::json;

struct ReplicaOptions {
  std::string id;
  std::string model;
  // Written with each event if it isn't empty.
  std::string software;
  int events = 5;
  Milliseconds event_gap{20};
  Milliseconds load_time{300};
};

// A complete response as text.
struct ResponseText {
  std::string bytes;
  std::size_t head_size = 0;
};

std::string Chunk(const std::string& text) {
  std::ostringstream out;
  out << std::hex << text.size() << "\r\n" << text << "\r\n";
  return out.str();
}

// Returns the response with the head fields `fields` and a body of `pieces`.
ResponseText ComposeResponse(std::string fields,
                             const std::vector<std::string>& pieces,
                             const std::string& framing) {
  std::string body;
  for (const std::string& piece : pieces)
    body += framing == "chunks" ? Chunk(piece) : piece;
  if (framing == "chunks") {
    body += "0\r\n\r\n";
    fields += "Transfer-Encoding: chunked\r\n";
  } else if (framing == "length") {
    fields += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  } else {
    fields += "Connection: close\r\n";
  }
  const std::string head = "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
  return {head + body, head.size()};
}

// The slots of a replica. Thread-safe.
class Room {
 public:
  // Returns false if the request is rejected.
  bool TryEnter(const Faults& faults) {
    const std::lock_guard lock(mutex_);
    const std::int64_t slots = faults.Number("slots");
    if (slots == 0 || occupied_ < slots) {
      ++occupied_;
      return true;
    }
    ++rejections_;
    const std::string brittle = faults.Text("brittle");
    if (!brittle.empty())
      CountRejection(std::strtod(brittle.c_str(), nullptr));
    return false;
  }
  void Leave() {
    const std::lock_guard lock(mutex_);
    --occupied_;
  }
  [[nodiscard]] bool HasFallen() const {
    const std::lock_guard lock(mutex_);
    return MonotonicNow() < fallen_until_;
  }
  [[nodiscard]] int rejections() const {
    const std::lock_guard lock(mutex_);
    return rejections_;
  }
  [[nodiscard]] int falls() const {
    const std::lock_guard lock(mutex_);
    return falls_;
  }

 private:
  static constexpr Milliseconds kWindow{1000};
  static constexpr Milliseconds kFallTime{2000};

  void CountRejection(double most) {
    const MonotonicTime now = MonotonicNow();
    std::erase_if(latest_, [now](MonotonicTime rejected) {
      return now - rejected >= kWindow;
    });
    latest_.push_back(now);
    if (static_cast<double>(latest_.size()) <= most)
      return;
    latest_.clear();
    ++falls_;
    fallen_until_ = now + kFallTime;
  }

  mutable std::mutex mutex_;
  std::int64_t occupied_ = 0;
  int rejections_ = 0;
  int falls_ = 0;
  // Rejections in the last kWindow.
  std::vector<MonotonicTime> latest_;
  MonotonicTime fallen_until_{};
};

class Replica {
 public:
  Replica(ReplicaOptions options, StandinServer& server)
      : options_(std::move(options)),
        server_(server),
        faults_(server.faults()) {}

  void Run(StandinExchange& exchange) {
    const std::string request = exchange.Header("Request-Id");
    RecordArrival(exchange);
    SendLateCopy(exchange);
    exchange.SetHeader("Instance-Id", options_.id);
    const std::string limit = faults_.Text("limit");
    if (!limit.empty())
      exchange.SetHeader("Server-Limit", limit);
    const std::string leaving = faults_.Text("leaving");
    if (!leaving.empty())
      exchange.SetHeader("Server-Leaving", leaving);
    if (room_.HasFallen()) {
      exchange.CloseConnection();
      return;
    }
    const std::string brittle = faults_.Text("brittle");
    if (!brittle.empty())
      exchange.SetHeader("Server-Brittle", brittle);
    if (exchange.Header("Expect-Instance") != options_.id) {
      exchange.ReplyRaw(421, "text/plain", "");
      return;
    }
    const std::string expected_version = exchange.Header("Expect-Version");
    exchange.SetHeader("Weight-Versions", std::to_string(weights_.load()));
    if (!expected_version.empty() &&
        expected_version != std::to_string(weights_.load())) {
      exchange.ReplyRaw(421, "text/plain", "");
      return;
    }
    if (loading_ || request.empty() || faults_.Number("reject") > 0 ||
        !room_.TryEnter(faults_)) {
      Reject(exchange);
      return;
    }
    if (WaitInQueue(exchange))
      Work(exchange, request);
    room_.Leave();
  }

  void Report(StandinExchange& exchange) {
    exchange.Reply({{"busy", loading_.load()},
                    {"sequence", orders_.load()},
                    {"models", Models()}});
  }

  void Order(StandinExchange& exchange) {
    const json order = exchange.Json();
    if (faults_.ConsumeOne("order_silence")) {
      exchange.CloseConnection();
      return;
    }
    if (order.value("precondition", orders_.load()) != orders_.load() ||
        loading_.exchange(true)) {
      exchange.ReplyRaw(409, "application/json", "{}");
      return;
    }
    ++orders_;
    const int version = order.at("version").get<int>();
    loader_ = std::jthread([this, version] {
      std::this_thread::sleep_for(options_.load_time);
      weights_ = version;
      loading_ = false;
    });
    exchange.ReplyRaw(202, "application/json", "{}");
  }

  void Events(StandinExchange& exchange) {
    // This stand-in caches nothing. The call still blocks, as a long poll does
    // in the published interface.
    std::this_thread::sleep_for(Milliseconds(500));
    exchange.Reply({{"epoch", 1},
                    {"next_page_token", 0},
                    {"lost", false},
                    {"events", json::array()}});
  }

  void Runs(StandinExchange& exchange) {
    const std::lock_guard lock(mutex_);
    exchange.Reply({{"runs", runs_},
                    {"crashes", crashes_},
                    {"arrivals", arrivals_},
                    {"weights", weights_.load()},
                    {"rejections", room_.rejections()},
                    {"falls", room_.falls()},
                    {"late_copies", copies_sent_},
                    {"cut_response",
                     {{"size", cut_response_.bytes.size()},
                      {"head_size", cut_response_.head_size}}}});
  }

 private:
  void Reject(StandinExchange& exchange) {
    const std::string pause = faults_.Text("retry_after");
    if (!pause.empty())
      exchange.SetHeader("Retry-After", pause);
    const std::string request = exchange.Header("Request-Id");
    exchange.SetHeader("Request-Id", request);
    exchange.SetHeader("Not-Executed", "1");
    if (faults_.Number("late_copies") > 0) {
      const std::lock_guard lock(mutex_);
      late_copies_[exchange.PeerAddress()] =
          "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
          "Not-Executed: 1\r\nRequest-Id: " +
          request + "\r\n\r\n";
    }
    exchange.ReplyRaw(503, "text/plain", "");
  }

  void SendLateCopy(StandinExchange& exchange) {
    std::string copy;
    {
      const std::lock_guard lock(mutex_);
      const auto found = late_copies_.find(exchange.PeerAddress());
      if (found == late_copies_.end())
        return;
      copy = std::move(found->second);
      late_copies_.erase(found);
      ++copies_sent_;
    }
    exchange.SendRaw(copy);
  }

  void Work(StandinExchange& exchange, const std::string& request) {
    RecordRun(exchange);
    std::this_thread::sleep_for(Milliseconds(faults_.Number("work_ms")));
    const std::string crash_body = faults_.Text("crash_body");
    if (!crash_body.empty() && exchange.body() == crash_body) {
      exchange.CloseConnection();
      return;
    }
    if (Crashes(exchange)) {
      exchange.CloseConnection();
      return;
    }
    if (const json cut = faults_.Take("cut"); cut.is_object()) {
      SendCutResponse(exchange, cut);
      return;
    }
    if (faults_.Number("until_close") > 0)
      exchange.EndWithConnection();
    exchange.SetHeader("Request-Id", request);
    exchange.SetHeader("Response-Stamp", options_.id + "." + request);
    if (options_.model.empty())
      exchange.ReplyRaw(200, "text/plain", "done " + exchange.body());
    else
      Stream(exchange);
  }

  void SendCutResponse(StandinExchange& exchange, const json& cut) {
    const std::string request = exchange.Header("Request-Id");
    std::string fields = options_.model.empty()
                             ? "Content-Type: text/plain\r\n"
                             : "Content-Type: text/event-stream\r\n";
    fields += "Instance-Id: " + options_.id +
              "\r\nWeight-Versions: " + std::to_string(weights_.load()) +
              "\r\nRequest-Id: " + request +
              "\r\nResponse-Stamp: " + options_.id + "." + request + "\r\n";
    std::vector<std::string> pieces;
    if (options_.model.empty()) {
      pieces = {"done ", exchange.body()};
    } else {
      const std::string after = exchange.Header("Last-Event-Id");
      for (int number = after.empty() ? 0 : std::stoi(after);
           number < options_.events; ++number)
        pieces.push_back(EventText(number + 1));
    }
    const ResponseText response =
        ComposeResponse(fields, pieces, cut.at("framing").get<std::string>());
    {
      const std::lock_guard lock(mutex_);
      cut_response_ = response;
    }
    exchange.SendRaw(
        response.bytes.substr(0, cut.at("bytes").get<std::size_t>()));
    if (cut.at("reset").get<bool>())
      exchange.ResetConnection();
    else
      exchange.CloseConnection();
  }

  // Returns false if the caller has disconnected.
  bool WaitInQueue(const StandinExchange& exchange) {
    const MonotonicTime run_at =
        MonotonicNow() + Milliseconds(faults_.Number("queue_ms"));
    while (MonotonicNow() < run_at) {
      if (exchange.PeerClosed())
        return false;
      std::this_thread::sleep_for(Milliseconds(5));
    }
    return true;
  }

  [[nodiscard]] static std::int64_t NowMs() {
    return std::chrono::duration_cast<Milliseconds>(
               MonotonicNow().time_since_epoch())
        .count();
  }

  void RecordArrival(const StandinExchange& exchange) {
    const std::lock_guard lock(mutex_);
    arrivals_.push_back({{"request", exchange.Header("Request-Id")},
                         {"parts", exchange.Header("Prompt-Prefix")},
                         {"at_ms", NowMs()}});
  }

  // Returns whether the request crashes the replica, which it then has.
  bool Crashes(const StandinExchange& exchange) {
    const std::string part = faults_.Text("crash_part");
    if (part.empty())
      return false;
    const std::string prefix = "," + exchange.Header("Prompt-Prefix");
    const std::size_t at = prefix.find("," + part + ":");
    if (at == std::string::npos || at == prefix.rfind(','))
      return false;
    const std::lock_guard lock(mutex_);
    crashes_.push_back({{"at_ms", NowMs()}});
    server_.Crash(Milliseconds(faults_.Number("down_ms")));
    return true;
  }

  void RecordRun(StandinExchange& exchange) {
    const std::lock_guard lock(mutex_);
    runs_.push_back({{"request", exchange.Header("Request-Id")},
                     {"account", exchange.Header("Tenant-Name")},
                     {"key", exchange.Header("X-Api-Key")},
                     {"scope", exchange.Header("Cache-Salt")},
                     {"after", exchange.Header("Last-Event-Id")},
                     {"body", exchange.body()},
                     {"at_ms", NowMs()}});
  }

  void Stream(StandinExchange& exchange) {
    const std::string after = exchange.Header("Last-Event-Id");
    int number = after.empty() ? 0 : std::stoi(after);
    exchange.BeginStream("text/event-stream");
    if (faults_.Number("endless") > 0) {
      const std::string piece = "data: " + std::string(16000, 'x') + "\n";
      while (exchange.SendChunk(piece)) {
      }
      exchange.CloseConnection();
      return;
    }
    while (number < options_.events) {
      ++number;
      if (!exchange.SendChunk(EventText(number)))
        return;
      if (faults_.Number("break_after") == number) {
        faults_.Merge({{"break_after", 0}});
        exchange.SendChunk("id: 99\nda");
        exchange.CloseConnection();
        return;
      }
      if (faults_.Number("pause_inside") == number) {
        exchange.SendChunk("id: 99\nda");
        std::this_thread::sleep_for(Milliseconds(faults_.Number("pause_ms")));
      }
      if (faults_.Number("pause_after") == number) {
        faults_.Merge({{"pause_after", 0}});
        std::this_thread::sleep_for(Milliseconds(faults_.Number("pause_ms")));
      }
      std::this_thread::sleep_for(options_.event_gap);
    }
  }

  [[nodiscard]] std::string EventText(int number) const {
    std::string text = "id: " + std::to_string(number) + "\ndata: token" +
                       std::to_string(number);
    if (!options_.software.empty())
      text += " of " + options_.software;
    return text + "\n\n";
  }

  [[nodiscard]] json Models() const {
    json models = json::array();
    if (!options_.model.empty()) {
      models.push_back(
          {{"name", options_.model}, {"version", weights_.load()}});
    }
    return models;
  }

  ReplicaOptions options_;
  StandinServer& server_;
  Faults& faults_;
  Room room_;
  std::atomic<int> weights_{1};
  std::atomic<int> orders_{0};
  std::atomic<bool> loading_{false};
  std::jthread loader_;
  std::mutex mutex_;
  json runs_ = json::array();
  json arrivals_ = json::array();
  json crashes_ = json::array();
  // Copies of rejections that are still to be sent, by the connection's other
  // end.
  std::map<std::string, std::string> late_copies_;
  int copies_sent_ = 0;
  // The latest response to the fault `cut`.
  ResponseText cut_response_;
};

}  // namespace
}  // namespace carobshift

int main(int argc, char** argv) {
  cxxopts::Options options = carobshift::StandinOptions("standin_replica");
  options.add_options()("id", "its id", cxxopts::value<std::string>())(
      "model", "empty for a plain service",
      cxxopts::value<std::string>()->default_value(""))(
      "software", "version that its events state; none if empty",
      cxxopts::value<std::string>()->default_value(""))(
      "events", "in a stream", cxxopts::value<int>()->default_value("5"))(
      "event-gap-ms", "between two events",
      cxxopts::value<int>()->default_value("20"));
  const auto flags = options.parse(argc, argv);
  carobshift::ReplicaOptions replica_options;
  replica_options.id = flags["id"].as<std::string>();
  replica_options.model = flags["model"].as<std::string>();
  replica_options.software = flags["software"].as<std::string>();
  replica_options.events = flags["events"].as<int>();
  replica_options.event_gap =
      carobshift::Milliseconds(flags["event-gap-ms"].as<int>());
  carobshift::StandinServer server;
  carobshift::Replica replica(replica_options, server);
  using Exchange = carobshift::StandinExchange;
  server.Route("GET", "/report", [&](Exchange& x) { replica.Report(x); });
  server.Route("POST", "/order", [&](Exchange& x) { replica.Order(x); });
  server.Route("GET", "/kv-events", [&](Exchange& x) { replica.Events(x); });
  server.Route("GET", "/runs", [&](Exchange& x) { replica.Runs(x); });
  server.Route("POST", "/*/*", [&](Exchange& x) { replica.Run(x); });
  server.Route("GET", "/*/*", [&](Exchange& x) { replica.Run(x); });
  return server.Run(flags["listen"].as<std::string>());
}
