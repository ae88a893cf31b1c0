// The part of RequestService that runs attempts: their start, their events, and
// what these show about the endpoints.

#include <algorithm>
#include <utility>
#include <vector>

#include "carobshift/base/digest.h"
#include "carobshift/gateway/request/request_service.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

// For this long, bytes that were sent before their connection was reset or lost
// may still arrive.
constexpr Milliseconds kDeliveryTime{500};

// Number of a prompt's parts that a log line names.
constexpr std::size_t kLoggedParts = 8;

// Returns the account's priority if it has one, otherwise the route's.
int PriorityOf(const ExchangeSetup& setup) {
  const bool account_decides =
      setup.account != nullptr && setup.account->priority.has_value();
  return account_decides ? *setup.account->priority : setup.route->priority;
}

// Returns the ids of the parts that other requests may share.
std::string SharedPartsText(const std::optional<PromptTraits>& prompt) {
  std::string text;
  if (!prompt)
    return text;
  for (std::size_t i = 0; i + 1 < prompt->parts.size() && i < kLoggedParts; ++i)
    text += (text.empty() ? "" : ",") + prompt->parts[i].id;
  return text;
}

}  // namespace

AttemptError RequestService::StartAttempt(Exchange& exchange,
                                          const AttemptParams& wish,
                                          AttemptStart* start) {
  if (!AdmitAttempt(exchange))
    return AttemptError::kShuttingDown;
  const ExchangeSetup& setup = exchange.setup();
  if (!crashes_.empty() &&
      crashes_.Refuses(FingerprintOfExchange(exchange), loop_.now()))
    return AttemptError::kSuspected;
  if (RefusesParts(exchange))
    return AttemptError::kSuspected;
  Running& running = runs_.at(&exchange);
  auto plan = planner_.Plan(setup, wish, loop_.now(), running.shortlist);
  if (!plan)
    return ClassifyPlanFailure(setup);
  if (wish.replacement && !ServesAsReplacement(wish, *plan))
    return AttemptError::kNoEndpoint;
  // A stream that has begun isn't given up for load: what its caller has of it
  // would be lost.
  if (!wish.repeat && !wish.last_event) {
    switch (Admit(exchange, running, *plan)) {
      case Admission::kStart:
        break;
      case Admission::kWait:
        return AttemptError::kWaiting;
      case Admission::kRefuse:
        return AttemptError::kOverloaded;
    }
  }
  planner_.MarkSaved(*plan, loop_.now());
  if (wish.repeat && !TrySpendRetry(setup.service))
    return AttemptError::kRetryBudgetSpent;
  RecordStart(running, wish, *plan);
  if (wish.last_event)
    ReportContinuation(running, wish, plan->endpoint);
  HttpCallOptions options;
  options.connect_timeout = options_.connect_timeout;
  options.is_head_request = setup.request.method == "HEAD";
  options.reply_key = ReplyKey(FastHash(setup.request.id.value()));
  if (!setup.route->MayRunAgain())
    options.max_idle = options_.run_once_max_idle;
  options.may_send = [this, &exchange,
                      endpoint = EndpointIncarnation::Of(plan->endpoint)] {
    return MayStillSend(exchange.setup(), endpoint) && AdmitAttempt(exchange);
  };
  *start = {plan->endpoint.id, plan->endpoint.software};
  options.body = setup.request.body;
  running.run->StartCall(wish.number, client_, plan->endpoint.address,
                         dialect_.EncodeAttempt(setup.request, plan->fields),
                         options);
  return AttemptError::kNone;
}

bool RequestService::MayStillSend(const ExchangeSetup& setup,
                                  const EndpointIncarnation& endpoint) const {
  const EndpointRecord* const record = registry_.Find(endpoint.id);
  return record != nullptr && record->start_time == endpoint.start_time &&
         eligibility_.MayStillSend(setup, *record, loop_.now());
}

