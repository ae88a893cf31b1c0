// Accepts requests that other instances hand over, and serves them like those
// of callers (RequestService).
//
//   HandoffListener listener(loop, requests, metrics, identity);
//   if (Status status = listener.Listen(address); !status.ok()) ...
//   listener.BeginStop();
//
// Only requests sealed for this incarnation are accepted (handoff_codec.h). A
// rejected one is answered with the state "not run". An accepted one is never
// handed on: RequestService sends it to an endpoint or refuses it. If the other
// instance closes the connection, the request is cancelled; if it reads slowly,
// the endpoint's stream is paused.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_HANDOFF_HANDOFF_LISTENER_H_
#define CAROBSHIFT_GATEWAY_HANDOFF_HANDOFF_LISTENER_H_

#include <memory>
#include <string>
#include <unordered_map>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/result.h"
#include "carobshift/gateway/handoff/handoff_codec.h"
#include "carobshift/gateway/request/request_service.h"
#include "carobshift/net/http_server_connection.h"
#include "carobshift/net/tcp_listener.h"
#include "carobshift/telemetry/metrics.h"

namespace carobshift {

struct HandoffIdentity {
  EntryId self;
  Incarnation incarnation{};
  // Secret shared by the instances of a deployment.
  std::string secret;
};

class HandoffListener : private HttpServerHandler {
 public:
  // Bytes that the seal adds to a caller's request head.
  static constexpr std::size_t kSealBytes = 1024;
  // Longer than instances keep idle connections to each other, so that none is
  // closed while a request is on its way.
  static constexpr Milliseconds kIdleTimeout{15000};

  HandoffListener(EventLoop& loop,
                  RequestService& requests,
                  Metrics& metrics,
                  HandoffIdentity identity);
  ~HandoffListener() override;

  [[nodiscard]] Status Listen(const NetAddress& address);
  [[nodiscard]] std::uint16_t port() const { return listener_->port(); }
  // Applies changed limits of callers' requests. Call about every 100 ms.
  void OnTick();
  // Closes idle connections, and the others after their present request.
  void BeginStop();
  // Stops accepting connections.
  void Close();
  // Closes the connections without a request, unread, and the others after
  // their reply. To be called again when no more connections are accepted.
  void CloseIdleConnections();
  // Answers the requests that have arrived in part.
  void RefuseUnfinished();
  // Whether a request is being read or served, or a reply is not sent yet.
  [[nodiscard]] bool busy() const;
  // Stops accepting connections and resets the open ones.
  void Abort();

 private:
  void OnRequest(const std::shared_ptr<HttpServerConnection>& connection,
                 HttpServerRequest request) override;
  void OnCallerDisconnected(HttpServerConnection& connection) override;
  void OnBackpressure(HttpServerConnection& connection, bool pause) override;
  void OnConnectionEnd(HttpServerConnection& connection) override;
  void OnMalformed(int status) override;
  void OnNoRoom(HttpServerConnection& connection,
                const HttpHead& head) override;

  // Connections, some of which may end while they are gone through.
  [[nodiscard]] std::vector<std::shared_ptr<HttpServerConnection>> Connections()
      const;
  void Accept(const Poco::Net::StreamSocket& socket);
  [[nodiscard]] HttpServerLimits ConnectionLimits() const;
  void Reject(HttpServerConnection& connection, HandoffRejection reason);

  EventLoop& loop_;
  RequestService& requests_;
  Metrics& metrics_;
  const HandoffIdentity identity_;
  std::shared_ptr<TcpListener> listener_;
  std::unordered_map<HttpServerConnection*,
                     std::shared_ptr<HttpServerConnection>>
      connections_;
  bool stopping_ = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_HANDOFF_HANDOFF_LISTENER_H_
