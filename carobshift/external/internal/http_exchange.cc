#include "carobshift/external/internal/http_exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <istream>
#include <utility>

namespace carobshift {
namespace {

using Traits = std::char_traits<char>;

constexpr std::size_t kMaxLineBytes = 1U << 20;

Poco::Timespan ToTimespan(Milliseconds time) {
  return Poco::Timespan(Microseconds(time).count());
}

// Poco's session opens a new connection by itself if a write on an idle
// connection fails or if it considers the connection too old. A request could
// then be sent twice unnoticed, so this class disables both.
class NonReconnectingSession : public Poco::Net::HTTPClientSession {
 public:
  explicit NonReconnectingSession(const Poco::Net::StreamSocket& socket)
      : HTTPClientSession(socket) {
    setKeepAlive(true);
  }

 protected:
  int write(const char* buffer, std::streamsize length) override {
    return HTTPSession::write(buffer, length);
  }
  [[nodiscard]] bool mustReconnect() const override { return false; }
};

}  // namespace

class HttpExchange::Connection {
 public:
  explicit Connection(const NetAddress& peer, Milliseconds timeout) {
    socket_.connect(Poco::Net::SocketAddress(peer.host, peer.port),
                    ToTimespan(timeout));
    socket_.setNoDelay(true);
    session_ = std::make_unique<NonReconnectingSession>(socket_);
  }

  // An idle connection is readable only if the peer closed it.
  [[nodiscard]] bool ClosedByPeer() const {
    return socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ |
                                               Poco::Net::Socket::SELECT_ERROR);
  }
  void SetProgressTimeout(Milliseconds timeout) {
    socket_.setReceiveTimeout(ToTimespan(timeout));
    socket_.setSendTimeout(ToTimespan(timeout));
  }
  [[nodiscard]] NonReconnectingSession& session() { return *session_; }

  std::uint64_t epoch = 0;
  MonotonicTime idle_since;

 private:
  Poco::Net::StreamSocket socket_;
  std::unique_ptr<NonReconnectingSession> session_;
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

// Reads the body of one reply within its limits.
class ReplyReader {
 public:
  ReplyReader(std::istream& in,
              const HttpOptions& options,
              Milliseconds total_timeout)
      : in_(*in.rdbuf()),
        max_bytes_(options.max_answer_bytes),
        deadline_(total_timeout.count() > 0 ? MonotonicNow() + total_timeout
                                            : MonotonicTime::max()) {}

  // Throws Poco::TimeoutException after the deadline and Poco::DataException if
  // the reply is too large.
  std::string ReadAll() {
    std::string body;
    while (in_.sgetc() != Traits::eof()) {
      CheckDeadline();
      const std::streamsize ready =
          std::max<std::streamsize>(1, in_.in_avail());
      const std::size_t old_size = body.size();
      if (old_size + static_cast<std::size_t>(ready) > max_bytes_)
        throw Poco::DataException("answer too large");
      body.resize(old_size + static_cast<std::size_t>(ready));
      in_.sgetn(body.data() + old_size, ready);
    }
    return body;
  }

  // Returns false at the end of the reply.
  bool ReadLine(std::string& line) {
    line.clear();
    for (int c = in_.sbumpc(); c != Traits::eof(); c = in_.sbumpc()) {
      if (c == '\n')
        return true;
      if (c != '\r')
        line.push_back(Traits::to_char_type(c));
      if (line.size() > kMaxLineBytes)
        throw Poco::DataException("line too long");
    }
    return false;
  }

  void CheckDeadline() const {
    if (MonotonicNow() > deadline_)
      throw Poco::TimeoutException("answer took too long");
  }

 private:
  std::streambuf& in_;
  const std::size_t max_bytes_;
  const MonotonicTime deadline_;
};

Poco::Net::HTTPRequest MakeRequest(const HttpCall& call) {
  Poco::Net::HTTPRequest request(call.method, call.path,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  request.setHost(call.peer.host, call.peer.port);
  if (call.method != "GET") {
    request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
    request.setContentType(call.content_type);
  }
  for (const auto& [name, value] : call.headers)
    request.set(name, value);
  return request;
}

void FeedLines(ReplyReader& reader,
               const LineConsumer& consumer,
               HttpReply& reply) {
  std::string line;
  while (reader.ReadLine(line)) {
    reader.CheckDeadline();
    if (!consumer(line)) {
      reply.cancelled = true;
      return;
    }
  }
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
    NonReconnectingSession& session = scoped.connection().session();
    Poco::Net::HTTPRequest request = MakeRequest(call);
    // From here on bytes may have been sent even if a write reports an error.
    reply.delivery = DeliveryState::kMayHaveArrived;
    std::ostream& out = session.sendRequest(request);
    out.write(call.body.data(), static_cast<std::streamsize>(call.body.size()));
    out.flush();
    Poco::Net::HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    reply.status = response.getStatus();
    reply.content_type = response.getContentType();
    reply.run_state = response.get("X-Run-State", "");
    ReplyReader reader(in, options_, call.total_timeout);
    if (consumer && reply.content_type.starts_with("text/event-stream"))
      FeedLines(reader, consumer, reply);
    else
      reply.body = reader.ReadAll();
    if (response.hasContentLength() && !reply.cancelled &&
        static_cast<Poco::Int64>(reply.body.size()) !=
            response.getContentLength64())
      throw Poco::Net::MessageException("answer cut short");
    scoped.failed = false;
    scoped.reusable = !reply.cancelled && response.getKeepAlive();
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
