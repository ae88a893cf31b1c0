// The system's own failure answers, in one form for all of them.
//
//   reply.SendWhole(FailureHead(503, Milliseconds(400)),
//                   FailureBody(ResultCode::kOverloaded, "not_run"));

#ifndef CAROBSHIFT_GATEWAY_FAILURE_REPLY_H_
#define CAROBSHIFT_GATEWAY_FAILURE_REPLY_H_

#include <optional>
#include <string>
#include <string_view>

#include "carobshift/base/result_code.h"
#include "carobshift/base/units.h"
#include "carobshift/net/http_message.h"

namespace carobshift {

// `return_after` tells when to come back; for refusals only.
[[nodiscard]] HttpHead FailureHead(int status,
                                   std::optional<Milliseconds> return_after);

// JSON with the code's number and name, and what may be concluded about the
// request.
[[nodiscard]] std::string FailureBody(ResultCode code,
                                      std::string_view run_state);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_FAILURE_REPLY_H_
