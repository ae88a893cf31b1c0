#include "carobshift/server/dispatch/generate_dispatcher.h"

#include <algorithm>
#include <set>
#include <utility>

#include "carobshift/server/dispatch/attempt_import.h"
#include "carobshift/server/dispatch/attempt_sink.h"
#include "carobshift/stream/stream_assembler.h"

namespace carobshift {
namespace {

constexpr Milliseconds kSuspectRetryAfter{1000};

// True if the code proves that the request did not run: no byte reached the
// engine, or the engine refused the request.
bool ProvesNotRun(ResultCode code) {
  return code == ResultCode::kNoEndpoint ||
         code == ResultCode::kEndpointRefused ||
         code == ResultCode::kVersionMismatch;
}

CallerError SuspectError(RunState state, Milliseconds retry_after) {
  return {ResultCode::kRequestSuspected, state,
          "endpoints have crashed while they ran this request", retry_after};
}

PromptIdentity IdentityOf(const GenerateJob& job) {
  return {job.account, job.conversation, job.service->model, job.adapter,
          &job.prompt};
}

// The number of prompt tokens that are cached or stored and need no prefill. If
// a returning conversation were charged for all its tokens, its admission would
// wait for work that no engine does.
Tokens ReusableTokens(const CacheView& view) {
  Tokens most = 0;
  for (const auto& [endpoint, tokens] : view.hits)
    most = std::max(most, tokens);
  for (const ImportOption& option : view.imports)
    most = std::max(most, option.tokens);
  return most;
}

FailedAttempt FailureOf(const Status& status) {
  if (status.ok()) {
    return {{ResultCode::kEndpointFailed, true},
            "frames did not fit the answer"};
  }
  return {{status.error().code, !ProvesNotRun(status.error().code)},
          status.error().message};
}

}  // namespace

class GenerateDispatcher::Attempts {
 public:
  Attempts(EntryContext& context,
           const AttemptControl& control,
           const GenerateJob& job,
           ContentFingerprint fingerprint,
           AnswerWriter& writer)
      : context_(context),
        control_(control),
        job_(job),
        fingerprint_(fingerprint),
        writer_(writer) {}

  GenerateOutcome Run() {
    std::optional<CallerError> error;
    for (int number = 1; !error; ++number) {
      error = Begin(number);
      if (error)
        break;
      const Status status = RunAttempt();
      if (refused_) {
        error = CallerError{refused_->code, State(), refused_->message,
                            std::nullopt};
        break;
      }
      if (status.ok() && assembler_.complete()) {
        RecordTurnEnd();
        break;
      }
      error = AfterFailure(number, FailureOf(status));
    }
    outcome_.error = std::move(error);
    return std::move(outcome_);
  }

 private:
  // Endpoints for the next attempt. Once tokens were delivered, only those with
  // the weight version that produced them.
  std::vector<EndpointInfo> Candidates() const {
    std::vector<EndpointInfo> candidates =
        control_.RefreshCandidates(*job_.service);
    if (delivered() > 0) {
      std::erase_if(candidates, [&](const EndpointInfo& endpoint) {
        return endpoint.status->version != assembler_.version();
      });
    }
    return WithoutTried(std::move(candidates), tried_);
  }

  std::optional<CallerError> Begin(int number) {
    const SuspectVerdict verdict =
        context_.load.Judge(fingerprint_, MonotonicNow());
    const bool runs = verdict == SuspectVerdict::kRun ||
                      verdict == SuspectVerdict::kRunIsolated;
    if (!runs)
      return SuspectError(State(), kSuspectRetryAfter);
    if (MonotonicNow() >= job_.deadline) {
      return CallerError{ResultCode::kDeadlineExceeded, State(),
                         "the deadline passed before the answer began",
                         std::nullopt};
    }
    const std::vector<EndpointInfo> candidates = Candidates();
    cached_ = context_.cache.View(IdentityOf(job_), candidates, MonotonicNow());
    RouteQuery query;
    query.id = job_.id;
    query.cache = cached_.view;
    query.prompt_tokens = EstimateTokens(job_.prompt);
    query.zone = context_.settings.zone;
    query.isolated = verdict == SuspectVerdict::kRunIsolated;
    auto attempt =
        control_.BeginAttempt(*job_.service, query, fingerprint_, candidates);
    if (!attempt && query.isolated)
      return SuspectError(State(), kSuspectRetryAfter);
    if (!attempt)
      return NoEndpoint();
    attempt_ = std::move(*attempt);
    tried_.insert(attempt_.endpoint.id);
    (void)assembler_.ChangeVersion(attempt_.endpoint.status->version);
    assembler_.BeginAttempt(AttemptNumber(static_cast<std::uint32_t>(number)));
    number_ = AttemptNumber(static_cast<std::uint32_t>(number));
    import_.Begin(cached_, attempt_);
    return std::nullopt;
  }

  Status RunAttempt() {
    const ServiceSpec& service = *job_.service;
    AttemptSink sink(number_, assembler_, writer_, outcome_.usage, [&] {
      import_.End(sink.start());
      OnFirstToken();
    });
    if (job_.gate)
      refused_ = job_.gate(MonotonicNow());
    const Status status =
        refused_ ? Status(Error{refused_->code, refused_->message})
                 : context_.platform.engines.Generate(attempt_.endpoint.address,
                                                      MakeRequest(), sink);
    import_.End(sink.start());
    caller_disconnected_ = sink.caller_disconnected();
    AttemptEnd end = AttemptEnd::kCompleted;
    if (refused_ || caller_disconnected_ || sink.abandoned()) {
      end = AttemptEnd::kNoFault;
    } else if (!status.ok()) {
      end = AttemptEndOf(status.error().code);
    }
    context_.load.EndAttempt(service, attempt_, fingerprint_, end,
                             MonotonicNow());
    return status;
  }

