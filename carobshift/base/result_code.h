// Numbered result codes for callers, operators and peers, as a std::error_code
// category. docs/ERRORS.md describes each code.
//
//   std::error_code code = ResultCode::kOverloaded;
//   code.message();                       // "overloaded"
//
// The numbers are part of the public interface: they are never reused or
// renumbered.

#ifndef CAROBSHIFT_BASE_RESULT_CODE_H_
#define CAROBSHIFT_BASE_RESULT_CODE_H_

#include <optional>
#include <string_view>
#include <system_error>

namespace carobshift {

enum class ResultCode {
  kOk = 0,
  // 1xx: errors of the request.
  kMalformedRequest = 100,
  kUnauthenticated = 101,
  kUnknownService = 102,
  kRequestTooLarge = 103,
  kKeyReusedForOtherRequest = 104,
  kInvalidIdempotencyKey = 105,
  kUnknownRoute = 106,
  kForbidden = 107,
  kIdempotencyKeyExpired = 108,
  kUnknownOutcome = 109,
  kIdempotencyKeyRequired = 110,
  // 2xx: admission control and load shedding.
  kOverloaded = 200,
  kDeadlineUnreachable = 201,
  kRetryBudgetSpent = 202,
  kRequestSuspected = 203,
  kAccountLimit = 204,
  // 3xx: endpoints and entries.
  kNoEndpoint = 300,
  kEndpointFailed = 301,
  kEndpointTimeout = 302,
  kVersionMismatch = 303,
  kVersionGone = 304,
  kEntryLeaving = 305,
  kHomeUnreachable = 306,
  kEndpointRefused = 307,
  kWeightsReplaced = 308,
  kZoneEvacuated = 309,
  kRegionNotAllowed = 310,
  kSoftwareGone = 311,
  kSoftwareUnknown = 312,
  // 4xx: services of the platform.
  kLogUnavailable = 400,
  kLogOutcomeUnknown = 401,
  kLogRecordExpired = 402,
  kListUnavailable = 403,
  kStoreUnavailable = 404,
  kStoreFull = 405,
  kBlockRejected = 406,
  kWeightStoreUnavailable = 407,
  // 5xx: configuration.
  kInvalidConfig = 500,
  kLostEditRace = 501,
  kBaseMissing = 502,
  kNoConfig = 503,
  kInvalidSettings = 504,
  // 6xx: peers.
  kPeerUnreachable = 600,
  kPeerRejected = 601,
  kStaleFencing = 602,
  kLeaseLost = 603,
  // 9xx: errors within this process.
  kDeadlineExceeded = 900,
  kCancelled = 901,
  kInternal = 902,
};

// What a reply tells its caller about the execution of the request.
enum class RunState {
  // Proven: no endpoint has received or will receive the request.
  kNotRun,
  // The request may have run, may still be running or may never have run.
  kOutcomeUnknown,
  // The request ran; the reply holds its result.
  kRan,
};

[[nodiscard]] std::string_view ResultCodeName(ResultCode code);
[[nodiscard]] std::string_view RunStateName(RunState state);

// Returns the code with this number, or nullopt if there is none.
[[nodiscard]] std::optional<ResultCode> ResultCodeFromNumber(int number);

// Returns the HTTP status with which callers receive `code`.
[[nodiscard]] int HttpStatusOf(ResultCode code);

[[nodiscard]] const std::error_category& ResultCategory();
[[nodiscard]] std::error_code make_error_code(ResultCode code);

}  // namespace carobshift

template <>
struct std::is_error_code_enum<carobshift::ResultCode> : std::true_type {};

#endif  // CAROBSHIFT_BASE_RESULT_CODE_H_