bool RequestService::ServesAsReplacement(const AttemptParams& wish,
                                         const AttemptPlan& plan) const {
  const EndpointId& endpoint = plan.endpoint.id;
  return !wish.tried->contains(endpoint) &&
         !health_.IsAvoided(endpoint, loop_.now());
}

void RequestService::RecordStart(Running& running,
                                 const AttemptParams& wish,
                                 const AttemptPlan& plan) {
  AttemptRecord attempt;
  attempt.number = wish.number;
  attempt.unsettled_retry = wish.repeat;
  attempt.endpoint = plan.endpoint.id;
  attempt.start_time = plan.endpoint.start_time;
  attempt.prefill_tokens = plan.prefill_tokens;
  attempt.trace = {.software = plan.endpoint.software,
                   .weights = plan.fields.weights,
                   .cost = plan.cost,
                   .ahead = plan.queue_ahead,
                   .tokens_to_prefill = plan.prefill_tokens,
                   .sources = plan.fetch_count,
                   .saves = plan.save_count};
  attempt.began = loop_.now();
  attempt.is_probe =
      part_suspects_.Decide(running.parts, loop_.now()) == PartDecision::kProbe;
  if (attempt.is_probe) {
    part_suspects_.OnProbe(running.parts, loop_.now());
    PublishPartVerdicts();
  }
  health_.OnStart(attempt.endpoint);
  stated_.OnSend(EndpointIncarnation::Of(plan.endpoint), loop_.now());
  limits_.OnSend(EndpointIncarnation::Of(plan.endpoint), loop_.now());
  cold_starts_.OnSend(plan.endpoint, loop_.now());
  rejections_.OnSend(EndpointIncarnation::Of(plan.endpoint));
  loads_.OnStart(attempt.endpoint, running.footprint, attempt.prefill_tokens);
  const Account* const account = running.run->exchange().setup().account;
  if (account != nullptr && running.run->exchange().request().prompt) {
    account_usage_.OnStarted(
        account->name, static_cast<double>(running.footprint.TotalTokens()),
        loop_.now());
  }
  if (!wish.replacement)
    running.trace.attempt = attempt.trace;
  running.attempts.push_back(std::move(attempt));
}

AttemptRecord& RequestService::Running::Attempt(AttemptNumber number) {
  return *std::find_if(
      attempts.begin(), attempts.end(),
      [number](const AttemptRecord& one) { return one.number == number; });
}

AttemptError RequestService::ClassifyPlanFailure(
    const ExchangeSetup& setup) const {
  const MonotonicTime now = loop_.now();
  if (planner_.OnlyOverdueWeights(setup, now))
    return AttemptError::kWeightsReplaced;
  switch (planner_.ObstacleTo(setup, now)) {
    case SendObstacle::kPaused:
    case SendObstacle::kRateUsedUp:
    case SendObstacle::kShareUsedUp:
      return AttemptError::kOverloaded;
    case SendObstacle::kZoneEvacuated:
      return AttemptError::kZoneEvacuated;
    case SendObstacle::kOtherSoftware:
      return AttemptError::kSoftwareGone;
    case SendObstacle::kRegionNotAllowed:
      return AttemptError::kRegionNotAllowed;
    case SendObstacle::kNone:
    case SendObstacle::kNotServing:
      break;
  }
  return AttemptError::kNoEndpoint;
}

void RequestService::EndAttempt(Exchange& exchange,
                                AttemptNumber attempt,
                                AttemptRest rest) {
  Running& running = runs_.at(&exchange);
  AttemptRecord& record = running.Attempt(attempt);
  if (!record.in_progress)
    return;
  record.in_progress = false;
  NoteRead(record);
  health_.OnEnd(record.endpoint);
  loads_.OnEnd(record.endpoint, running.footprint);
  ScheduleWaitingTry(loop_.now());
  const EndpointIncarnation endpoint{record.endpoint, record.start_time};
  if (rest == AttemptRest::kMayContinue)
    rejections_.OnAbandoned(endpoint, loop_.now());
  else
    rejections_.OnEnd(endpoint);
}

