#include "carobshift/external/internal/http_exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <utility>

#include "carobshift/net/blocking_http_call.h"
#include "carobshift/net/http_message.h"
#include "carobshift/net/line_splitter.h"

namespace carobshift {
namespace {

Poco::Timespan ToTimespan(Milliseconds time) {
  return Poco::Timespan(Microseconds(time).count());
}

std::string FieldOf(const HttpHead& head, std::string_view name) {
  return std::string(head.Find(name).value_or(""));
}

}  // namespace

class HttpExchange::Connection {
 public:
  explicit Connection(const NetAddress& peer, Milliseconds timeout)
      : socket_(ConnectBlocking(peer, timeout, timeout)) {}

  // An idle connection is readable only if the peer closed it.
  [[nodiscard]] bool ClosedByPeer() const {
    return socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ |
                                               Poco::Net::Socket::SELECT_ERROR);
  }
  void SetProgressTimeout(Milliseconds timeout) {
    socket_.setReceiveTimeout(ToTimespan(timeout));
    socket_.setSendTimeout(ToTimespan(timeout));
  }
  [[nodiscard]] Poco::Net::StreamSocket& socket() { return socket_; }

  std::uint64_t epoch = 0;
  MonotonicTime idle_since;

 private:
  Poco::Net::StreamSocket socket_;
};

// Owns one connection during an exchange, and returns it to the pool or closes
// it afterwards.
class HttpExchange::ScopedConnection {
 public:
  ScopedConnection(HttpExchange& http, const HttpCall& call)
      : http_(http), call_(call) {
    if (!call.new_connection)
      connection_ = http.TakeIdleConnection(call.peer);
    if (connection_)
      return;
    const std::uint64_t epoch = http.BeginUse(call.peer);
    try {
      connection_ = std::make_unique<Connection>(call.peer,
                                                 http.options_.connect_timeout);
      connection_->epoch = epoch;
    } catch (...) {
      http.ReleaseConnection(call.peer, nullptr, false, true);
      throw;
    }
  }
  ~ScopedConnection() {
    http_.ReleaseConnection(call_.peer, std::move(connection_), reusable,
                            failed);
  }
  ScopedConnection(const ScopedConnection&) = delete;
  ScopedConnection& operator=(const ScopedConnection&) = delete;

  [[nodiscard]] Connection& connection() { return *connection_; }

  bool reusable = false;
  bool failed = true;

 private:
  HttpExchange& http_;
  const HttpCall& call_;
  std::unique_ptr<Connection> connection_;
};

namespace {

std::string SerializeCall(const HttpCall& call) {
  HttpHead head;
  head.method = call.method;
  head.target = call.path;
  head.Set("Host", call.peer.ToString());
  if (call.method != "GET") {
    head.Set("Content-Length", std::to_string(call.body.size()));
    head.Set("Content-Type", call.content_type);
  }
  for (const auto& [name, value] : call.headers)
    head.Set(name, value);
  return SerializeRequestHead(head).append(call.body);
}

MonotonicTime DeadlineOf(const HttpCall& call, MonotonicTime now) {
  return call.total_timeout.count() > 0 ? now + call.total_timeout
                                        : MonotonicTime::max();
}

// Throws Poco::DataException if the body exceeds `max_bytes`.
void ReadAll(BlockingHttpCall& http, std::size_t max_bytes, std::string& body) {
  while (http.ReadBody(body)) {
    if (body.size() > max_bytes)
      throw Poco::DataException("answer too large");
  }
}

// Returns false if the consumer has stopped. Throws Poco::DataException if a
// line is too long.
bool ReadLines(BlockingHttpCall& http, const LineConsumer& consumer) {
  LineSplitter lines(consumer);
  std::string piece;
  while (http.ReadBody(piece)) {
    switch (lines.Feed(std::exchange(piece, {}))) {
      case LineSplitter::State::kOpen:
        break;
      case LineSplitter::State::kStopped:
        return false;
      case LineSplitter::State::kTooLong:
        throw Poco::DataException("line too long");
    }
  }
  return true;
}

}  // namespace

