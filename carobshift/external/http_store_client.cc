#include "carobshift/external/http_store_client.h"

#include <string>
#include <utility>

#include "carobshift/external/internal/http_exchange.h"
#include "carobshift/external/internal/http_json.h"

namespace carobshift {
namespace {

constexpr FailureCodes kFailures = {
    .not_sent = ResultCode::kStoreUnavailable,
    .timed_out = ResultCode::kStoreUnavailable,
    .broken = ResultCode::kStoreUnavailable,
    .refused = ResultCode::kBlockRejected,
};

HttpCall CallTo(const NetAddress& store, const HttpOptions& options) {
  HttpCall call;
  call.peer = store;
  call.progress_timeout = options.request_timeout;
  call.total_timeout = options.request_timeout;
  return call;
}

Status StatusOf(const HttpReply& reply) {
  if (std::optional<Error> failure = FailureOf(reply, kFailures))
    return *std::move(failure);
  return {};
}

}  // namespace

HttpStoreClient::HttpStoreClient(const HttpOptions& options)
    : http_(std::make_unique<HttpExchange>(options)) {}
HttpStoreClient::~HttpStoreClient() = default;

Result<StoreStatus> HttpStoreClient::FetchStatus(const NetAddress& store) {
  HttpCall call = CallTo(store, http_->options());
  call.path = "/status";
  const Result<nlohmann::json> answer = JsonAnswer(http_->Run(call), kFailures);
  if (!answer.ok())
    return answer.error();
  try {
    const nlohmann::json& json = answer.value();
    StoreStatus status;
    status.generation = json.at("generation").get<std::uint64_t>();
    status.used = json.at("used").get<Bytes>();
    status.capacity = json.at("capacity").get<Bytes>();
    status.link_bytes_in = json.at("link_bytes_in").get<Bytes>();
    status.link_bytes_out = json.at("link_bytes_out").get<Bytes>();
    return status;
  } catch (const nlohmann::json::exception& error) {
    return Error{ResultCode::kStoreUnavailable, error.what()};
  }
}

Status HttpStoreClient::Pin(const NetAddress& store,
                            const BlockHandle& handle,
                            Milliseconds duration) {
  HttpCall call = CallTo(store, http_->options());
  call.method = "POST";
  call.path = "/pins";
  nlohmann::json body = ToJson(handle);
  body["duration_ms"] = duration.count();
  call.body = body.dump();
  return StatusOf(http_->Run(call));
}

Status HttpStoreClient::Drop(const NetAddress& store,
                             const BlockHandle& handle) {
  HttpCall call = CallTo(store, http_->options());
  call.method = "DELETE";
  call.path = "/objects/" + handle.object +
              "?generation=" + std::to_string(handle.generation) +
              "&checksum=" + std::to_string(handle.checksum);
  return StatusOf(http_->Run(call));
}

}  // namespace carobshift
