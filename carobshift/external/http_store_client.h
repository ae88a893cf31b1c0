// HttpStoreClient calls KV cache stores over HTTP. docs/PLATFORM.md describes
// the routes.
//
//   HttpStoreClient stores(HttpOptions{});
//   Status pinned = stores.Pin(address, handle, Seconds(10));

#ifndef CAROBSHIFT_EXTERNAL_HTTP_STORE_CLIENT_H_
#define CAROBSHIFT_EXTERNAL_HTTP_STORE_CLIENT_H_

#include <memory>

#include "carobshift/external/http_options.h"
#include "carobshift/external/store.h"

namespace carobshift {

class HttpExchange;

// Thread-safe. Returns kStoreUnavailable if the store can't be reached or the
// connection fails.
class HttpStoreClient : public StoreClient {
 public:
  explicit HttpStoreClient(const HttpOptions& options);
  ~HttpStoreClient() override;

  Result<StoreStatus> FetchStatus(const NetAddress& store) override;
  Status Pin(const NetAddress& store,
             const BlockHandle& handle,
             Milliseconds duration) override;
  Status Drop(const NetAddress& store, const BlockHandle& handle) override;

 private:
  const std::unique_ptr<HttpExchange> http_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_EXTERNAL_HTTP_STORE_CLIENT_H_
