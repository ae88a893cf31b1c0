#include "carobshift/server/http/caller_error.h"

#include "carobshift/server/http/route_handler.h"

namespace carobshift {
namespace {

// A new entry obtains the configuration from the log or a peer within a second.
constexpr Milliseconds kNoConfigRetryAfter{1000};

}  // namespace

CallerError NotRun(ResultCode code, std::string message) {
  CallerError error{code, RunState::kNotRun, std::move(message), std::nullopt};
  if (code == ResultCode::kNoConfig)
    error.retry_after = kNoConfigRetryAfter;
  return error;
}

nlohmann::json ErrorBody(const RequestId& request, const CallerError& error) {
  nlohmann::json body = {{"code", static_cast<int>(error.code)},
                         {"name", ResultCodeName(error.code)},
                         {"state", RunStateName(error.state)},
                         {"message", error.message},
                         {"request_id", request.value()}};
  if (error.retry_after)
    body["retry_after_ms"] = error.retry_after->count();
  return {{"error", body}};
}

void SendError(Poco::Net::HTTPServerResponse& response,
               const RequestId& request,
               const CallerError& error) {
  response.setKeepAlive(false);
  if (error.retry_after) {
    // Retry-After is in whole seconds; the body has the exact time.
    const auto seconds = std::chrono::ceil<Seconds>(*error.retry_after);
    response.set("Retry-After", std::to_string(seconds.count()));
  }
  SendJson(response, HttpStatusOf(error.code), ErrorBody(request, error));
}

}  // namespace carobshift
