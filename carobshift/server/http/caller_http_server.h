// The HTTP server of an entry: enforces limits, assigns request ids, routes
// requests to handlers and converts exceptions of handlers to error responses.
// It bounds what callers make the entry hold (caller_connections.h).
//
//   CallerHttpServer front(options, routes);
//   Result<NetAddress> address = front.Start();
//   ...
//   front.BeginDrain();
//   front.Stop();

#ifndef CAROBSHIFT_SERVER_HTTP_CALLER_HTTP_SERVER_H_
#define CAROBSHIFT_SERVER_HTTP_CALLER_HTTP_SERVER_H_

#include <Poco/Net/TCPServer.h>
#include <Poco/SharedPtr.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <memory>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/result.h"
#include "carobshift/server/http/caller_connections.h"
#include "carobshift/server/http/route_table.h"

namespace carobshift {

struct CallerHttpServerOptions {
  EntryId entry;
  NetAddress listen;
  int threads = 1024;
  int max_connections = 2048;
  int max_header_fields = 64;
  Milliseconds read_timeout{10000};
  Milliseconds keep_alive_timeout{15000};
  // Of the process.
  Bytes memory = 160 << 20;
  // Told with each new connection what callers hold; null for none. Must
  // outlive the server.
  Metrics* metrics = nullptr;
};

class CallerHttpServer {
 public:
  // `routes` must outlive this object.
  CallerHttpServer(CallerHttpServerOptions options, const RouteTable& routes);
  ~CallerHttpServer();

  // Binds the socket and starts serving. Returns the bound address.
  Result<NetAddress> Start();

  // From now on each reply announces the end of its connection, so that callers
  // send their next requests elsewhere. Thread-safe.
  void BeginDrain() { draining_ = true; }
  // Refuses new connections, closes those without a request, and returns when
  // each request that has begun has its whole reply.
  void Stop();

 private:
  class HandlerFactory;

  const CallerHttpServerOptions options_;
  const RouteTable& routes_;
  Poco::ThreadPool threads_;
  std::atomic<bool> draining_{false};
  CallerConnections connections_;
  Poco::SharedPtr<HandlerFactory> handlers_;
  std::unique_ptr<Poco::Net::TCPServer> server_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_HTTP_CALLER_HTTP_SERVER_H_
