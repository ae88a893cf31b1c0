#include "carobshift/retry/retry_policy.h"

#include <algorithm>

#include "carobshift/base/digest.h"

namespace carobshift {

namespace {

RetryAction Fail(ResultCode code,
                 const RetryRequest& request,
                 const AttemptFailure& failure) {
  return {.kind = RetryActionKind::kFail,
          .code = code,
          .run_state = RunStateAfter(request, failure)};
}

// Returns whether another attempt could succeed.
bool IsTransient(ResultCode code) {
  switch (code) {
    case ResultCode::kNoEndpoint:
    case ResultCode::kEndpointFailed:
    case ResultCode::kEndpointTimeout:
    case ResultCode::kEndpointRefused:
    case ResultCode::kVersionMismatch:
      return true;
    default:
      return false;
  }
}

}  // namespace

RunState RunStateAfter(const RetryRequest& request,
                       const AttemptFailure& failure) {
  if (request.delivered > 0)
    return RunState::kRan;
  return failure.may_have_run ? RunState::kOutcomeUnknown : RunState::kNotRun;
}

RetryAction DecideRetry(const RetryPolicy& policy,
                        const RetryRequest& request,
                        const AttemptFailure& failure,
                        MonotonicTime now) {
  if (!IsTransient(failure.code))
    return Fail(failure.code, request, failure);
  if (!request.idempotent && failure.may_have_run)
    return Fail(failure.code, request, failure);
  if (request.delivered > 0 && !request.version_available)
    return Fail(ResultCode::kVersionGone, request, failure);
  if (!request.endpoint_available)
    return Fail(ResultCode::kNoEndpoint, request, failure);
  if (request.attempts >= policy.max_attempts)
    return Fail(failure.code, request, failure);
  const MonotonicTime start =
      now + Backoff(policy, request.id, request.attempts);
  if (request.deadline &&
      start + policy.min_attempt_duration > *request.deadline)
    return Fail(ResultCode::kDeadlineExceeded, request, failure);
  return {.kind = request.delivered > 0 ? RetryActionKind::kResume
                                        : RetryActionKind::kRetry,
          .not_before = start};
}

Microseconds Backoff(const RetryPolicy& policy,
                     const RequestId& id,
                     int attempts) {
  const int doublings = std::clamp(attempts - 1, 0, 16);
  const Milliseconds longest =
      std::min(policy.first_backoff * (1 << doublings), policy.max_backoff);
  const std::uint64_t hash =
      FastHash(id.value(), static_cast<std::uint64_t>(attempts));
  const double fraction = 0.5 + 0.5 * static_cast<double>(hash >> 11) * 0x1p-53;
  return Microseconds(static_cast<std::int64_t>(
      fraction * static_cast<double>(Microseconds(longest).count())));
}

MonotonicTime AttemptDeadline(
    const RetryPolicy& policy,
    const std::optional<MonotonicTime>& caller_deadline,
    MonotonicTime now) {
  const MonotonicTime longest = now + policy.max_attempt_duration;
  return caller_deadline ? std::min(*caller_deadline, longest) : longest;
}

}  // namespace carobshift
