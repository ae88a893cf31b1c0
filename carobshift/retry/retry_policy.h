// Decides what to do after a failed attempt: retry, resume, or fail the
// request.
//
//   RetryAction action = DecideRetry(policy, request, failure, now);
//   if (action.kind == RetryActionKind::kFail) ...  // action.code, .run_state
//
// The retry budget (retry_budget.h) is checked afterwards: an action that
// retries still needs TrySpend.
//
// Rules, and the failure that each one prevents:
// - A call that isn't idempotent is retried only if no byte of it may have
//   reached the endpoint; otherwise a slot or permit is confirmed twice.
// - Tokens that the caller has received are never generated again: another run
//   could word them differently, and the caller would read a text that no run
//   generated. The answer is resumed on the same weight version, or ends with
//   kVersionGone.
// - No attempt starts that can't end within the caller's deadline: it would
//   only take capacity from others.
// - Retries back off with jitter from the request's hash, so that attempts that
//   fail together are not retried together.
//
// All functions are pure and thread-safe.

#ifndef CAROBSHIFT_RETRY_RETRY_POLICY_H_
#define CAROBSHIFT_RETRY_RETRY_POLICY_H_

#include <optional>

#include "carobshift/base/ids.h"
#include "carobshift/base/result_code.h"
#include "carobshift/base/units.h"

namespace carobshift {

struct RetryPolicy {
  int max_attempts = 4;
  // Doubled for each attempt, up to `max_backoff`; the delay is drawn from the
  // upper half. 25 ms is about a prefill of 200 tokens, less than a caller
  // notices; a second fits into the usual deadlines.
  Milliseconds first_backoff{25};
  Milliseconds max_backoff{1000};
  // Minimum time for which an attempt is worth starting.
  Milliseconds min_attempt_duration{50};
  // Maximum duration of an attempt of a request without a deadline.
  Milliseconds max_attempt_duration{600000};
};

// What is known of the request after a failed attempt.
struct RetryRequest {
  RequestId id;
  // Number of attempts made, including the failed one.
  int attempts = 1;
  bool idempotent = true;
  // From the caller's deadline header.
  std::optional<MonotonicTime> deadline;
  // Number of tokens that the caller has received.
  Tokens delivered = 0;
  // Whether an endpoint with the weight version of these tokens accepts work.
  bool version_available = true;
  // Whether any endpoint can take another attempt.
  bool endpoint_available = true;
};

// How an attempt ended.
struct AttemptFailure {
  ResultCode code = ResultCode::kEndpointFailed;
  // False only if it is proven that no byte reached the endpoint, or that the
  // endpoint reported that it did not run the request.
  bool may_have_run = true;
};

enum class RetryActionKind { kRetry, kResume, kFail };

struct RetryAction {
  RetryActionKind kind = RetryActionKind::kFail;
  // For kRetry and kResume: earliest start of the next attempt.
  MonotonicTime not_before{};
  // For kFail.
  ResultCode code = ResultCode::kOk;
  RunState run_state = RunState::kOutcomeUnknown;
};

[[nodiscard]] RetryAction DecideRetry(const RetryPolicy& policy,
                                      const RetryRequest& request,
                                      const AttemptFailure& failure,
                                      MonotonicTime now);

// Delay before attempt `attempts` + 1.
[[nodiscard]] Microseconds Backoff(const RetryPolicy& policy,
                                   const RequestId& id,
                                   int attempts);

// Returns the time by which an attempt that starts now must end.
[[nodiscard]] MonotonicTime AttemptDeadline(
    const RetryPolicy& policy,
    const std::optional<MonotonicTime>& caller_deadline,
    MonotonicTime now);

// Returns what a caller may conclude if the request ends with this failure.
[[nodiscard]] RunState RunStateAfter(const RetryRequest& request,
                                     const AttemptFailure& failure);

}  // namespace carobshift

#endif  // CAROBSHIFT_RETRY_RETRY_POLICY_H_
