#include "carobshift/server/dispatch/plain_dispatcher.h"

#include <algorithm>
#include <set>
#include <utility>

namespace carobshift {
namespace {

AdmitRequest AdmitRequestOf(const PlainJob& job) {
  AdmitRequest request;
  request.id = job.id;
  request.account = job.account;
  request.deadline = job.deadline;
  return request;
}

RunState StateOf(bool may_have_run) {
  return may_have_run ? RunState::kOutcomeUnknown : RunState::kNotRun;
}

}  // namespace

PlainOutcome PlainDispatcher::Run(const PlainJob& job) {
  AdmitAnswer admitted;
  PlainOutcome outcome;
  // A caller's disconnect is not checked while its call waits: the wait is
  // bounded, and the caller may still want the call to run.
  outcome.error = control_.Admit(
      *job.service, AccountOf(*job.config, job.account), AdmitRequestOf(job),
      [] { return false; }, &admitted);
  if (!outcome.error) {
    outcome = Attempts(job);
    const MonotonicTime now = MonotonicNow();
    if (!outcome.error)
      context_.load.OnSuccess(job.account, job.service->name);
    context_.load.Finish(*job.service, job.id, admitted, std::nullopt, now);
  }
  const ResultCode code = outcome.error ? outcome.error->code : ResultCode::kOk;
  context_.metrics.Add("carobshift_requests_total",
                       {{"service", job.service->name.value()},
                        {"result", ResultCodeName(code)}},
                       1);
  context_.journal.End(job.id, MonotonicNow(), code);
  return outcome;
}

PlainOutcome PlainDispatcher::Attempts(const PlainJob& job) {
  std::set<EndpointId> tried;
  RetryRequest retry;
  retry.id = job.id;
  retry.idempotent = job.repeatable;
  retry.deadline = job.deadline;
  bool may_have_run = false;
  for (retry.attempts = 1;; ++retry.attempts) {
    if (MonotonicNow() >= job.deadline) {
      return {CallerError{ResultCode::kDeadlineExceeded, StateOf(may_have_run),
                          "the deadline passed before an endpoint answered",
                          std::nullopt},
              {}};
    }
    RouteQuery query;
    query.id = job.id;
    query.zone = context_.settings.zone;
    // Plain calls are not judged as crash suspects. The request id stands in
    // for the content, so no two calls share a fingerprint.
    const ContentFingerprint fingerprint =
        FingerprintOf(job.account, job.service->name, job.id.value());
    auto attempt = control_.BeginAttempt(
        *job.service, query, fingerprint,
        WithoutTried(control_.RefreshCandidates(*job.service), tried));
    if (!attempt) {
      return {CallerError{ResultCode::kNoEndpoint, StateOf(may_have_run),
                          "no endpoint of the service takes work",
                          Milliseconds(1000)},
              {}};
    }
    if (auto refused = PassGate(job, *attempt, fingerprint, may_have_run))
      return {std::move(refused), {}};
    tried.insert(attempt->endpoint.id);
    PlainResult result = CallOnce(job, &*attempt, fingerprint);
    if (result.answer.ok())
      return {std::nullopt, std::move(result.answer).value()};
    may_have_run = may_have_run || result.may_have_run;
    const Error& error = result.answer.error();
    auto final_error =
        control_.DecideRetry(*job.service, job.account, retry,
                             {{error.code, may_have_run}, error.message});
    if (final_error)
      return {std::move(final_error), {}};
  }
}

std::optional<CallerError> PlainDispatcher::PassGate(
    const PlainJob& job,
    const Attempt& attempt,
    ContentFingerprint fingerprint,
    bool may_have_run) {
  if (!job.gate)
    return std::nullopt;
  const std::optional<Refusal> refusal = job.gate(MonotonicNow());
  if (!refusal)
    return std::nullopt;
  context_.load.EndAttempt(*job.service, attempt, fingerprint,
                           AttemptEnd::kCompleted, MonotonicNow());
  return CallerError{refusal->code, StateOf(may_have_run), refusal->message,
                     std::nullopt};
}

PlainResult PlainDispatcher::CallOnce(const PlainJob& job,
                                      Attempt* attempt,
                                      ContentFingerprint fingerprint) {
  const MonotonicTime now = MonotonicNow();
  const PlainCall call{
      job.id, job.account, job.body, job.content_type,
      std::min(job.service->progress_timeout,
               std::chrono::ceil<Milliseconds>(job.deadline - now))};
  PlainResult result =
      context_.platform.plain_services.Call(attempt->endpoint.address, call);
  AttemptEnd end = AttemptEnd::kCompleted;
  if (result.answer.ok()) {
    context_.load.OnFirstToken(*job.service, job.id, attempt, MonotonicNow());
  } else {
    end = AttemptEndOf(result.answer.error().code);
  }
  context_.load.EndAttempt(*job.service, *attempt, fingerprint, end,
                           MonotonicNow());
  return result;
}

}  // namespace carobshift
