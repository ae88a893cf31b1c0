#include "testing/raw_endpoint.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace carobshift {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";

// Returns the length of the body that the head states.
std::size_t BodyLength(std::string head) {
  std::transform(head.begin(), head.end(), head.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  constexpr std::string_view kField = "\r\ncontent-length:";
  const std::size_t at = head.find(kField);
  if (at == std::string::npos)
    return 0;
  return std::strtoul(head.c_str() + at + kField.size(), nullptr, 10);
}

// Reads until `done` returns true for all that has come. Returns false if the
// connection ends before.
template <typename Done>
bool ReadUntil(Poco::Net::StreamSocket& socket,
               std::string& all,
               const Done& done) {
  std::array<char, 4096> buffer;
  while (!done(all)) {
    const int received = socket.receiveBytes(buffer.data(), buffer.size());
    if (received <= 0)
      return false;
    all.append(buffer.data(), static_cast<std::size_t>(received));
  }
  return true;
}

}  // namespace

RawEndpoint::RawEndpoint(RawAnswer answer)
    : answer_(std::move(answer)),
      listener_(Poco::Net::SocketAddress("127.0.0.1", 0)),
      thread_([this] { Run(); }) {}

RawEndpoint::~RawEndpoint() {
  stopped_ = true;
  thread_.join();
}

void RawEndpoint::SetAnswer(RawAnswer answer) {
  const std::lock_guard lock(mutex_);
  answer_ = std::move(answer);
}

NetAddress RawEndpoint::address() const {
  return {"127.0.0.1", listener_.address().port()};
}

void RawEndpoint::Run() {
  constexpr int kPollMicroseconds = 20'000;
  while (!stopped_) {
    if (!listener_.poll(Poco::Timespan(kPollMicroseconds),
                        Poco::Net::Socket::SELECT_READ))
      continue;
    try {
      Poco::Net::StreamSocket socket = listener_.acceptConnection();
      Serve(socket);
    } catch (const Poco::Exception&) {
      // The peer has ended the connection, as it may.
    }
  }
}

void RawEndpoint::Serve(Poco::Net::StreamSocket& socket) {
  constexpr long kMaxSilenceSeconds = 2;
  socket.setReceiveTimeout(Poco::Timespan(kMaxSilenceSeconds, 0));
  std::string request;
  const bool has_head = ReadUntil(socket, request, [](const std::string& all) {
    return all.find(kHeadEnd) != std::string::npos;
  });
  if (!has_head)
    return;
  ++requests_;
  RawAnswer answer;
  {
    const std::lock_guard lock(mutex_);
    answer = answer_;
  }
  if (answer.reads_body) {
    const std::size_t head = request.find(kHeadEnd) + kHeadEnd.size();
    const std::size_t size = head + BodyLength(request.substr(0, head));
    (void)ReadUntil(socket, request, [size](const std::string& all) {
      return all.size() >= size;
    });
  }
  socket.sendBytes(answer.reply.data(), static_cast<int>(answer.reply.size()));
  if (answer.reset)
    socket.setLinger(true, 0);
  socket.close();
}

void AddRawEndpoint(GatewayCluster& cluster, const RawEndpoint& endpoint) {
  cluster.PutKeyed("keyed.servers", "raw",
                   nlohmann::json{{"service", "desks"},
                                  {"address", endpoint.address().ToString()},
                                  {"zone", "z1"},
                                  {"version", "v1"},
                                  {"slots", 16},
                                  {"state", "ready"},
                                  {"sequence", 1},
                                  {"born", 0},
                                  {"models", nlohmann::json::array()}}
                       .dump());
}

}  // namespace carobshift
