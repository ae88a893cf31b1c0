#include "benchmarks/sim/simulated_entry.h"

#include <algorithm>
#include <utility>

namespace carobshift {

namespace {

constexpr Milliseconds kPollInterval{200};
constexpr Milliseconds kReportLag{100};
constexpr Milliseconds kProgressTimeout{2000};
constexpr Bytes kBytesPerCachedToken = 131072;

}  // namespace

Microseconds Link::TimeFor(Bytes bytes, MonotonicTime now) const {
  const double seconds = static_cast<double>(bytes) / bytes_per_second;
  return std::max(Microseconds(0), free_at - now) +
         Microseconds(static_cast<std::int64_t>(seconds * 1e6));
}

MonotonicTime Link::Transfer(Bytes bytes, MonotonicTime now) {
  free_at = now + TimeFor(bytes, now);
  bytes_moved += static_cast<double>(bytes);
  return free_at;
}

AccountId AccountName(int account) {
  return AccountId("account-" + std::to_string(account));
}

SimulatedEntry::SimulatedEntry(World& world,
                               std::size_t index,
                               const Variant& variant)
    : world_(world),
      entries_(variant.entry_share ? world.deployment->entries : 1),
      load_(variant.LoadOptions(), service_),
      policy_(variant.Policy()),
      budget_(variant.BudgetOptions()),
      suspects_(variant.SuspectOptions()) {
  service_.name = ServiceName("reviews");
  for (int account = 0; account < kAccounts; ++account)
    load_.queue().SetAccount(AccountName(account), {.max_in_flight = 256});
  // Staggers the polls of the entries.
  world_.loop.After(Milliseconds(static_cast<int>(index) * 23),
                    [this] { Poll(); });
}

void SimulatedEntry::Poll() {
  std::vector<EndpointInfo> read;
  for (const auto& engine : world_.engines) {
    if (!engine->alive())
      continue;
    EndpointInfo info;
    info.id = engine->id();
    info.status = engine->Status();
    info.status_time = world_.loop.now();
    if (info.status->state == EngineState::kReady)
      read.push_back(std::move(info));
  }
  world_.loop.After(kReportLag, [this, read = std::move(read)] {
    candidates_ = read;
    const auto now = world_.loop.now();
    for (const EndpointId& crashed :
         load_.Refresh(service_, candidates_, entries_))
      suspects_.OnEndpointCrash(crashed, now);
    AdmitQueued();
  });
  world_.loop.After(kPollInterval, [this] { Poll(); });
}

void SimulatedEntry::Submit(Submission submission) {
  const MonotonicTime now = world_.loop.now();
  const LogicalRequest& logical_request = *submission.logical_request;
  const std::string id = submission.id;
  // A request that crashes engines has the same content in every send.
  const ContentFingerprint fingerprint(logical_request.id);
  if (suspects_.Judge(fingerprint, now) == SuspectVerdict::kRefuse) {
    submission.on_end(ResultCode::kRequestSuspected,
                      suspects_.RemainingRefusal(fingerprint, now));
    return;
  }
  AdmissionRequest wanted;
  wanted.id = RequestId(id);
  wanted.account = AccountName(logical_request.account);
  Tokens cached = 0;
  for (const auto& engine : world_.engines)
    cached =
        std::max(cached, std::min(engine->CachedTokens(logical_request.prefix),
                                  logical_request.prefix_tokens));
  wanted.cost = RequestCost(logical_request.prompt_tokens - cached,
                            logical_request.decode_tokens);
  wanted.prefill = logical_request.prompt_tokens - cached;
  wanted.first_token_deadline = submission.deadline;
  wanted.unloaded_first_token =
      load_.TimeAfterStart(logical_request.prompt_tokens - cached);
  const bool is_long = static_cast<double>(wanted.prefill) >
                       load_.queue().capacity().prefill_per_request;
  const AdmissionDecision decision = load_.queue().Submit(wanted, now);
  if (decision.verdict == AdmissionVerdict::kRefused) {
    ++counters_.refusals;
    if (decision.code != ResultCode::kAccountLimit) {
      const MonotonicTime by_wait = now + Milliseconds(2000);
      refusals_.push_back({now, is_long,
                           is_long ? served_.of_long : served_.all,
                           decision.cost_ahead,
                           std::min(by_wait, submission.deadline -
                                                 wanted.unloaded_first_token)});
    }
    submission.on_end(decision.code, decision.retry_after);
    return;
  }
  Request& request = requests_[id];
  request.submission = std::move(submission);
  request.fingerprint = fingerprint;
  request.cost = wanted.cost;
  request.is_long = is_long;
  if (decision.verdict == AdmissionVerdict::kAdmitted)
    Start(id);
  AdmitQueued();
}

void SimulatedEntry::Cancel(const std::string& id) {
  const auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  Request& request = it->second;
  if (request.engine != nullptr) {
    request.engine->Cancel(request.engine_number);
    EndAttempt(request, ResultCode::kCancelled);
  }
  load_.queue().Cancel(RequestId(id));
  requests_.erase(it);
  AdmitQueued();
}

void SimulatedEntry::AdmitQueued() {
  const MonotonicTime now = world_.loop.now();
  AdmissionStep step = load_.queue().Pop(now);
  for (const ExpiredRequest& expired : step.expired) {
    const auto it = requests_.find(expired.id.value());
    const Submission submission = std::move(it->second.submission);
    requests_.erase(it);
    ++counters_.refusals;
    ++counters_.judged_refusals;
    // It expired because it could no longer start in time, so the refusal was
    // justified.
    ++counters_.justified_refusals;
    submission.on_end(expired.code, expired.retry_after);
  }
  for (const RequestId& id : step.admitted)
    Start(id.value());
  served_.time = now;
  served_history_.push_back(served_);
  const auto wakeup = load_.queue().NextWakeup();
  if (wakeup && (!wakeup_ || *wakeup < *wakeup_ || *wakeup_ < now)) {
    wakeup_ = wakeup;
    world_.loop.At(*wakeup + Microseconds(1), [this] { AdmitQueued(); });
  }
}

void SimulatedEntry::Start(const std::string& id) {
  Request& request = requests_.at(id);
  request.admitted = true;
  served_.all += request.cost;
  served_.of_long += request.is_long ? request.cost : 0;
  StartAttempt(id);
}

void SimulatedEntry::StartAttempt(const std::string& id) {
  const auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  Request& request = it->second;
  const MonotonicTime now = world_.loop.now();
  const SuspectVerdict verdict = suspects_.Judge(request.fingerprint, now);
  const bool alone = verdict == SuspectVerdict::kRunIsolated;
  std::optional<Attempt> attempt;
  if (alone || verdict == SuspectVerdict::kRun) {
    std::vector<EndpointInfo> fresh;
    for (const EndpointInfo& endpoint : candidates_) {
      if (!request.tried.contains(endpoint.id))
        fresh.push_back(endpoint);
    }
    attempt = load_.Choose(QueryOf(request, alone),
                           fresh.empty() ? candidates_ : fresh, now);
  }
  if (!attempt) {
    const bool suspected = verdict != SuspectVerdict::kRun;
    // Finish() changes the queue, so it is deferred until the queue's current
    // step ends.
    world_.loop.After(Microseconds(0), [this, id, suspected] {
      Finish(
          id,
          suspected ? ResultCode::kRequestSuspected : ResultCode::kNoEndpoint,
          Milliseconds(1000));
    });
    return;
  }
  request.attempt = *attempt;
  ++request.attempts;
  ++counters_.attempts;
  request.tried.insert(attempt->endpoint.id);
  suspects_.OnAttemptStart(request.fingerprint, attempt->endpoint.id, alone);
  Dispatch(request, id);
}

void SimulatedEntry::Dispatch(Request& request, std::string id) {
  const LogicalRequest& logical_request = *request.submission.logical_request;
  EngineJob job;
  job.prefix = logical_request.prefix;
  job.prefix_tokens = logical_request.prefix_tokens;
  job.prompt_tokens = logical_request.prompt_tokens;
  job.decode_tokens = logical_request.decode_tokens;
  job.crashes_engine = logical_request.poison;
  if (request.attempt.choice.import) {
    job.imported = true;
    job.import_ready = world_.link.Transfer(
        logical_request.prefix_tokens * kBytesPerCachedToken,
        world_.loop.now());
  }
  const int number = request.attempts;
  const auto current = [this, id, number] {
    const auto it = requests_.find(id);
    return it != requests_.end() && it->second.attempts == number &&
           it->second.engine != nullptr;
  };
  job.on_first_token = [this, id, current](Tokens cached) {
    if (current())
      OnFirstToken(id, cached);
  };
  job.on_end = [this, id, current](ResultCode code) {
    if (current())
      OnAttemptEnd(id, code);
  };
  request.engine = &EngineOf(request.attempt.endpoint.id);
  request.engine_number = request.engine->Submit(std::move(job));
  WatchProgress(id, request.engine_number,
                request.attempt.choice.expected_first_token);
}

void SimulatedEntry::WatchProgress(const std::string& id,
                                   std::uint64_t engine_number,
                                   Microseconds first_wait) {
  world_.loop.After(first_wait + kProgressTimeout, [this, id, engine_number] {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.engine == nullptr ||
        it->second.engine_number != engine_number)
      return;
    Request& request = it->second;
    // A running decode counts as progress: the engine model doesn't send its
    // tokens one by one.
    if (request.attempt.got_first_token && !request.engine->stalled()) {
      WatchProgress(id, engine_number, Microseconds(0));
      return;
    }
    request.engine->Cancel(engine_number);
    OnAttemptEnd(id, ResultCode::kEndpointTimeout);
  });
}

