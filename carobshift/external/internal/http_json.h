// JSON over HttpExchange: parses replies and the errors that peers report.
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

// Result codes for the ways in which one kind of call can fail.
struct FailureCodes {
  // No byte was sent.
  ResultCode not_sent;
  // Sent, but no complete reply arrived in time.
  ResultCode timed_out;
  // Sent, but the connection failed or the reply is invalid.
  ResultCode broken;
  // The peer replied with an error status below 500 that names no known type.
  ResultCode refused;
};

// Returns the error of a failed exchange or of a reply with status 400 or
// above, and nullopt for a successful reply. An error body is
// {"error":{"type":NAME,"message":TEXT}} with a NAME from the table of result
// codes. A 5xx reply without such a body doesn't tell what ran, and yields
// `broken`.
[[nodiscard]] std::optional<Error> FailureOf(const HttpReply& reply,
                                             const FailureCodes& codes);

// Returns the reply's body as a JSON object, or the failure.
[[nodiscard]] Result<nlohmann::json> JsonAnswer(const HttpReply& reply,
                                                const FailureCodes& codes);

[[nodiscard]] nlohmann::json ToJson(const BlockHandle& handle);
// Throws nlohmann::json::exception if a field is missing or of another type.
[[nodiscard]] BlockHandle BlockHandleFromJson(const nlohmann::json& json);

}  // namespace carobshift

#endif  // CAROBSHIFT_EXTERNAL_INTERNAL_HTTP_JSON_H_
