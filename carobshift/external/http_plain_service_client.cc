#include "carobshift/external/http_plain_service_client.h"

#include <utility>

#include "carobshift/external/internal/http_exchange.h"

namespace carobshift {
namespace {

constexpr char kNotRun[] = "not_run";

Error FailureOf(const HttpReply& reply) {
  if (reply.delivery == DeliveryState::kNotSent)
    return {ResultCode::kNoEndpoint, reply.failure};
  if (reply.timed_out)
    return {ResultCode::kEndpointTimeout, reply.failure};
  return {ResultCode::kEndpointFailed, reply.failure};
}

}  // namespace

HttpPlainServiceClient::HttpPlainServiceClient(const HttpOptions& options)
    : http_(std::make_unique<HttpExchange>(options)) {}
HttpPlainServiceClient::~HttpPlainServiceClient() = default;

PlainResult HttpPlainServiceClient::Call(const NetAddress& service,
                                         const PlainCall& call) {
  HttpCall http_call;
  http_call.peer = service;
  http_call.method = "POST";
  http_call.path = "/call";
  http_call.body = call.body;
  http_call.content_type =
      call.content_type.empty() ? "application/json" : call.content_type;
  http_call.headers = {{"X-Request-Id", call.request.value()},
                       {"X-Client-Account", call.account.value()}};
  http_call.progress_timeout = call.timeout;
  http_call.total_timeout = call.timeout;
  http_call.new_connection = true;
  HttpReply reply = http_->Run(http_call);
  if (reply.delivery != DeliveryState::kAnswered)
    return {FailureOf(reply), reply.delivery != DeliveryState::kNotSent};
  // The service reports that it rejected the call, for example because it is
  // leaving.
  if (reply.run_state == kNotRun)
    return {Error{ResultCode::kEndpointRefused, "refused by the service"},
            false};
  return {PlainAnswer{reply.status, std::move(reply.body),
                      std::move(reply.content_type)},
          true};
}

}  // namespace carobshift