void SimulatedEntry::OnFirstToken(const std::string& id, Tokens cached) {
  Request& request = requests_.at(id);
  const LogicalRequest& logical_request = *request.submission.logical_request;
  load_.OnFirstToken(&request.attempt, world_.loop.now());
  load_.queue().OnFirstToken(RequestId(id));
  counters_.prompt_tokens += static_cast<double>(logical_request.prompt_tokens);
  counters_.recomputed_tokens +=
      static_cast<double>(logical_request.prefix_tokens -
                          std::min(cached, logical_request.prefix_tokens));
  if (!request.got_first_token) {
    request.got_first_token = true;
    request.submission.on_first_token();
  }
  AdmitQueued();
}

void SimulatedEntry::EndAttempt(Request& request, ResultCode code) {
  const MonotonicTime now = world_.loop.now();
  const EndpointId& endpoint = request.attempt.endpoint.id;
  const bool broken = code == ResultCode::kEndpointFailed;
  const bool failed = broken || code == ResultCode::kEndpointTimeout ||
                      code == ResultCode::kNoEndpoint;
  load_.OnEnd(request.attempt, failed, now);
  if (broken)
    suspects_.OnAttemptBroken(request.fingerprint, endpoint, now);
  else
    suspects_.OnAttemptEnd(request.fingerprint, endpoint,
                           code == ResultCode::kOk);
  request.engine = nullptr;
}

