// JSON over HttpExchange: parsing an answer, and the errors that peers name.
//
//   Result<nlohmann::json> answer = JsonAnswer(reply, fallback);

#ifndef CAROBSHIFT_EXTERNAL_INTERNAL_HTTP_JSON_H_
#define CAROBSHIFT_EXTERNAL_INTERNAL_HTTP_JSON_H_

#include <nlohmann/json.hpp>
#include <string_view>

#include "carobshift/base/result.h"
#include "carobshift/cache/block_chain.h"
#include "carobshift/external/engine.h"
#include "carobshift/external/internal/http_exchange.h"

namespace carobshift {

// What each way of failing means for one kind of call.
struct FailureCodes {
  // No byte was sent.
  ResultCode not_sent;
  // Sent, and no whole answer within the time.
  ResultCode timed_out;
  // Sent, and the connection failed, or the answer is no valid one.
  ResultCode broken;
  // The peer answered with an error that names no known type.
  ResultCode refused;
};

// The error of a failed exchange or of an answer with status 400 or more;
// nothing if the answer is a good one. An error body is
// {"error":{"type":NAME,"message":TEXT}}, NAME as in the table of
// result codes. A 5xx answer without one tells nothing about what ran, and
// counts as `broken`.
[[nodiscard]] std::optional<Error> FailureOf(const HttpReply& reply,
                                             const FailureCodes& codes);

// The answer's body as a JSON object, or the failure.
[[nodiscard]] Result<nlohmann::json> JsonAnswer(const HttpReply& reply,
                                                const FailureCodes& codes);

[[nodiscard]] nlohmann::json ToJson(const BlockHandle& handle);
// Throws nlohmann::json::exception if a field is missing or of another type.
[[nodiscard]] BlockHandle BlockHandleFromJson(const nlohmann::json& json);

}  // namespace carobshift

#endif  // CAROBSHIFT_EXTERNAL_INTERNAL_HTTP_JSON_H_
