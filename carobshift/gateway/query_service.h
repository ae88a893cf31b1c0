// Serves short HTTP queries on a separate port: readiness, addresses, metrics.
//
//   QueryService queries(loop, [](const HttpHead& question) {
//     return QueryAnswer{200, "text/plain", "ready"};
//   });
//   queries.Listen(address);

#ifndef CAROBSHIFT_GATEWAY_QUERY_SERVICE_H_
#define CAROBSHIFT_GATEWAY_QUERY_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "carobshift/base/net_address.h"
#include "carobshift/base/result.h"
#include "carobshift/net/http_server_connection.h"
#include "carobshift/net/tcp_listener.h"

namespace carobshift {

struct QueryAnswer {
  int status = 200;
  std::string content_type;
  std::string body;
};

class QueryService : private HttpServerHandler {
 public:
  using Answer = std::function<QueryAnswer(const HttpHead&)>;

  // `quota` bounds the connections; null for no bound.
  QueryService(EventLoop& loop, Answer answer, ConnectionQuota* quota = nullptr)
      : loop_(loop), answer_(std::move(answer)), quota_(quota) {}

  [[nodiscard]] Status Listen(const NetAddress& address);
  // The port that Listen() has opened.
  [[nodiscard]] std::uint16_t port() const { return listener_->port(); }
  void Close();
  // Total size of all answer bodies so far, in bytes.
  [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }

 private:
  void OnRequest(const std::shared_ptr<HttpServerConnection>& connection,
                 HttpServerRequest request) override;
  void OnCallerDisconnected(HttpServerConnection&) override {}
  void OnConnectionEnd(HttpServerConnection& connection) override {
    connections_.erase(&connection);
  }

  EventLoop& loop_;
  Answer answer_;
  ConnectionQuota* const quota_;
  std::uint64_t bytes_sent_ = 0;
  std::shared_ptr<TcpListener> listener_;
  std::unordered_map<HttpServerConnection*,
                     std::shared_ptr<HttpServerConnection>>
      connections_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_QUERY_SERVICE_H_
