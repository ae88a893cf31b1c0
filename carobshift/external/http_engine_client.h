// HttpEngineClient calls model engines over HTTP and receives streams as
// server-sent events. docs/PLATFORM.md describes the routes.
//
//   HttpEngineClient engines(HttpOptions{});
//   Status done = engines.Generate(address, request, sink);

#ifndef CAROBSHIFT_EXTERNAL_HTTP_ENGINE_CLIENT_H_
#define CAROBSHIFT_EXTERNAL_HTTP_ENGINE_CLIENT_H_

#include <memory>

#include "carobshift/external/engine.h"
#include "carobshift/external/http_options.h"

namespace carobshift {

class HttpExchange;

// Thread-safe. Order is subject to the request timeout, since an engine replies
// before it loads the weights. Export has a longer timeout of its own, since an
// engine replies after the export is sealed.
class HttpEngineClient : public EngineClient {
 public:
  explicit HttpEngineClient(const HttpOptions& options);
  ~HttpEngineClient() override;

  Status Generate(const NetAddress& engine,
                  const GenerateRequest& request,
                  TokenSink& sink) override;
  Result<EngineStatus> FetchStatus(const NetAddress& engine) override;
  Result<CacheEventBatch> FetchEvents(const NetAddress& engine,
                                      std::uint64_t from_sequence) override;
  Result<CacheEventBatch> ListBlocks(const NetAddress& engine) override;
  Status Order(const NetAddress& engine, const EngineOrder& order) override;
  Result<BlockHandle> Export(const NetAddress& engine,
                             const ExportRequest& request) override;

 private:
  const std::unique_ptr<HttpExchange> http_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_EXTERNAL_HTTP_ENGINE_CLIENT_H_
