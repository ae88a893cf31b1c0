// For tests: calls of an HttpClient, and servers that answer them.
//
//   LoopbackServer server(loop, AnswerOk);
//   TestListener listener;
//   client.Start(server.address(), Get("/"), {}, &listener);
//   RunUntil(loop, [&] { return listener.over(); });

#ifndef CAROBSHIFT_NET_HTTP_TEST_CALLS_H_
#define CAROBSHIFT_NET_HTTP_TEST_CALLS_H_

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "carobshift/net/http_client.h"
#include "carobshift/net/http_server_connection.h"
#include "carobshift/net/loopback_server.h"
#include "carobshift/net/tcp_listener.h"

namespace carobshift {

// What a call has received. Replies with `skip_status` are skipped.
class TestListener : public HttpCallListener {
 public:
  ReplyDisposition OnReplyHead(const HttpHead& head,
                               const HttpMessageInfo&) override {
    if (skip_status != 0 && head.status == skip_status)
      return ReplyDisposition::kSkip;
    status = head.status;
    return ReplyDisposition::kAccept;
  }
  void OnReplyBody(std::string_view bytes) override { body += bytes; }
  void OnReplyEnd() override { ended = true; }
  void OnCallFailed(const CallFailure& given) override { failure = given; }

  [[nodiscard]] bool over() const { return ended || failure.has_value(); }

  int skip_status = 0;
  int status = 0;
  std::string body;
  bool ended = false;
  std::optional<CallFailure> failure;
};

inline std::string Get(std::string_view target) {
  return "GET " + std::string(target) + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

inline void AnswerOk(HttpServerConnection& connection,
                     const HttpServerRequest&) {
  connection.SendCompleteReply(ReplyHead(200), "hello");
}

// A server that sends fixed bytes, which need not be a valid reply.
class RawServer : public TcpConnectionHandler {
 public:
  RawServer(EventLoop& loop, std::string reply, bool reset)
      : reply_(std::move(reply)), reset_(reset) {
    auto opened = TcpListener::Open(
        loop, {"127.0.0.1", 0},
        [this, &loop](const Poco::Net::StreamSocket& socket) {
          connection = TcpConnection::Accept(loop, socket, {}, this);
        });
    REQUIRE(opened.ok());
    listener = opened.value();
  }
  ~RawServer() override {
    listener->Close();
    if (connection != nullptr)
      connection->Close();
  }
  void OnData(std::string_view) override {
    connection->Send(reply_);
    if (reset_)
      connection->Abort();
  }
  void OnClosed(CloseReason) override {}

  std::shared_ptr<TcpListener> listener;
  std::shared_ptr<TcpConnection> connection;

 private:
  std::string reply_;
  bool reset_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_HTTP_TEST_CALLS_H_
