#include "carobshift/server/http/caller_http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/URI.h>

#include <utility>

#include "carobshift/base/digest.h"
#include "carobshift/server/http/caller_error.h"
#include "carobshift/server/http/caller_request.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr int kListenBacklog = 1024;

// The entry's id is the prefix, so that `carobshift explain` knows which entry
// has the request's record.
RequestId NewRequestId(const EntryId& entry) {
  return RequestId(entry.value() + "-" + HexEncode(RandomBytes(8)));
}

class RequestAdapter : public Poco::Net::HTTPRequestHandler {
 public:
  RequestAdapter(const CallerHttpServerOptions& options,
                 const RouteTable& routes,
                 const std::atomic<bool>& draining,
                 CallerConnections& connections)
      : options_(options),
        routes_(routes),
        draining_(draining),
        connections_(connections) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    RequestRoom room(
        connections_,
        static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket());
    RequestExchange exchange{
        request,        response, NewRequestId(options_.entry),
        MonotonicNow(), room,     {}};
    response.set("Carobshift-Request-Id", exchange.id.value());
    if (draining_)
      response.setKeepAlive(false);
    try {
      Route(exchange);
      if (!response.getKeepAlive())
        DiscardUnreadBody(request);
    } catch (const Poco::Exception& e) {
      FinishAfterException(exchange, e.displayText());
    } catch (const std::exception& e) {
      FinishAfterException(exchange, e.what());
    }
  }

 private:
  void Route(RequestExchange& exchange) {
    if (exchange.request.size() >
        static_cast<std::size_t>(options_.max_header_fields)) {
      SendError(
          exchange.response, exchange.id,
          NotRun(ResultCode::kRequestTooLarge,
                 "more than " + std::to_string(options_.max_header_fields) +
                     " header fields"));
      return;
    }
    const Poco::URI uri(exchange.request.getURI());
    auto match = routes_.Find(exchange.request.getMethod(), uri.getPath());
    if (!match) {
      SendError(exchange.response, exchange.id,
                NotRun(ResultCode::kUnknownRoute,
                       "no such route: " + exchange.request.getMethod() + " " +
                           uri.getPath()));
      return;
    }
    exchange.path_arguments = std::move(match->path_arguments);
    match->handler->Handle(exchange);
  }

  // Handles an exception, caused by a caller's disconnect or by an internal
  // error. Once the response has begun, no error can be added; closing the
  // connection before the final frame tells the caller that the answer is
  // incomplete.
  void FinishAfterException(RequestExchange& exchange,
                            const std::string& what) {
    LogEvent(LogLevel::kDebug, "request_aborted",
             {{"request", exchange.id.value()}, {"reason", what}});
    if (exchange.response.sent()) {
      exchange.response.setKeepAlive(false);
      return;
    }
    try {
      SendError(exchange.response, exchange.id,
                {ResultCode::kInternal, RunState::kOutcomeUnknown,
                 "the request ended by an internal error", std::nullopt});
    } catch (const std::exception&) {
      // The connection is closed too.
    }
  }

  const CallerHttpServerOptions& options_;
  const RouteTable& routes_;
  const std::atomic<bool>& draining_;
  CallerConnections& connections_;
};

// A connection with its thread.
class CallerConnection : public Poco::Net::HTTPServerConnection {
 public:
  CallerConnection(const Poco::Net::StreamSocket& socket,
                   const Poco::Net::HTTPServerParams::Ptr& params,
                   const Poco::Net::HTTPRequestHandlerFactory::Ptr& handlers,
                   CallerConnections& connections)
      : HTTPServerConnection(socket, params, handlers),
        connections_(connections) {
    connections_.OnOpen(socket);
  }
  ~CallerConnection() override { connections_.OnClose(socket()); }

 private:
  CallerConnections& connections_;
};

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory {
 public:
  ConnectionFactory(Poco::Net::HTTPServerParams::Ptr params,
                    Poco::Net::HTTPRequestHandlerFactory::Ptr handlers,
                    CallerConnections& connections)
      : params_(std::move(params)),
        handlers_(std::move(handlers)),
        connections_(connections) {}

  Poco::Net::TCPServerConnection* createConnection(
      const Poco::Net::StreamSocket& socket) override {
    return new CallerConnection(socket, params_, handlers_, connections_);
  }

 private:
  const Poco::Net::HTTPServerParams::Ptr params_;
  const Poco::Net::HTTPRequestHandlerFactory::Ptr handlers_;
  CallerConnections& connections_;
};

class AdmissionFilter : public Poco::Net::TCPServerConnectionFilter {
 public:
  AdmissionFilter(CallerConnections& connections, Metrics* metrics)
      : connections_(connections), metrics_(metrics) {}

  bool accept(const Poco::Net::StreamSocket& socket) override {
    const bool admitted = connections_.Admit(socket);
    if (metrics_ != nullptr)
      connections_.WriteMetrics(*metrics_);
    return admitted;
  }

 private:
  CallerConnections& connections_;
  Metrics* const metrics_;
};

Poco::Timespan Span(Milliseconds duration) {
  return Poco::Timespan(Microseconds(duration).count());
}

}  // namespace

class CallerHttpServer::HandlerFactory
    : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit HandlerFactory(CallerHttpServer& server) : server_(server) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest&) override {
    return new RequestAdapter(server_.options_, server_.routes_,
                              server_.draining_, server_.connections_);
  }
  // Ends the connections: at once, or those that have a request once it has its
  // reply.
  void EndConnections(bool at_once) { serverStopped(this, at_once); }

 private:
  CallerHttpServer& server_;
};

CallerHttpServer::CallerHttpServer(CallerHttpServerOptions options,
                                   const RouteTable& routes)
    : options_(std::move(options)),
      routes_(routes),
      threads_("http", 8, options_.threads),
      connections_(
          {.threads = static_cast<std::size_t>(options_.threads),
           .queued = static_cast<std::size_t>(options_.max_connections),
           .memory = options_.memory}),
      handlers_(new HandlerFactory(*this)) {}

CallerHttpServer::~CallerHttpServer() {
  if (server_) {
    server_->stop();
    handlers_->EndConnections(/*at_once=*/true);
  }
  threads_.stopAll();
}

Result<NetAddress> CallerHttpServer::Start() {
  try {
    const Poco::Net::SocketAddress wanted(options_.listen.host,
                                          options_.listen.port);
    const Poco::Net::ServerSocket socket(wanted, kListenBacklog);
    Poco::AutoPtr<Poco::Net::HTTPServerParams> params(
        new Poco::Net::HTTPServerParams);
    params->setMaxThreads(options_.threads);
    params->setMaxQueued(options_.max_connections);
    params->setTimeout(Span(options_.read_timeout));
    params->setKeepAliveTimeout(Span(options_.keep_alive_timeout));
    params->setMaxKeepAliveRequests(0);
    server_ = std::make_unique<Poco::Net::TCPServer>(
        new ConnectionFactory(params, handlers_, connections_), threads_,
        socket, params);
    server_->setConnectionFilter(
        new AdmissionFilter(connections_, options_.metrics));
    server_->start();
    return NetAddress{options_.listen.host, socket.address().port()};
  } catch (const Poco::Exception& e) {
    return Error{ResultCode::kInvalidSettings, "cannot listen on " +
                                                   options_.listen.ToString() +
                                                   ": " + e.displayText()};
  }
}

void CallerHttpServer::Stop() {
  if (!server_)
    return;
  server_->stop();
  handlers_->EndConnections(/*at_once=*/false);
  connections_.CloseQueued();
}

}  // namespace carobshift
