#include "carobshift/server/dispatch/generate_dispatcher.h"

#include <utility>

#include "carobshift/server/dispatch/attempt_sink.h"

namespace carobshift {
namespace {

constexpr std::uint32_t kMaxAttempts = 3;
constexpr Milliseconds kNoEndpointRetryAfter{1000};

// An engine that says so itself has not run the request.
bool ProvesNotRun(const Status& status) {
  const ResultCode code = status.error().code;
  return code == ResultCode::kNoEndpoint ||
         code == ResultCode::kEndpointRefused ||
         code == ResultCode::kVersionMismatch;
}

CallerError NoEndpointError(const StreamAssembler& assembler, bool may_ran) {
  if (!assembler.delivered().empty()) {
    return {ResultCode::kVersionGone, RunState::kRan,
            "the endpoint failed and no other runs the version this answer "
            "was begun with",
            std::nullopt};
  }
  return {ResultCode::kNoEndpoint,
          may_ran ? RunState::kOutcomeUnknown : RunState::kNotRun,
          "no endpoint of the service takes work", kNoEndpointRetryAfter};
}

}  // namespace

GenerateOutcome GenerateDispatcher::Run(const GenerateJob& job,
                                        AnswerWriter& writer) {
  GenerateOutcome outcome;
  StreamAssembler assembler{WeightVersion()};
  std::set<EndpointId> tried;
  bool may_have_run = false;
  for (std::uint32_t n = 1; n <= kMaxAttempts; ++n) {
    const AttemptNumber attempt(n);
    const bool version_fixed = !assembler.delivered().empty();
    const auto endpoint = Choose(
        job, version_fixed ? assembler.version() : WeightVersion(), tried);
    if (!endpoint)
      break;
    tried.insert(endpoint->id);
    (void)assembler.ChangeVersion(endpoint->status->version);
    assembler.BeginAttempt(attempt);
    AttemptSink sink(attempt, assembler, writer, outcome.usage, [&] {
      context_.metrics.Observe("carobshift_first_token_seconds",
                               {{"service", job.service->name.value()}},
                               MonotonicNow() - job.received);
    });
    const Status status = context_.platform.engines.Generate(
        endpoint->address, MakeRequest(job, *endpoint, attempt, assembler),
        sink);
    {
      const std::lock_guard lock(mutex_);
      --in_flight_[endpoint->id];
    }
    if (status.ok() && assembler.complete()) {
      RecordEnd(job, outcome);
      return outcome;
    }
    if (sink.caller_gone()) {
      outcome.error =
          CallerError{ResultCode::kCancelled, RunState::kRan,
                      "the caller closed the connection", std::nullopt};
      RecordEnd(job, outcome);
      return outcome;
    }
    may_have_run = may_have_run || status.ok() || !ProvesNotRun(status);
    context_.journal.Note(
        job.id, MonotonicNow(), "attempt_failed",
        {{"endpoint", endpoint->id.value()},
         {"reason", status.ok() ? "frames did not fit the answer"
                                : status.error().message}});
  }
  outcome.error = NoEndpointError(assembler, may_have_run);
  RecordEnd(job, outcome);
  return outcome;
}

std::optional<EndpointInfo> GenerateDispatcher::Choose(
    const GenerateJob& job,
    const WeightVersion& version,
    const std::set<EndpointId>& tried) {
  std::optional<EndpointInfo> best;
  const auto candidates = context_.endpoints.Candidates(*job.service);
  const std::lock_guard lock(mutex_);
  int best_load = 0;
  for (const EndpointInfo& candidate : candidates) {
    const bool fits =
        version.value().empty() || candidate.status->version == version;
    if (!fits || tried.contains(candidate.id))
      continue;
    const int load = in_flight_[candidate.id];
    if (!best || load < best_load) {
      best = candidate;
      best_load = load;
    }
  }
  if (best) {
    ++in_flight_[best->id];
    context_.journal.Note(job.id, MonotonicNow(), "dispatched",
                          {{"endpoint", best->id.value()},
                           {"version", best->status->version.value()},
                           {"in_flight", best_load}});
  }
  return best;
}

GenerateRequest GenerateDispatcher::MakeRequest(
    const GenerateJob& job,
    const EndpointInfo& endpoint,
    AttemptNumber attempt,
    const StreamAssembler& assembler) const {
  GenerateRequest request;
  request.request = job.id;
  request.attempt = attempt;
  request.model = job.service->model;
  request.version = endpoint.status->version;
  request.adapter = job.adapter;
  request.cache_namespace =
      MakeCacheNamespace(context_.secret, job.account, request.model,
                         request.version, request.adapter);
  request.prompt = job.prompt;
  request.max_tokens = job.max_tokens;
  request.priority = static_cast<int>(job.priority);
  request.delivered = assembler.delivered();
  request.progress_timeout = job.service->progress_timeout;
  return request;
}

void GenerateDispatcher::RecordEnd(const GenerateJob& job,
                                   const GenerateOutcome& outcome) {
  const ResultCode code = outcome.error ? outcome.error->code : ResultCode::kOk;
  const MetricLabels service = {{"service", job.service->name.value()}};
  Metrics& metrics = context_.metrics;
  metrics.Add("carobshift_requests_total",
              {{"service", job.service->name.value()},
               {"result", ResultCodeName(code)}},
              1);
  const GenerateUsage& usage = outcome.usage;
  metrics.Add("carobshift_prompt_tokens_total", service,
              static_cast<double>(usage.prompt_tokens));
  metrics.Add("carobshift_cached_tokens_total", service,
              static_cast<double>(usage.cached_tokens));
  metrics.Add("carobshift_recomputed_tokens_total", service,
              static_cast<double>(usage.prompt_tokens - usage.cached_tokens));
  metrics.Add("carobshift_generated_tokens_total", service,
              static_cast<double>(usage.completion_tokens));
  context_.journal.End(job.id, MonotonicNow(), code);
}

}  // namespace carobshift
