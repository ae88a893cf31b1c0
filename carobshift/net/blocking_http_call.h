// BlockingHttpCall makes one HTTP/1.1 call on a connected socket that blocks.
//
//   BlockingHttpCall call(socket);
//   call.Send(SerializeRequestHead(head) + request_body);
//   const HttpHead& reply = call.ReadHead();
//   std::string body;
//   while (call.ReadBody(body)) {
//   }
//   if (call.reusable()) ...  // the socket can carry another call
//
// The reply is read by HttpParser, as in HttpClient: it is complete only if its
// head has ended and its framing says so. POCO's HTTPClientSession takes the
// end of the connection for the end of the head, and of a chunk, so that a
// reply that breaks off looks complete.
//
// The socket's own timeouts limit the wait for the next byte.
//
// Thread-compatible.

#ifndef CAROBSHIFT_NET_BLOCKING_HTTP_CALL_H_
#define CAROBSHIFT_NET_BLOCKING_HTTP_CALL_H_

#include <Poco/Net/StreamSocket.h>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

#include "carobshift/base/net_address.h"
#include "carobshift/base/units.h"
#include "carobshift/net/http_message.h"
#include "carobshift/net/http_parser.h"

namespace carobshift {

class BlockingHttpCall : private HttpSink {
 public:
  enum class Method { kHead, kOther };

  static constexpr std::size_t kMaxHeadBytes = std::size_t{64} << 10;
  static constexpr int kMaxInterimReplies = 16;

  // `socket` must outlive the call.
  explicit BlockingHttpCall(Poco::Net::StreamSocket& socket,
                            Method method = Method::kOther);
  BlockingHttpCall(const BlockingHttpCall&) = delete;
  BlockingHttpCall& operator=(const BlockingHttpCall&) = delete;

  // From `deadline` on, no more bytes are awaited.
  void set_deadline(MonotonicTime deadline) { deadline_ = deadline; }

  // Sends a complete request. A connection that fails meanwhile is reported
  // only by the functions that read, as a peer may reply early and close.
  // Throws Poco::TimeoutException.
  void Send(std::string_view request);

  // Returns the head of the reply, after interim replies. Throws
  // Poco::TimeoutException, and Poco::Net::NetException if the connection fails
  // or ends before, or if the bytes are no valid reply.
  const HttpHead& ReadHead();

  // Appends the next bytes of the body to `body`. Returns false, without
  // appending any, at the end of the complete reply. Throws as ReadHead().
  [[nodiscard]] bool ReadBody(std::string& body);

  // Returns whether the reply is complete, and the connection stays open with
  // nothing behind it.
  [[nodiscard]] bool reusable() const;

 private:
  static constexpr std::size_t kReadBufferBytes = std::size_t{16} << 10;

  void OnHead(HttpHead head, const HttpMessageInfo& info) override;
  void OnBody(std::string_view bytes) override { pending_ += bytes; }

  // Reads and parses the next bytes.
  void Advance();
  // Sets `unread_` to the next bytes. Returns false at the connection's end.
  [[nodiscard]] bool Receive();
  void OnMessageComplete();
  void OnConnectionEnd();

  Poco::Net::StreamSocket& socket_;
  const Method method_;
  MonotonicTime deadline_ = MonotonicTime::max();
  HttpParser parser_;
  HttpHead head_;
  HttpMessageInfo info_;
  int interim_replies_ = 0;
  bool send_failed_ = false;
  bool has_head_ = false;
  bool complete_ = false;
  // Bytes of the body that ReadBody() hasn't returned.
  std::string pending_;
  std::array<char, kReadBufferBytes> buffer_;
  // The part of `buffer_` that isn't parsed.
  std::string_view unread_;
};

// Connects to `address` and sets the timeouts of the socket: `io_timeout` for
// the next byte in either direction. Throws Poco::TimeoutException and
// Poco::Net::NetException.
[[nodiscard]] Poco::Net::StreamSocket ConnectBlocking(
    const NetAddress& address,
    Milliseconds connect_timeout,
    Milliseconds io_timeout);

struct BlockingHttpReply {
  HttpHead head;
  std::string body;
};

// Makes a call on a connection of its own and returns the complete reply. Sets
// the request's Host, Connection and Content-Length fields. `timeout` applies
// to connecting and to each wait for bytes. Throws as BlockingHttpCall does,
// and Poco::DataException if the body is larger than `max_body` bytes.
[[nodiscard]] BlockingHttpReply FetchBlocking(const NetAddress& address,
                                              HttpHead request,
                                              std::string_view body,
                                              Milliseconds timeout,
                                              std::size_t max_body);

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_BLOCKING_HTTP_CALL_H_