  // The endpoint now holds the cached blocks of the whole prompt. The answer's
  // blocks are not assumed to be cached: engines differ in whether they keep
  // them.
  void RecordTurnEnd() {
    if (attempt_.endpoint.status->version != cached_.version)
      return;
    const ModelSpec* model =
        job_.config->declaration.FindModel(job_.service->model);
    context_.cache.OnTurnEnd(cached_, attempt_.endpoint.id,
                             model == nullptr ? ModelSpec{}.kv_bytes_per_token
                                              : model->kv_bytes_per_token,
                             MonotonicNow());
  }

  void OnFirstToken() {
    const MonotonicTime now = MonotonicNow();
    context_.load.OnFirstToken(*job_.service, job_.id, &attempt_, now);
    context_.metrics.Observe("carobshift_first_token_seconds",
                             {{"service", job_.service->name.value()}},
                             now - job_.received);
  }

  std::optional<CallerError> AfterFailure(int number, FailedAttempt failed) {
    if (caller_disconnected_) {
      return CallerError{ResultCode::kCancelled, RunState::kRan,
                         "the caller closed the connection", std::nullopt};
    }
    may_have_run_ = may_have_run_ || failed.failure.may_have_run;
    RetryRequest request;
    request.id = job_.id;
    request.attempts = number;
    request.idempotent = job_.repeatable;
    request.deadline = job_.deadline;
    request.delivered = delivered();
    const bool available = !Candidates().empty();
    request.version_available = available || delivered() == 0;
    request.endpoint_available = available;
    failed.failure.may_have_run = may_have_run_;
    return control_.DecideRetry(*job_.service, job_.account, request, failed);
  }

  GenerateRequest MakeRequest() const {
    GenerateRequest request;
    request.request = job_.id;
    request.attempt = number_;
    request.model = job_.service->model;
    request.version = attempt_.endpoint.status->version;
    request.adapter = job_.adapter;
    request.cache_namespace =
        MakeCacheNamespace(context_.secret, job_.account, request.model,
                           request.version, request.adapter);
    request.prompt = job_.prompt;
    request.max_tokens = job_.max_tokens;
    request.priority = static_cast<int>(job_.priority);
    request.delivered = assembler_.delivered();
    request.progress_timeout = job_.service->progress_timeout;
    import_.AddTo(request);
    return request;
  }

  CallerError NoEndpoint() const {
    if (delivered() > 0) {
      return {ResultCode::kVersionGone, RunState::kRan,
              "the endpoint failed and no other runs the version this answer "
              "was begun with",
              std::nullopt};
    }
    return {ResultCode::kNoEndpoint, State(),
            "no endpoint of the service takes work", kSuspectRetryAfter};
  }

  Tokens delivered() const {
    return static_cast<Tokens>(assembler_.delivered().size());
  }
  RunState State() const {
    if (delivered() > 0)
      return RunState::kRan;
    return may_have_run_ ? RunState::kOutcomeUnknown : RunState::kNotRun;
  }

  EntryContext& context_;
  const AttemptControl& control_;
  const GenerateJob& job_;
  const ContentFingerprint fingerprint_;
  AnswerWriter& writer_;
  StreamAssembler assembler_{WeightVersion()};
  GenerateOutcome outcome_;
  Attempt attempt_;
  PromptCache cached_;
  AttemptImport import_{context_};
  AttemptNumber number_{1};
  std::set<EndpointId> tried_;
  bool may_have_run_ = false;
  bool caller_disconnected_ = false;
  // Set if the job's gate refused the attempt.
  std::optional<Refusal> refused_;
};

GenerateOutcome GenerateDispatcher::Run(const GenerateJob& job,
                                        AnswerWriter& writer) {
  const ServiceSpec& service = *job.service;
  const ContentFingerprint fingerprint =
      FingerprintOf(job.account, service.name, job.prompt);
  GenerateOutcome outcome;
  outcome.error = RefuseSuspect(job, fingerprint);
  AdmitAnswer admitted;
  if (!outcome.error) {
    AdmitRequest request;
    request.id = job.id;
    request.account = job.account;
    request.priority = job.priority;
    request.prompt_tokens = EstimateTokens(job.prompt);
    request.cached_tokens = ReusableTokens(
        context_.cache
            .View(IdentityOf(job), control_.RefreshCandidates(service),
                  MonotonicNow())
            .view);
    request.max_tokens = job.max_tokens;
    request.deadline = job.deadline;
    outcome.error = control_.Admit(
        service, AccountOf(*job.config, job.account), request,
        [&] { return writer.CallerDisconnected(); }, &admitted);
  }
  if (outcome.error) {
    RecordEnd(job, outcome);
    return outcome;
  }
  outcome = Attempts(context_, control_, job, fingerprint, writer).Run();
  std::optional<Tokens> tokens;
  if (!outcome.error) {
    tokens = outcome.usage.completion_tokens;
    context_.load.OnSuccess(job.account, service.name);
  }
  context_.load.Finish(service, job.id, admitted, tokens, MonotonicNow());
  RecordEnd(job, outcome);
  return outcome;
}

std::optional<CallerError> GenerateDispatcher::RefuseSuspect(
    const GenerateJob& job,
    ContentFingerprint fingerprint) const {
  const MonotonicTime now = MonotonicNow();
  if (context_.load.Judge(fingerprint, now) != SuspectVerdict::kRefuse)
    return std::nullopt;
  context_.journal.Note(job.id, now, "refused", {{"why", "crash suspect"}});
  return SuspectError(RunState::kNotRun,
                      context_.load.RefusedFor(fingerprint, now));
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
