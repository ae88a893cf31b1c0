// What a caller is told when a request is refused or fails, as HTTP.
//
//   SendError(response, request_id, {ResultCode::kOverloaded,
//             RunState::kNotRun, "queue full", Milliseconds(800)});

#ifndef CAROBSHIFT_SERVER_HTTP_CALLER_ERROR_H_
#define CAROBSHIFT_SERVER_HTTP_CALLER_ERROR_H_

#include <Poco/Net/HTTPServerResponse.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "carobshift/base/ids.h"
#include "carobshift/base/result.h"
#include "carobshift/base/units.h"

namespace carobshift {

struct CallerError {
  ResultCode code = ResultCode::kInternal;
  // kNotRun only where it is proven.
  RunState state = RunState::kOutcomeUnknown;
  std::string message;
  // When a return makes sense; nothing if it doesn't.
  std::optional<Milliseconds> retry_after;
};

// An error that is found before anything could have run.
[[nodiscard]] CallerError NotRun(ResultCode code, std::string message);

// The body: {"error": {code, name, state, message, request_id,
// retry_after_ms}}.
[[nodiscard]] nlohmann::json ErrorBody(const RequestId& request,
                                       const CallerError& error);

// Sends the whole response. The connection is closed after it, because an
// unread rest of the request's body would be taken for the next request.
void SendError(Poco::Net::HTTPServerResponse& response,
               const RequestId& request,
               const CallerError& error);

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_HTTP_CALLER_ERROR_H_
