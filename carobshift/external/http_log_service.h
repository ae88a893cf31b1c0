// HttpLogService reads and appends to the platform's log over HTTP.
// docs/PLATFORM.md describes the routes.
//
//   HttpLogService log(address, HttpOptions());
//   Result<LogOffset> offset = log.Append(LogStream("config"), payload);

#ifndef CAROBSHIFT_EXTERNAL_HTTP_LOG_SERVICE_H_
#define CAROBSHIFT_EXTERNAL_HTTP_LOG_SERVICE_H_

#include <memory>
#include <string_view>

#include "carobshift/base/net_address.h"
#include "carobshift/external/http_options.h"
#include "carobshift/external/log_service.h"

namespace carobshift {

class HttpExchange;

// Thread-safe. Read blocks for up to `wait` plus the request timeout.
class HttpLogService : public LogService {
 public:
  HttpLogService(NetAddress address, const HttpOptions& options);
  ~HttpLogService() override;

  Result<LogOffset> Append(const LogStream& stream,
                           std::string_view payload) override;
  Result<LogBatch> Read(const LogStream& stream,
                        LogOffset from,
                        std::size_t max_records,
                        Milliseconds wait) override;

 private:
  const NetAddress address_;
  const std::unique_ptr<HttpExchange> http_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_EXTERNAL_HTTP_LOG_SERVICE_H_
