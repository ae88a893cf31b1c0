// Stand-in for the log of the surrounding platform, as its published interface
// describes it: append, blocking read, and the newest record of each key.
// Supports the faults common to all stand-ins. POST /forget drops the old
// records of a stream, as the platform does at the end of its retention period.

#include <Poco/Base64Encoder.h>
#include <condition_variable>
#include <cxxopts.hpp>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

#include "testing/standin_server.h"

namespace carobshift {
namespace {

using nlohmann::json;

constexpr std::size_t kLengthBytes = 4;

std::string BigEndian(std::uint64_t value, int bytes) {
  constexpr int kBitsPerByte = 8;
  std::string out;
  for (int i = bytes - 1; i >= 0; --i)
    out.push_back(static_cast<char>(value >> (i * kBitsPerByte) & 0xff));
  return out;
}

std::size_t LengthAt(std::string_view bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i)
    length = length << 8 | static_cast<unsigned char>(bytes[i]);
  return length;
}

std::string ToBase64(const std::string& text) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder << text;
  encoder.close();
  return out.str();
}

// Returns a key as JSON text. Bytes that aren't ASCII are escaped as lone
// surrogates, as some JSON libraries do with what isn't UTF-8.
std::string KeyText(const std::string& key) {
  constexpr unsigned char kFirstBeyondAscii = 0x80;
  constexpr char kHexDigits[] = "0123456789abcdef";
  std::string text = "\"";
  for (const char byte : key) {
    const auto code = static_cast<unsigned char>(byte);
    if (code >= kFirstBeyondAscii) {
      text += "\\udc";
      text += {kHexDigits[code >> 4], kHexDigits[code & 0xf]};
    } else {
      const std::string quoted = json(std::string(1, byte)).dump();
      text += quoted.substr(1, quoted.size() - 2);
    }
  }
  return text + '"';
}

struct Stream {
  std::vector<std::string> records;
  std::uint64_t first = 0;
  // For a keyed stream: offset and value of the newest record of each key.
  std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
};

class PlatformLog {
 public:
  void Append(StandinExchange& exchange) {
    const std::lock_guard lock(mutex_);
    const std::string topic = exchange.Query("topic");
    Stream& stream = streams_[topic];
    const std::uint64_t offset = stream.records.size();
    if (!exchange.Query("at").empty() && exchange.QueryNumber("at") != offset) {
      exchange.ReplyRaw(412, "application/json",
                        json{{"end_offset", offset}}.dump());
      return;
    }
    std::string_view body = exchange.body();
    while (body.size() >= kLengthBytes) {
      const std::size_t length = LengthAt(body);
      Add(topic, stream, std::string(body.substr(kLengthBytes, length)));
      body.remove_prefix(std::min(body.size(), kLengthBytes + length));
    }
    changed_.notify_all();
    exchange.Reply({{"offset", offset}, {"end_offset", stream.records.size()}});
  }

  void Read(StandinExchange& exchange) {
    std::unique_lock lock(mutex_);
    Stream& stream = streams_[exchange.Query("topic")];
    const std::uint64_t from = exchange.QueryNumber("from");
    const Milliseconds wait(exchange.Query("wait_ms").empty()
                                ? 0
                                : exchange.QueryNumber("wait_ms"));
    changed_.wait_for(lock, wait, [&] { return stream.records.size() > from; });
    if (from < stream.first) {
      exchange.ReplyRaw(410, "application/json",
                        json{{"first_offset", stream.first}}.dump());
      return;
    }
    std::string body =
        BigEndian(stream.records.size(), 8) + BigEndian(stream.first, 8);
    for (std::uint64_t i = from; i < stream.records.size(); ++i) {
      const std::string& record = stream.records[i];
      body += BigEndian(record.size(), kLengthBytes) + record;
    }
    exchange.ReplyRaw(200, "application/octet-stream", body);
  }

  void Newest(StandinExchange& exchange) {
    const std::lock_guard lock(mutex_);
    const Stream& stream = streams_[exchange.Query("topic")];
    std::string items;
    for (const auto& [key, newest] : stream.newest) {
      items += (items.empty() ? "" : ",") + std::string("{\"key\":") +
               KeyText(key) + ",\"value\":\"" + ToBase64(newest.second) +
               "\",\"offset\":" + std::to_string(newest.first) + "}";
    }
    exchange.ReplyRaw(200, "application/json",
                      "{\"items\":[" + items +
                          "],\"has_more\":false,\"end_offset\":" +
                          std::to_string(stream.records.size()) + "}");
  }

  void DropOldRecords(StandinExchange& exchange) {
    const std::lock_guard lock(mutex_);
    Stream& stream = streams_[exchange.Query("topic")];
    stream.first = stream.records.size();
    exchange.Reply({{"first_offset", stream.first}});
  }

 private:
  static void Add(const std::string& topic,
                  Stream& stream,
                  const std::string& record) {
    const std::uint64_t offset = stream.records.size();
    stream.records.push_back(record);
    if (!topic.starts_with("keyed.") || record.empty())
      return;
    const auto length = static_cast<unsigned char>(record.front());
    if (record.size() < std::size_t{1} + length)
      return;
    const std::string key = record.substr(1, length);
    const std::string value = record.substr(std::size_t{1} + length);
    if (value.empty())
      stream.newest.erase(key);
    else
      stream.newest[key] = {offset, value};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Stream> streams_;
};

}  // namespace
}  // namespace carobshift

int main(int argc, char** argv) {
  cxxopts::Options options = carobshift::StandinOptions("standin_platform");
  const auto flags = options.parse(argc, argv);
  carobshift::StandinServer server;
  carobshift::PlatformLog log;
  using Exchange = carobshift::StandinExchange;
  server.Route("POST", "/log-append", [&](Exchange& x) { log.Append(x); });
  server.Route("GET", "/log-read", [&](Exchange& x) { log.Read(x); });
  server.Route("GET", "/log-newest", [&](Exchange& x) { log.Newest(x); });
  server.Route("POST", "/forget", [&](Exchange& x) { log.DropOldRecords(x); });
  return server.Run(flags["listen"].as<std::string>());
}
