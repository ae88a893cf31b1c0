#include "carobshift/server/dispatch/plain_dispatcher.h"

#include <algorithm>
#include <utility>

namespace carobshift {
namespace {

constexpr std::size_t kMaxAttempts = 3;
constexpr Milliseconds kNoEndpointRetryAfter{1000};

}  // namespace

PlainOutcome PlainDispatcher::Run(const PlainJob& job) {
  PlainOutcome outcome = Attempts(job);
  const ResultCode code = outcome.error ? outcome.error->code : ResultCode::kOk;
  context_.metrics.Add("carobshift_requests_total",
                       {{"service", job.service->name.value()},
                        {"result", ResultCodeName(code)}},
                       1);
  context_.journal.End(job.id, MonotonicNow(), code);
  return outcome;
}

PlainOutcome PlainDispatcher::Attempts(const PlainJob& job) {
  const auto candidates = context_.endpoints.Candidates(*job.service);
  const std::size_t tries = std::min(candidates.size(), kMaxAttempts);
  bool may_have_run = false;
  std::string reason = "no endpoint of the service takes work";
  ResultCode code = ResultCode::kNoEndpoint;
  for (std::size_t i = 0; i < tries; ++i) {
    const MonotonicTime now = MonotonicNow();
    if (now >= job.deadline) {
      code = ResultCode::kDeadlineExceeded;
      reason = "the deadline passed before an endpoint answered";
      break;
    }
    const EndpointInfo& endpoint = candidates[next_++ % candidates.size()];
    context_.journal.Note(job.id, now, "dispatched",
                          {{"endpoint", endpoint.id.value()}});
    PlainCall call{
        job.id, job.account, job.body, job.content_type,
        std::min(job.service->progress_timeout,
                 std::chrono::ceil<Milliseconds>(job.deadline - now))};
    PlainResult result =
        context_.platform.plain_services.Call(endpoint.address, call);
    if (result.answer.ok())
      return {std::nullopt, std::move(result.answer).value()};
    may_have_run = may_have_run || result.may_have_run;
    code = result.answer.error().code;
    reason = result.answer.error().message;
    context_.journal.Note(job.id, MonotonicNow(), "attempt_failed",
                          {{"endpoint", endpoint.id.value()},
                           {"may_have_run", result.may_have_run},
                           {"reason", reason}});
    if (result.may_have_run && !job.repeatable)
      break;
  }
  const RunState state =
      may_have_run ? RunState::kOutcomeUnknown : RunState::kNotRun;
  return {CallerError{code, state, reason, kNoEndpointRetryAfter}, {}};
}

}  // namespace carobshift
