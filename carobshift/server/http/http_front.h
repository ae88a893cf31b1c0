// The HTTP server of an entry: limits, request ids, routing, and a clear
// error for whatever goes wrong in a handler.
//
//   HttpFront front(options, routes);
//   Result<NetAddress> address = front.Start();
//   ...
//   front.StopAccepting();

#ifndef CAROBSHIFT_SERVER_HTTP_HTTP_FRONT_H_
#define CAROBSHIFT_SERVER_HTTP_HTTP_FRONT_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <memory>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/result.h"
#include "carobshift/server/http/route_table.h"

namespace carobshift {

struct HttpFrontOptions {
  EntryId entry;
  NetAddress listen;
  int threads = 1024;
  int max_connections = 2048;
  int max_header_fields = 64;
  Milliseconds read_timeout{10000};
  Milliseconds keep_alive_timeout{15000};
};

class HttpFront {
 public:
  // `routes` must outlive the front.
  HttpFront(HttpFrontOptions options, const RouteTable& routes);
  ~HttpFront();

  // Binds and serves; returns the bound address.
  Result<NetAddress> Start();

  // Connections in progress go on; new ones are refused.
  void StopAccepting();

  // Requests that are being handled now.
  [[nodiscard]] int active_requests() const { return active_requests_; }

 private:
  const HttpFrontOptions options_;
  const RouteTable& routes_;
  Poco::ThreadPool threads_;
  std::atomic<int> active_requests_{0};
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_HTTP_HTTP_FRONT_H_
