// Plain services over HTTP. docs/PLATFORM.md has the route.
//
//   HttpPlainServiceClient client(HttpOptions{});
//   PlainResult result = client.Call(address, call);

#ifndef CAROBSHIFT_EXTERNAL_HTTP_PLAIN_SERVICE_CLIENT_H_
#define CAROBSHIFT_EXTERNAL_HTTP_PLAIN_SERVICE_CLIENT_H_

#include <memory>

#include "carobshift/external/http_options.h"
#include "carobshift/external/plain_service.h"

namespace carobshift {

class HttpExchange;

// Thread-safe. Each call gets a new connection: a kept one may have gone
// silent, and a call that may not be repeated would then end with its outcome
// open although the service is well.
class HttpPlainServiceClient : public PlainServiceClient {
 public:
  explicit HttpPlainServiceClient(const HttpOptions& options);
  ~HttpPlainServiceClient() override;

  PlainResult Call(const NetAddress& service, const PlainCall& call) override;

 private:
  const std::unique_ptr<HttpExchange> http_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_EXTERNAL_HTTP_PLAIN_SERVICE_CLIENT_H_