void SimulatedEntry::OnAttemptEnd(const std::string& id, ResultCode code) {
  Request& request = requests_.at(id);
  EndAttempt(request, code);
  const AccountId account =
      AccountName(request.submission.logical_request->account);
  if (code == ResultCode::kOk) {
    budget_.OnSuccess(account, service_.name);
    world_.stored.insert(request.submission.logical_request->prefix);
    Finish(id, code, Milliseconds(0));
    return;
  }
  RetryRequest retry;
  retry.id = RequestId(id);
  retry.attempts = request.attempts;
  retry.deadline = request.submission.deadline;
  retry.endpoint_available = !candidates_.empty();
  const RetryAction action =
      DecideRetry(policy_, retry, {.code = code}, world_.loop.now());
  if (action.kind == RetryActionKind::kFail ||
      !budget_.TrySpend(account, service_.name)) {
    Finish(id, code, Milliseconds(1000));
    return;
  }
  world_.loop.At(action.not_before, [this, id] { StartAttempt(id); });
  AdmitQueued();
}

void SimulatedEntry::Finish(const std::string& id,
                            ResultCode code,
                            Milliseconds retry_after) {
  const auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  const Submission submission = std::move(it->second.submission);
  load_.queue().Finish(RequestId(id), it->second.cost);
  requests_.erase(it);
  submission.on_end(code, retry_after);
  AdmitQueued();
}

RouteQuery SimulatedEntry::QueryOf(const Request& request, bool alone) const {
  const LogicalRequest& logical_request = *request.submission.logical_request;
  RouteQuery query;
  query.id = RequestId(request.submission.id);
  query.prompt_tokens = logical_request.prompt_tokens;
  query.prefix_hash = logical_request.prefix;
  query.isolated = alone;
  for (const auto& engine : world_.engines) {
    const Tokens cached = engine->CachedTokens(logical_request.prefix);
    if (cached > 0)
      query.cache.hits.emplace_back(
          engine->id(), std::min(cached, logical_request.prefix_tokens));
  }
  if (world_.stored.contains(logical_request.prefix)) {
    const Bytes bytes = logical_request.prefix_tokens * kBytesPerCachedToken;
    query.cache.imports.push_back(
        {logical_request.prefix_tokens, bytes,
         world_.link.TimeFor(bytes, world_.loop.now())});
  }
  return query;
}

FakeEngine& SimulatedEntry::EngineOf(const EndpointId& id) const {
  const auto found = std::ranges::find_if(
      world_.engines, [&](const auto& engine) { return engine->id() == id; });
  return **found;
}

EntryCounters SimulatedEntry::Counters() const {
  EntryCounters counters = counters_;
  for (const Refusal& refusal : refusals_) {
    const auto after_start = std::ranges::upper_bound(
        served_history_, refusal.latest_start, {}, &Served::time);
    if (after_start == served_history_.end())
      continue;
    const Served at = after_start == served_history_.begin()
                          ? Served{}
                          : *std::prev(after_start);
    const CostUnits served = refusal.is_long ? at.of_long : at.all;
    ++counters.judged_refusals;
    if (served - refusal.served_before <= refusal.cost_ahead)
      ++counters.justified_refusals;
  }
  return counters;
}

std::vector<SuspectRecord> SimulatedEntry::ExportSuspects() const {
  return suspects_.Export(world_.loop.now());
}

void SimulatedEntry::MergeSuspects(const std::vector<SuspectRecord>& records) {
  suspects_.Merge(records, world_.loop.now());
}

}  // namespace carobshift
