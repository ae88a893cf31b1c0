// HttpServerConnection serves one caller's connection: it reads complete
// requests one at a time and sends the replies.
//
//   auto connection =
//       HttpServerConnection::Open(loop, socket, limits, tcp, handler);
//   // handler.OnRequest(connection, request) ... later:
//   connection->SendCompleteReply(head, body);
//
// A request is delivered when its body is complete. While a request is served,
// the connection continues to watch for a disconnect, so that the work for a
// caller that has left can be cancelled.
//
// Failures and how they are handled:
//
// - A reply can't be completed. Abort() resets the connection instead of
//   closing it, so that the caller doesn't take the end of the connection for
//   the end of the reply.
// - A request crosses the close of an idle connection. If it has arrived by
//   then, it is served. Otherwise it stays unread and resets the connection: a
//   caller may send a request again that was not read, even one that may run
//   only once.
// - A request follows a reply that didn't announce the end of its connection,
//   as of a stream that began before the shutdown. It is served if it has
//   arrived before the caller has received that reply, and stays unread
//   otherwise.
// - A caller reads the last reply slowly. The connection ends after the caller
//   has received all of it, and busy() is true until then.
// - Callers send more than the instance has room for. A request counts in
//   `caller_budget` for as long as the handler holds it: what its head takes
//   while it is read, and its body once its length is known. One that has no
//   room is refused before it is read on.
// - Many callers keep what they hold. With a `quota`, each connection has a
//   place in it, and a request takes room from connections that hold it without
//   use (connection_quota.h).
// - A caller sends on while its request is served. What has no room is thrown
//   away unread, and the connection ends behind the reply.
// - A caller sends requests and takes no replies. A request is parsed once the
//   reply to the one before is handed to the kernel.
// - A caller doesn't read. Beyond `high_water` unsent bytes the handler is
//   asked to pause the source of the reply, and sooner if the unsent bytes of
//   all callers have no room in `caller_budget`.

#ifndef CAROBSHIFT_NET_HTTP_SERVER_CONNECTION_H_
#define CAROBSHIFT_NET_HTTP_SERVER_CONNECTION_H_

#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <string>
#include <string_view>

#include "carobshift/base/byte_budget.h"
#include "carobshift/net/arrival_rate.h"
#include "carobshift/net/connection_quota.h"
#include "carobshift/net/event_loop.h"
#include "carobshift/net/http_parser.h"
#include "carobshift/net/tcp_connection.h"