void RequestService::NoteRead(AttemptRecord& attempt) {
  loads_.OnPrefillDone(attempt.endpoint, attempt.prefill_tokens);
  attempt.prefill_tokens = 0;
}

bool RequestService::DropAttempt(Exchange& exchange, AttemptNumber attempt) {
  ExchangeRun& run = *runs_.at(&exchange).run;
  const bool sent = run.CallSent(attempt);
  EndAttempt(exchange, attempt,
             sent ? AttemptRest::kMayContinue : AttemptRest::kNone);
  run.DropCall(attempt);
  EndRetry(exchange.setup().service, runs_.at(&exchange).Attempt(attempt), sent,
           loop_.now() + kDeliveryTime);
  return sent;
}

void RequestService::PauseAttempt(Exchange& exchange,
                                  AttemptNumber attempt,
                                  bool pause) {
  runs_.at(&exchange).run->PauseCall(attempt, pause);
}

void RequestService::OnAttemptBegins(Exchange& exchange,
                                     AttemptNumber attempt) {
  Running& running = runs_.at(&exchange);
  AttemptRecord& record = running.Attempt(attempt);
  record.has_events = true;
  if (running.parts.empty())
    return;
  part_suspects_.OnAnswer(running.parts, record.began);
  PublishPartVerdicts();
}

bool RequestService::RefusesParts(Exchange& exchange) {
  if (part_suspects_.refuses_none())
    return false;
  Running& running = runs_.at(&exchange);
  if (part_suspects_.Decide(running.parts, loop_.now()) !=
      PartDecision::kRefuse)
    return false;
  running.retry_after = part_suspects_.RetryAfter(running.parts);
  metrics_.Add("carobshift_part_refusals_total",
               {{"service", exchange.setup().service.value()}}, 1);
  return true;
}

void RequestService::OnAttemptResumed(Exchange& exchange,
                                      AttemptNumber attempt) {
  health_.OnAnswer(runs_.at(&exchange).Attempt(attempt).endpoint);
}

OverloadDecision RequestService::JudgeLoad(const ExchangeSetup& setup,
                                           const AttemptPlan& plan) const {
  return overload_.Decide({.service = setup.service,
                           .ahead = plan.queue_ahead_of_mean.Total(),
                           .latency_target = setup.route->latency_target,
                           .urgency = PriorityOf(setup),
                           .hash = FastHash(setup.request.id.value())});
}

void RequestService::LogRefusal(const ExchangeSetup& setup,
                                const AttemptPlan& plan,
                                const OverloadDecision& verdict,
                                Milliseconds retry_after) {
  LogEvent(
      LogLevel::kInfo, "refused_under_load",
      {{"request", setup.request.id.value()},
       {"ahead", static_cast<std::int64_t>(plan.queue_ahead_of_mean.Total())},
       {"reading", static_cast<std::int64_t>(plan.queue_ahead.prefill_cost)},
       {"need", static_cast<std::int64_t>(plan.queue_ahead.need)},
       {"mean_need", static_cast<std::int64_t>(plan.queue_ahead_of_mean.need)},
       {"endpoint", plan.endpoint.id.value()},
       {"urgency", plan.fields.urgency.value_or(0)},
       {"expected_ms", verdict.expected.count()},
       {"target_ms", setup.route->latency_target.count()},
       {"return_ms", retry_after.count()}});
}

Milliseconds RequestService::RetryAfter(Exchange& exchange) {
  const auto found = runs_.find(&exchange);
  if (found != runs_.end() && found->second.retry_after)
    return *found->second.retry_after;
  return planner_.RetryAfter(exchange.setup(), loop_.now());
}

