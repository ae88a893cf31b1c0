#include "carobshift/server/dispatch/attempt_control.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace carobshift {
namespace {

constexpr Milliseconds kNoEndpointRetryAfter{1000};

std::string_view ReasonName(RouteReason reason) {
  switch (reason) {
    case RouteReason::kLeastExpectedTime:
      return "least_expected_time";
    case RouteReason::kProbe:
      return "probe";
    default:
      return "baseline";
  }
}

double ToMilliseconds(Microseconds time) {
  return static_cast<double>(time.count()) / 1000;
}

std::string RefusalMessage(ResultCode code) {
  switch (code) {
    case ResultCode::kAccountLimit:
      return "the client account has too many requests in progress here";
    case ResultCode::kDeadlineUnreachable:
      return "the deadline can't be met at the present load";
    case ResultCode::kCancelled:
      return "the caller closed the connection";
    default:
      return "the service is full";
  }
}

// The error of the last attempt. Suggests a retry time only for kNoEndpoint,
// because a retry of a request that may have reached an endpoint can be a
// duplicate.
CallerError FinalError(const RetryAction& action, const FailedAttempt& failed) {
  CallerError error{action.code, action.run_state, failed.message,
                    std::nullopt};
  if (action.code == ResultCode::kNoEndpoint)
    error.retry_after = kNoEndpointRetryAfter;
  return error;
}

}  // namespace

std::vector<EndpointInfo> AttemptControl::RefreshCandidates(
    const ServiceSpec& service) const {
  std::vector<EndpointInfo> candidates = context_.endpoints.Candidates(service);
  const auto live = context_.membership.live_count();
  context_.load.Refresh(service, candidates, live, MonotonicNow());
  return candidates;
}

std::optional<CallerError> AttemptControl::Admit(
    const ServiceSpec& service,
    const AccountSpec& account,
    const AdmitRequest& request,
    const std::function<bool()>& caller_disconnected,
    AdmitAnswer* answer) const {
  if (RefreshCandidates(service).empty()) {
    return CallerError{ResultCode::kNoEndpoint, RunState::kNotRun,
                       "no endpoint of the service takes work",
                       kNoEndpointRetryAfter};
  }
  *answer = context_.load.Admit(service, account, request, caller_disconnected);
  context_.journal.Note(
      request.id, MonotonicNow(), answer->admitted ? "admitted" : "refused",
      {{"waited_ms", ToMilliseconds(answer->waited)},
       {"expected_wait_ms", ToMilliseconds(answer->expected_wait)},
       {"cost", answer->cost},
       {"cost_ahead", answer->cost_ahead}});
  context_.metrics.Observe("carobshift_admission_wait_seconds",
                           {{"service", service.name.value()}}, answer->waited);
  if (answer->admitted)
    return std::nullopt;
  return CallerError{answer->code, RunState::kNotRun,
                     RefusalMessage(answer->code), answer->retry_after};
}

std::optional<Attempt> AttemptControl::BeginAttempt(
    const ServiceSpec& service,
    const RouteQuery& query,
    ContentFingerprint fingerprint,
    const std::vector<EndpointInfo>& candidates) const {
  const MonotonicTime now = MonotonicNow();
  auto attempt =
      context_.load.BeginAttempt(service, query, fingerprint, candidates, now);
  if (!attempt)
    return attempt;
  const RoutingChoice& choice = attempt->choice;
  nlohmann::json why = {
      {"endpoint", attempt->endpoint.id.value()},
      {"why", ReasonName(choice.reason)},
      {"alone", attempt->isolated},
      {"cached_tokens", choice.cached},
      {"import", choice.import.has_value()},
      {"expected_wait_ms", ToMilliseconds(choice.expected_wait)},
      {"expected_first_token_ms", ToMilliseconds(choice.expected_first_token)}};
  if (attempt->endpoint.status)
    why["version"] = attempt->endpoint.status->version.value();
  context_.journal.Note(query.id, now, "dispatched", std::move(why));
  return attempt;
}

std::optional<CallerError> AttemptControl::DecideRetry(
    const ServiceSpec& service,
    const AccountId& account,
    const RetryRequest& request,
    const FailedAttempt& failed) const {
  RetryAction action = carobshift::DecideRetry(RetryPolicy{}, request,
                                               failed.failure, MonotonicNow());
  const bool again = action.kind != RetryActionKind::kFail;
  if (again && !context_.load.TrySpendRetry(account, service.name)) {
    action.kind = RetryActionKind::kFail;
    action.code = ResultCode::kRetryBudgetSpent;
    action.run_state = RunStateAfter(request, failed.failure);
  }
  context_.journal.Note(
      request.id, MonotonicNow(),
      action.kind == RetryActionKind::kFail ? "failed" : "retried",
      {{"attempts", request.attempts},
       {"reason", failed.message},
       {"may_have_run", failed.failure.may_have_run}});
  if (action.kind == RetryActionKind::kFail)
    return FinalError(action, failed);
  context_.metrics.Add("carobshift_retries_total",
                       {{"service", service.name.value()}}, 1);
  std::this_thread::sleep_until(action.not_before);
  return std::nullopt;
}

const AccountSpec& AccountOf(const ActiveConfig& config,
                             const AccountId& account) {
  static const AccountSpec kUndeclared;
  const AccountSpec* spec = config.declaration.FindAccount(account);
  return spec != nullptr ? *spec : kUndeclared;
}

AttemptEnd AttemptEndOf(ResultCode code) {
  switch (code) {
    case ResultCode::kEndpointFailed:
      return AttemptEnd::kBroken;
    case ResultCode::kEndpointTimeout:
    case ResultCode::kNoEndpoint:
      return AttemptEnd::kEndpointFault;
    default:
      return AttemptEnd::kNoFault;
  }
}

std::vector<EndpointInfo> WithoutTried(std::vector<EndpointInfo> candidates,
                                       const std::set<EndpointId>& tried) {
  std::vector<EndpointInfo> untried;
  for (const EndpointInfo& candidate : candidates) {
    if (!tried.contains(candidate.id))
      untried.push_back(candidate);
  }
  return untried.empty() ? candidates : untried;
}

}  // namespace carobshift
