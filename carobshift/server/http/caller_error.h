// The error that a caller gets when its request is refused or fails, and its
// form as an HTTP response.
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
  // kNotRun only if it is proven that nothing ran.
  RunState state = RunState::kOutcomeUnknown;
  std::string message;
  // When the caller should retry; empty if a retry is not useful.
  std::optional<Milliseconds> retry_after;
};

// Makes an error that was found before any part of the request could have run.
[[nodiscard]] CallerError NotRun(ResultCode code, std::string message);

// The JSON body: {"error": {code, name, state, message, request_id,
// retry_after_ms}}.
[[nodiscard]] nlohmann::json ErrorBody(const RequestId& request,
                                       const CallerError& error);

// Sends the whole response and closes the connection. On a connection that is
// kept alive, the unread rest of the request's body would be parsed as the next
// request.
void SendError(Poco::Net::HTTPServerResponse& response,
               const RequestId& request,
               const CallerError& error);

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_HTTP_CALLER_ERROR_H_