void RequestService::OnAttemptReply(Exchange& exchange,
                                    AttemptNumber attempt,
                                    const ReplyMetadata& facts) {
  Running& running = runs_.at(&exchange);
  AttemptRecord& record = running.Attempt(attempt);
  NoteRead(record);
  EndRetry(exchange.setup().service, record, /*sent=*/true, loop_.now());
  record.replied = true;
  record.not_run = facts.not_run;
  if (!facts.not_run) {
    running.trace.attempt = record.trace;
    NoteFirstToken(exchange.setup().service, record);
  }
  statements_.OnReply({.service = exchange.setup().service,
                       .endpoint = {record.endpoint, record.start_time},
                       .sent = record.began},
                      facts, loop_.now());
  const EndpointId& endpoint = record.endpoint;
  const auto& prompt = exchange.request().prompt;
  if (facts.weights && prompt)
    planner_.OnWeightsReported(endpoint, prompt->model, *facts.weights);
  const bool replaced =
      facts.misdirected && facts.endpoint && *facts.endpoint != endpoint;
  if (replaced)
    health_.OnFailure(endpoint, EndpointFailure::kAddressReused, loop_.now());
  else if (facts.not_run && !facts.misdirected)
    health_.OnFailure(endpoint, EndpointFailure::kNoCapacity, loop_.now());
  else
    health_.OnAnswer(endpoint);
}

void RequestService::NoteFirstToken(const ServiceName& service,
                                    const AttemptRecord& attempt) {
  if (reachability_ != nullptr &&
      reachability_->LostAfter(service, attempt.began))
    return;
  overload_.OnFirstToken(service, attempt.trace.cost,
                         loop_.now() - attempt.began);
}

RequestFingerprint RequestService::FingerprintOfExchange(
    const Exchange& exchange) {
  const ExchangeSetup& setup = exchange.setup();
  std::optional<AccountId> account;
  if (setup.account != nullptr)
    account = setup.account->name;
  return FingerprintOf(setup.request, account);
}

void RequestService::OnAttemptEnd(Exchange& exchange, AttemptNumber attempt) {
  EndAttempt(exchange, attempt, AttemptRest::kNone);
  // A refusal by a full endpoint doesn't show whether the request crashes
  // endpoints that run it. If it counted as a completed run, the request could
  // crash three more.
  if (!crashes_.empty() && !runs_.at(&exchange).Attempt(attempt).not_run)
    crashes_.OnCompleted(FingerprintOfExchange(exchange));
}

void RequestService::OnAttemptFailure(Exchange& exchange,
                                      AttemptNumber attempt,
                                      const CallFailure& failure) {
  EndAttempt(exchange, attempt,
             failure.sent ? AttemptRest::kMayContinue : AttemptRest::kNone);
  const AttemptRecord& record = runs_.at(&exchange).Attempt(attempt);
  EndRetry(exchange.setup().service, runs_.at(&exchange).Attempt(attempt),
           failure.sent, loop_.now() + kDeliveryTime);
  metrics_.Add("carobshift_attempt_failures_total",
               {{"fault", CallFaultName(failure.fault)}}, 1);
  const EndpointId& endpoint = record.endpoint;
  if (failure.fault == CallFault::kConnectionLimit)
    return;
  if (failure.fault == CallFault::kWithdrawn) {
    // A withdrawn attempt is evidence neither about the endpoint's health nor
    // about the request.
    LogEvent(LogLevel::kInfo, "attempt_withdrawn",
             {{"request", exchange.request().id.value()},
              {"endpoint", endpoint.value()}});
    return;
  }
  if (failure.fault == CallFault::kSilent) {
    // The connection was open, so this is no evidence either.
    LogEvent(LogLevel::kInfo, "attempt_replaced",
             {{"request", exchange.request().id.value()},
              {"endpoint", endpoint.value()}});
    return;
  }
  if (failure.sent && failure.fault == CallFault::kBroken)
    ReportCrash(exchange, attempt);
  // The failure of a reused connection that was already closed is no evidence
  // about the endpoint's health.
  if (failure.reused && failure.fault == CallFault::kBroken)
    return;
  const auto trouble = failure.fault == CallFault::kNotConnected
                           ? EndpointFailure::kNotConnected
                           : EndpointFailure::kConnectionBroken;
  health_.OnFailure(endpoint, trouble, loop_.now());
  LogEvent(LogLevel::kInfo, "attempt_failed",
           {{"request", exchange.request().id.value()},
            {"endpoint", endpoint.value()},
            {"fault", CallFaultName(failure.fault)},
            {"sent", failure.sent},
            {"reused", failure.reused},
            {"has_events", record.has_events},
            {"parts", SharedPartsText(exchange.request().prompt)},
            {"registry", registry_.revision()}});
}

