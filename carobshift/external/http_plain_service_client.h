// HttpPlainServiceClient calls plain services over HTTP. docs/PLATFORM.md
// describes the route.
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

// Thread-safe. Each call uses a new connection: an idle connection may have
// died unnoticed, and the outcome of a call that must not be retried would then
// be unknown although the service is healthy.
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