namespace carobshift {

struct HttpServerLimits {
  std::size_t head_bytes = 16384;
  std::size_t body_bytes = std::size_t{4} << 20;
  // From the first to the last byte of a head, and between two reads of a body.
  Milliseconds head_timeout{3000};
  // Between two requests.
  Milliseconds idle_timeout{15000};
  // Number of unsent reply bytes at which the source is paused; it resumes when
  // all have been sent. Equals the data of a few round trips at a stream's
  // speed.
  std::size_t high_water = std::size_t{256} << 10;
  // Bounds the requests of all connections with the same budget in sum, their
  // bytes that are not read yet, and the reply bytes that their callers don't
  // take. Must outlive the connections and their requests. Null for no bound.
  ByteBudget* caller_budget = nullptr;
  // Bounds the connections, and takes room for requests from other connections.
  // Its budget is caller_budget. Must outlive the connections. Null for no
  // bound.
  ConnectionQuota* quota = nullptr;
};

struct HttpServerRequest {
  HttpHead head;
  std::string body;
  // Of the head and the body. Whoever keeps one of them keeps this too.
  ByteReservation reserved{};
};

// How a connection ended, by the side that ended it.
enum class ConnectionEnd {
  // This side, between two requests.
  kIdle,
  // This side, after a reply that announced it.
  kAfterReply,
  // This side, within a reply.
  kAborted,
  // The caller closed its sending side.
  kCallerEnded,
  // The caller reset it, or it failed on the way.
  kFailed,
};

// Returns the name of the end for logs and metrics.
[[nodiscard]] std::string_view ConnectionEndName(ConnectionEnd end);

class HttpServerConnection;

class HttpServerHandler {
 public:
  virtual ~HttpServerHandler() = default;
  // The handler must send exactly one reply.
  virtual void OnRequest(
      const std::shared_ptr<HttpServerConnection>& connection,
      HttpServerRequest request) = 0;
  // The caller has disconnected while its request was served. No reply is
  // expected.
  virtual void OnCallerDisconnected(HttpServerConnection& connection) = 0;
  // Pause (true) or resume (false) the source of the reply, as the caller reads
  // too slowly or has caught up.
  virtual void OnBackpressure(HttpServerConnection&, bool) {}
  // The connection has ended. This is the last call for it.
  virtual void OnConnectionEnd(HttpServerConnection& connection) = 0;
  // A malformed, oversized or incomplete request was rejected with this status.
  virtual void OnMalformed(int) {}
  // There is no room for the request, whose head is whole and whose body has
  // not been read. The handler must send one reply, which tells that the
  // request has not run; the connection ends behind it.
  virtual void OnNoRoom(HttpServerConnection& connection, const HttpHead& head);
};

class HttpServerConnection
    : public TcpConnectionHandler,
      public QuotaMember,
      private HttpSink,
      public std::enable_shared_from_this<HttpServerConnection> {
 public:
  // Returns null, with the socket closed, if the quota has no place.
  static std::shared_ptr<HttpServerConnection> Open(
      EventLoop& loop,
      const Poco::Net::StreamSocket& socket,
      const HttpServerLimits& limits,
      const TcpOptions& tcp,
      HttpServerHandler& handler);

  // Sends a complete reply. `head` must not contain framing and connection
  // fields.
  void SendCompleteReply(HttpHead head, std::string_view body);
  // Sends a reply of unknown length: a head, any number of pieces, and an end.
  void BeginStream(HttpHead head);
  void SendChunk(std::string_view bytes);
  void EndStream();
  // Resets the connection because the reply can't be completed.
  void Abort();

  // Replaces the limits, from the request that is being read on. An idle period
  // in progress may become longer but never shorter: its caller may still act
  // by the timeout with which it began.
  void SetLimits(const HttpServerLimits& limits);
  // Closes the connection after the present request or the next one; its reply
  // carries "Connection: close".
  void CloseAfterReply() { close_after_reply_ = true; }
  // Like CloseAfterReply(), but if no request has arrived, closes once the
  // caller has taken the last reply.
  void CloseWhenIdle();
  // Answers a request of which a part has arrived with 408: it has not run. The
  // connection ends behind it.
  void RefuseUnfinished();
  // Whether a request is being read or served, or the caller has not received
  // the whole reply yet. Asks the kernel.
  [[nodiscard]] bool busy() const {
    return serving_ || parser_.begun() || !unparsed_.empty() ||
           tcp_->undelivered() > 0;
  }
  [[nodiscard]] bool serving() const { return serving_; }
  // Bytes of the reply that have not been handed to the kernel yet.
  [[nodiscard]] std::size_t unsent_bytes() const { return tcp_->unsent(); }

  // How the connection has ended. For use in OnConnectionEnd().
  [[nodiscard]] ConnectionEnd end() const { return end_; }
  // Whether bytes of the caller lay in the socket when this side ended the
  // connection.
  [[nodiscard]] bool left_unread() const { return left_unread_; }
  // Whether the end left a request without a whole reply: one that was served,
  // one that had been received in part, or bytes that were not read. A reply
  // that announced the end tells the caller that nothing behind it was read.
  [[nodiscard]] bool ended_within_request() const {
    return end_ != ConnectionEnd::kAfterReply &&
           (serving_ || parser_.begun() || !unparsed_.empty() || left_unread_);
  }

  [[nodiscard]] ConnectionActivity activity() const override;
  void Reclaim() override;

  void OnData(std::string_view bytes) override;
  void OnClosed(CloseReason reason) override;
  void OnFlushed() override;

 private:
  // Time between two looks whether the caller has received the last reply.
  static constexpr Milliseconds kDeliveryCheckInterval{20};
  // What the kernel keeps unread while reading is stopped, at most.
  static constexpr std::size_t kMaxKernelUnreadBytes = std::size_t{128} << 10;
  // Longest time for which the rest of a refused body is read and thrown away,
  // so that its caller gets the refusal rather than a reset.
  static constexpr Milliseconds kMaxDiscardTime{10'000};

  HttpServerConnection(EventLoop& loop,
                       const HttpServerLimits& limits,
                       HttpServerHandler& handler);

  void OnHead(HttpHead head, const HttpMessageInfo& info) override;
  void OnBody(std::string_view bytes) override;

  // Parses `input`, which isn't empty, for one request.
  void Parse(std::string_view input);
  // The same with what was kept while the request before was served.
  void ParseKept();
  // Hands the whole request to the handler; `rest` belongs to later ones.
  void Deliver(std::string_view rest);
  // Keeps bytes until the request before them is served, if they have room.
  void Keep(std::string_view bytes);
  // From now on, throws away what the caller sends.
  void DiscardInput();
  // Reserves what the request takes that is being read. Returns whether it has
  // room.
  bool ReserveRequest(std::size_t size);
  // Bytes of the request being read that are kept.
  [[nodiscard]] std::size_t kept_bytes() const {
    return parser_.head_capacity() + request_.head.capacity() +
           request_.body.size();
  }
  void Reject(int status);
  void RefuseForRoom();
  void AddConnectionFields(HttpHead& head);
  void FinishReply();
  void BeginIdlePeriod();
  void ArmTimer(MonotonicTime at, bool reading_request);
  // Reads the next request, once all of the last reply is handed to the kernel.
  void ReadOn();
  // Counts the unsent bytes in the budget. Returns whether they have room.
  bool ReserveUnsent();
  void CheckBackpressure();
  // Ends the connection once the caller has taken the whole reply.
  void EndWhenSent();
  void End();
  void MarkEnded(ConnectionEnd end);
  // Closes the connection without a reply, once the caller has received the
  // last one, unless a request has arrived.
  void EndIdle();

  EventLoop& loop_;
  HttpServerLimits limits_;
  HttpServerHandler* handler_;
  std::shared_ptr<TcpConnection> tcp_;
  HttpParser parser_;
  HttpServerRequest request_;
  // Of the reply bytes that the caller has not taken.
  ByteReservation unsent_reserved_;
  // Bytes received but not yet parsed.
  std::string unparsed_;
  // Of these, and of those that the kernel keeps while nothing is read.
  ByteReservation unparsed_reserved_;
  std::shared_ptr<ConnectionSlot> slot_;
  // Of the request that is being read.
  MonotonicTime request_began_{};
  ArrivalRate arrival_rate_;
  TimerId timer_;
  // While the connection waits to end until the last reply is received.
  TimerId delivery_timer_;
  // Of the present idle period, or of the last one.
  MonotonicTime idle_since_{};
  MonotonicTime idle_until_{};
  bool serving_ = false;
  bool keep_alive_ = true;
  bool close_after_reply_ = false;
  bool chunked_ = false;
  bool http_1_0_ = false;
  bool reply_to_head_ = false;
  bool paused_ = false;
  // The next request is read once the last reply is handed to the kernel.
  bool awaits_flush_ = false;
  // The connection ends once all bytes are sent. No further request is read.
  bool ending_ = false;
  bool too_large_ = false;
  // The request being read has no room in the budget.
  bool no_room_ = false;
  // What the caller sends is thrown away: it has no room, and the connection
  // ends behind the reply.
  bool discards_ = false;
  bool ended_ = false;
  ConnectionEnd end_ = ConnectionEnd::kIdle;
  bool left_unread_ = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_HTTP_SERVER_CONNECTION_H_