HttpExchange::HttpExchange(HttpOptions options) : options_(options) {}
HttpExchange::~HttpExchange() = default;

HttpReply HttpExchange::Run(const HttpCall& call) {
  return Stream(call, nullptr);
}

HttpReply HttpExchange::Stream(const HttpCall& call,
                               const LineConsumer& consumer) {
  HttpReply reply;
  try {
    ScopedConnection scoped(*this, call);
    scoped.connection().SetProgressTimeout(call.progress_timeout);
    BlockingHttpCall http(scoped.connection().socket(),
                          call.method == "HEAD"
                              ? BlockingHttpCall::Method::kHead
                              : BlockingHttpCall::Method::kOther);
    http.set_deadline(DeadlineOf(call, MonotonicNow()));
    const std::string request = SerializeCall(call);
    // From here on bytes may have been sent even if a write reports an error.
    reply.delivery = DeliveryState::kMayHaveArrived;
    http.Send(request);
    const HttpHead& head = http.ReadHead();
    http.set_deadline(DeadlineOf(call, MonotonicNow()));
    reply.status = head.status;
    reply.content_type = FieldOf(head, "Content-Type");
    reply.run_state = FieldOf(head, "X-Run-State");
    if (consumer && reply.content_type.starts_with("text/event-stream"))
      reply.cancelled = !ReadLines(http, consumer);
    else
      ReadAll(http, options_.max_answer_bytes, reply.body);
    scoped.failed = false;
    scoped.reusable = http.reusable();
    reply.delivery = DeliveryState::kAnswered;
  } catch (const Poco::TimeoutException& error) {
    reply.timed_out = true;
    reply.failure = error.displayText();
  } catch (const Poco::Exception& error) {
    reply.failure = error.displayText();
  } catch (const std::exception& error) {
    reply.failure = error.what();
  }
  return reply;
}

std::size_t HttpExchange::IdleConnections(const NetAddress& peer) const {
  const std::lock_guard lock(mutex_);
  const auto found = peers_.find(peer);
  return found == peers_.end() ? 0 : found->second.idle.size();
}

std::uint64_t HttpExchange::BeginUse(const NetAddress& peer) {
  const std::lock_guard lock(mutex_);
  PeerConnections& connections = peers_[peer];
  ++connections.in_use;
  return connections.epoch;
}

std::unique_ptr<HttpExchange::Connection> HttpExchange::TakeIdleConnection(
    const NetAddress& peer) {
  // Closed outside the lock.
  std::vector<std::unique_ptr<Connection>> unusable;
  const std::lock_guard lock(mutex_);
  const auto found = peers_.find(peer);
  if (found == peers_.end())
    return nullptr;
  PeerConnections& connections = found->second;
  const MonotonicTime oldest = MonotonicNow() - options_.max_idle_age;
  while (!connections.idle.empty()) {
    std::unique_ptr<Connection> connection = std::move(connections.idle.back());
    connections.idle.pop_back();
    if (connection->idle_since > oldest && !connection->ClosedByPeer()) {
      ++connections.in_use;
      return connection;
    }
    unusable.push_back(std::move(connection));
  }
  if (connections.in_use == 0)
    peers_.erase(found);
  return nullptr;
}

void HttpExchange::ReleaseConnection(const NetAddress& peer,
                                     std::unique_ptr<Connection> connection,
                                     bool reusable,
                                     bool failed) {
  // Closed outside the lock.
  std::deque<std::unique_ptr<Connection>> dropped;
  const std::lock_guard lock(mutex_);
  PeerConnections& connections = peers_[peer];
  --connections.in_use;
  if (failed) {
    // If one connection was lost, the other idle ones are most likely lost too.
    // Each of them would cost a caller another progress timeout, while a new
    // connection shows immediately whether the peer is reachable.
    ++connections.epoch;
    dropped.swap(connections.idle);
  } else if (reusable && connection->epoch == connections.epoch &&
             connections.idle.size() < options_.max_idle_per_address) {
    connection->idle_since = MonotonicNow();
    connections.idle.push_back(std::move(connection));
  }
  if (connections.idle.empty() && connections.in_use == 0)
    peers_.erase(peer);
}

}  // namespace carobshift
