// Stand-in for the append-only log of the platform, in memory. Faults besides
// the common ones: `retain_records` (retention per stream),
// `appends_per_second`, `refuse` (true: appends are refused, reads work).

#include <Poco/Base64Encoder.h>

#include <condition_variable>
#include <cxxopts.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <sstream>

#include "testing/standin_server.h"

namespace carobshift {
namespace {

using nlohmann::json;

std::string ToBase64(const std::string& bytes) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return out.str();
}

class Log {
 public:
  explicit Log(Faults& faults, double appends_per_second)
      : faults_(faults), limiter_(appends_per_second) {}

  void Append(StandinExchange& exchange) {
    constexpr Milliseconds kMaxRateWait{1000};
    if (const auto rate = faults_.Number("appends_per_second"); rate > 0)
      limiter_.set_rate(static_cast<double>(rate));
    if (faults_.Flag("refuse") || !limiter_.Acquire(1, kMaxRateWait))
      return exchange.ReplyError(ResultCode::kLogUnavailable, "not appended");
    std::uint64_t offset = 0;
    {
      const std::lock_guard lock(mutex_);
      Stream& stream = streams_[exchange.path()[1]];
      offset = stream.first + stream.records.size();
      stream.records.push_back(exchange.body());
      Trim(stream);
    }
    appended_.notify_all();
    exchange.Reply({{"offset", offset}});
  }

  void Read(StandinExchange& exchange) {
    const std::uint64_t from = exchange.QueryNumber("from");
    const std::uint64_t max = exchange.QueryNumber("max");
    const Milliseconds wait(exchange.QueryNumber("wait_ms"));
    std::unique_lock lock(mutex_);
    Stream& stream = streams_[exchange.path()[1]];
    appended_.wait_for(lock, wait, [&] {
      return stream.first + stream.records.size() > from;
    });
    Trim(stream);
    const std::uint64_t end = stream.first + stream.records.size();
    std::uint64_t next = std::max(from, stream.first);
    json records = json::array();
    for (; next < end && records.size() < max; ++next)
      records.push_back(
          {{"offset", next},
           {"payload", ToBase64(stream.records[next - stream.first])}});
    const json reply = {{"first_retained", stream.first},
                        {"next", next},
                        {"records", std::move(records)}};
    lock.unlock();
    exchange.Reply(reply);
  }

 private:
  struct Stream {
    std::uint64_t first = 0;
    std::deque<std::string> records;
  };

  void Trim(Stream& stream) {
    constexpr std::int64_t kDefaultRetained = 100000;
    const auto retained = static_cast<std::size_t>(
        faults_.Number("retain_records", kDefaultRetained));
    while (stream.records.size() > retained) {
      stream.records.pop_front();
      ++stream.first;
    }
  }

  Faults& faults_;
  RateLimiter limiter_;
  std::mutex mutex_;
  std::condition_variable appended_;
  std::map<std::string, Stream> streams_;
};

}  // namespace
}  // namespace carobshift

int main(int argc, char** argv) {
  cxxopts::Options options = carobshift::StandinOptions("standin_log");
  options.add_options()("appends-per-second", "rate cap",
                        cxxopts::value<double>()->default_value("500"));
  const auto flags = options.parse(argc, argv);
  carobshift::StandinServer server;
  carobshift::Log log(server.faults(),
                      flags["appends-per-second"].as<double>());
  server.Route("POST", "/streams/*/records",
               [&](carobshift::StandinExchange& x) { log.Append(x); });
  server.Route("GET", "/streams/*/records",
               [&](carobshift::StandinExchange& x) { log.Read(x); });
  return server.Run(flags["listen"].as<std::string>());
}
