// What to do after an attempt has failed: send again, resume, or answer.
//
//   RetryAction action = DecideRetry(policy, request, failure, now);
//   if (action.kind == RetryActionKind::kFail) ...  // action.code, .run_state
//
// The retry budget (retry_budget.h) is asked after this: an action that
// retries still needs TrySpend.
//
// Rules, with what goes wrong without them:
// - A call that isn't idempotent is sent again only if no byte of it may have
//   reached the endpoint; else a slot or permit is confirmed twice.
// - Tokens that the caller has received are never generated anew: another
//   run could word them differently, and the caller would read a text that
//   nobody generated. The answer is resumed on the same weight version, or
//   ends with kVersionGone.
// - No attempt starts that can't end inside the caller's deadline: it would
//   only take room from others.
// - Retries back off with jitter from the request's hash: attempts that fail
//   together must not return together.
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
  // Doubled for each attempt, up to the maximum; the wait is drawn from its
  // upper half. 25 ms is about a prefill of 200 tokens, less than a caller
  // notices; a second keeps within usual deadlines.
  Milliseconds first_backoff{25};
  Milliseconds max_backoff{1000};
  // Least time that an attempt needs to be of use.
  Milliseconds least_attempt{50};
  // Longest attempt of a request without a deadline.
  Milliseconds longest_attempt{600000};
};

// What is known of the request when an attempt has failed.
struct RetryRequest {
  RequestId id;
  // Attempts made, the failed one included.
  int attempts = 1;
  bool idempotent = true;
  // By the caller's deadline header.
  std::optional<MonotonicTime> deadline;
  // Tokens that the caller has received, and the version that made them.
  Tokens delivered = 0;
  // Whether an endpoint with that version takes work.
  bool version_available = true;
  // Whether some endpoint can take another attempt.
  bool endpoint_available = true;
};

// How an attempt ended.
struct AttemptFailure {
  ResultCode code = ResultCode::kEndpointFailed;
  // False only if proven: no byte reached the endpoint, or the endpoint said
  // that it did not run the request.
  bool may_have_run = true;
};

enum class RetryActionKind { kRetry, kResume, kFail };

struct RetryAction {
  RetryActionKind kind = RetryActionKind::kFail;
  // For kRetry and kResume: not before this.
  MonotonicTime not_before{};
  // For kFail.
  ResultCode code = ResultCode::kOk;
  RunState run_state = RunState::kOutcomeUnknown;
};

[[nodiscard]] RetryAction DecideRetry(const RetryPolicy& policy,
                                      const RetryRequest& request,
                                      const AttemptFailure& failure,
                                      MonotonicTime now);

// Wait before attempt `attempts` + 1.
[[nodiscard]] Microseconds Backoff(const RetryPolicy& policy,
                                   const RequestId& id,
                                   int attempts);

// When an attempt that begins now must have ended.
[[nodiscard]] MonotonicTime AttemptDeadline(
    const RetryPolicy& policy,
    const std::optional<MonotonicTime>& caller_deadline,
    MonotonicTime now);

// What a caller may conclude if the request ends with this failure.
[[nodiscard]] RunState RunStateAfter(const RetryRequest& request,
                                     const AttemptFailure& failure);

}  // namespace carobshift

#endif  // CAROBSHIFT_RETRY_RETRY_POLICY_H_
