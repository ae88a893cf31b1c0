// Builds the gateway's own failure answers, in one format for all of them.
//
//   reply.SendWhole(FailureHead(503, Milliseconds(400)),
//                   FailureBody(ResultCode::kOverloaded, "not_run"));

#ifndef CAROBSHIFT_GATEWAY_REQUEST_FAILURE_REPLY_H_
#define CAROBSHIFT_GATEWAY_REQUEST_FAILURE_REPLY_H_

#include <optional>
#include <string>
#include <string_view>

#include "carobshift/base/result_code.h"
#include "carobshift/base/units.h"
#include "carobshift/net/http_message.h"

namespace carobshift {

// Returns the head of a failure answer. `retry_after` is set only for refusals.
[[nodiscard]] HttpHead FailureHead(int status,
                                   std::optional<Milliseconds> retry_after);

// Returns JSON with the code's number and name, and with the run state: whether
// the request may have run.
[[nodiscard]] std::string FailureBody(ResultCode code,
                                      std::string_view run_state);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_FAILURE_REPLY_H_