void RequestService::ReportCrash(Exchange& exchange, AttemptNumber attempt) {
  const RequestFingerprint fingerprint = FingerprintOfExchange(exchange);
  const std::string run =
      exchange.request().id.value() + "." + std::to_string(attempt.value());
  crashes_.OnBroken(fingerprint, run, loop_.now());
  Running& running = runs_.at(&exchange);
  const AttemptRecord& record = running.Attempt(attempt);
  HeldCrashReport report{.fingerprint = fingerprint,
                         .run = run,
                         .service = exchange.setup().service,
                         .endpoint = {record.endpoint, record.start_time},
                         .sent = record.began,
                         .broke = loop_.now()};
  if (!record.has_events)
    report.parts = running.parts;
  if (!loss_of_) {
    AnnounceCrash(report);
    CountPartCrashes({report});
    return;
  }
  const bool is_first = held_crashes_.empty();
  held_crashes_.Add(report, loop_.now());
  if (is_first) {
    loop_.AddTimer(loop_.now() + HeldCrashReports::kHold,
                   [this] { SettleCrashReports(); });
  }
}

void RequestService::AnnounceCrash(const HeldCrashReport& report) {
  if (on_crash_)
    on_crash_(report.fingerprint, report.run);
}

void RequestService::SettleCrashReports() {
  const SettledCrashReports settled =
      held_crashes_.Settle(loss_of_, loop_.now());
  for (const HeldCrashReport& report : settled.to_announce)
    AnnounceCrash(report);
  CountPartCrashes(settled.to_announce);
  for (const HeldCrashReport& report : settled.to_withdraw) {
    crashes_.Withdraw(report.fingerprint, report.run);
    LogEvent(LogLevel::kInfo, "broken_run_withdrawn",
             {{"run", report.run}, {"service", report.service.value()}});
  }
  if (held_crashes_.empty())
    return;
  loop_.AddTimer(loop_.now() + HeldCrashReports::kHold,
                 [this] { SettleCrashReports(); });
}

void RequestService::CountPartCrashes(
    const std::vector<HeldCrashReport>& reports) {
  std::vector<PartCrash> crashes;
  for (const HeldCrashReport& report : reports) {
    if (report.parts.empty())
      continue;
    const IncarnationDigest endpoint(CombineHashes(
        FastHash(report.endpoint.id.value()),
        static_cast<std::uint64_t>(report.endpoint.start_time.value())));
    auto crash = std::find_if(
        crashes.begin(), crashes.end(),
        [endpoint](const auto& one) { return one.endpoint == endpoint; });
    if (crash == crashes.end()) {
      crashes.push_back({endpoint, report.broke, {}});
      crash = std::prev(crashes.end());
    }
    for (const PartDigest part : report.parts)
      crash->runs.push_back({part, report.sent});
    LogEvent(LogLevel::kInfo, "run_broken_before_answer",
             {{"run", report.run},
              {"service", report.service.value()},
              {"endpoint", report.endpoint.id.value()},
              {"parts", report.parts.size()}});
  }
  for (PartCrash& crash : crashes) {
    KeepLatestRuns(crash.runs);
    part_suspects_.OnCrash(crash, loop_.now());
    if (on_part_crash_)
      on_part_crash_(crash);
  }
  PublishPartVerdicts();
}

void RequestService::PublishPartVerdicts() {
  if (on_part_verdicts_)
    on_part_verdicts_();
}

}  // namespace carobshift
