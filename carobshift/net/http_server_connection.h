// One caller's connection: reads whole requests one after the other and sends
// the replies to them.
//
//   auto connection = HttpServerConnection::Open(loop, socket, limits,
//   handler);
//   // handler.OnRequest(connection, request) ... later:
//   connection->SendWhole(head, body);
//
// A request is handed over when its body is whole. While it is served the
// connection goes on watching for the caller's end, so that the work for a
// caller who has left is given up.
//
// What can go wrong, and what is done:
// - An answer must not look complete when it isn't. BreakOff() resets the
//   connection instead of ending it, so that no caller takes the end for the
//   end of the answer.
// - A caller doesn't read. Beyond `high_water` unsent bytes the handler is told
//   to pause its source.

#ifndef CAROBSHIFT_NET_HTTP_SERVER_CONNECTION_H_
#define CAROBSHIFT_NET_HTTP_SERVER_CONNECTION_H_

#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <string>
#include <string_view>

#include "carobshift/net/event_loop.h"
#include "carobshift/net/http_parser.h"
#include "carobshift/net/tcp_connection.h"

namespace carobshift {

struct HttpServerLimits {
  std::size_t head_bytes = 16384;
  std::size_t body_bytes = std::size_t{4} << 20;
  // From a head's first byte to its last, and between two reads of a body.
  Milliseconds head_timeout{3000};
  // Without a request.
  Milliseconds idle_timeout{15000};
  // Unsent bytes of a reply at which its source is paused; resumed when all are
  // sent. A few round trips' worth at the speed of a stream.
  std::size_t high_water = std::size_t{256} << 10;
};

struct HttpServerRequest {
  HttpHead head;
  std::string body;
};

class HttpServerConnection;

class HttpServerHandler {
 public:
  virtual ~HttpServerHandler() = default;
  // Exactly one reply is due.
  virtual void OnRequest(
      const std::shared_ptr<HttpServerConnection>& connection,
      HttpServerRequest request) = 0;
  // The caller has left while its request is served. No reply is due any more.
  virtual void OnCallerGone(HttpServerConnection& connection) = 0;
  // The caller reads too slowly, or has caught up.
  virtual void OnPause(HttpServerConnection&, bool) {}
  // The connection is over; the last call.
  virtual void OnConnectionEnd(HttpServerConnection& connection) = 0;
  // The request is refused for its form with this status.
  virtual void OnMalformed(int) {}
};

class HttpServerConnection
    : public TcpConnectionHandler,
      private HttpSink,
      public std::enable_shared_from_this<HttpServerConnection> {
 public:
  static std::shared_ptr<HttpServerConnection> Open(
      EventLoop& loop,
      const Poco::Net::StreamSocket& socket,
      const HttpServerLimits& limits,
      const TcpOptions& tcp,
      HttpServerHandler& handler);

  // `head` without framing and connection fields.
  void SendWhole(HttpHead head, std::string_view body);
  // A reply whose length isn't known yet: pieces, then an end.
  void BeginStream(HttpHead head);
  void SendPiece(std::string_view bytes);
  void EndStream();
  // The reply can't be completed.
  void BreakOff();

  // From now on replies say that the connection ends, and it does after the
  // present request or the next one.
  void CloseAfterReply() { closing_ = true; }
  // The same; and at once if nothing was read of a request.
  void CloseWhenIdle();
  // Whether a request is being read or served.
  [[nodiscard]] bool busy() const { return serving_ || parser_.begun(); }
  [[nodiscard]] bool serving() const { return serving_; }

  void OnData(std::string_view bytes) override;
  void OnClosed(CloseReason reason) override;
  void OnFlushed() override;

 private:
  HttpServerConnection(EventLoop& loop,
                       const HttpServerLimits& limits,
                       HttpServerHandler& handler);

  void OnHead(HttpHead head, const HttpMessageInfo& info) override;
  void OnBody(std::string_view bytes) override;

  void Parse();
  void Refuse(int status);
  void AddConnectionFields(HttpHead& head);
  void FinishReply();
  void ArmTimer(Milliseconds wait, bool reading_request);
  void CheckPressure();
  void End();

  EventLoop& loop_;
  HttpServerLimits limits_;
  HttpServerHandler* handler_;
  std::shared_ptr<TcpConnection> tcp_;
  HttpParser parser_;
  HttpServerRequest request_;
  // Read and not yet parsed.
  std::string unread_;
  TimerId timer_;
  bool serving_ = false;
  bool keep_alive_ = true;
  bool closing_ = false;
  bool chunked_ = false;
  bool http_1_0_ = false;
  bool reply_to_head_ = false;
  bool paused_ = false;
  bool too_large_ = false;
  bool ended_ = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_HTTP_SERVER_CONNECTION_H_
