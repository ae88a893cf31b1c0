#include "carobshift/server/tables/load_table.h"

#include <algorithm>
#include <utility>

namespace carobshift {
namespace {

// How often a waiting request checks whether its caller has disconnected.
constexpr Milliseconds kCallerCheckInterval{50};

}  // namespace

LoadTable::LoadTable(std::size_t max_waiting) : max_waiting_(max_waiting) {}

LoadTable::~LoadTable() = default;

void LoadTable::Refresh(const ServiceSpec& service,
                        const std::vector<EndpointInfo>& candidates,
                        int live_entries,
                        MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  ServiceLoad& load = LoadOf(service);
  for (const EndpointId& crashed :
       load.Refresh(service, candidates, live_entries))
    suspects_.OnEndpointCrash(crashed, now);
  suspects_.Expire(now);
  ProcessQueue(load, now);
}

AdmitAnswer LoadTable::Admit(const ServiceSpec& service,
                             const AccountSpec& account,
                             const AdmitRequest& request,
                             const std::function<bool()>& caller_disconnected) {
  const MonotonicTime begin = MonotonicNow();
  std::unique_lock lock(mutex_);
  ServiceLoad& load = LoadOf(service);
  AdmissionQueue& queue = load.queue();
  const Tokens uncached =
      std::max<Tokens>(0, request.prompt_tokens - request.cached_tokens);
  AdmissionRequest wanted;
  wanted.id = request.id;
  wanted.account = request.account;
  wanted.priority = request.priority;
  wanted.cost = RequestCost(uncached, load.ExpectedDecode(request.max_tokens));
  wanted.prefill = uncached;
  wanted.first_token_deadline = request.deadline;
  wanted.unloaded_first_token = load.TimeAfterStart(uncached);
  queue.SetAccount(account.id, {account.weight, account.max_in_flight});
  const AdmissionDecision decision = queue.Submit(wanted, begin);
  Waiter waiter;
  waiter.answer.expected_wait = decision.expected_wait;
  waiter.answer.cost = wanted.cost;
  waiter.answer.cost_ahead = decision.cost_ahead;
  waiter.answer.admitted = decision.verdict == AdmissionVerdict::kAdmitted;
  waiter.answer.code = decision.code;
  waiter.answer.retry_after = decision.retry_after;
  if (decision.verdict != AdmissionVerdict::kQueued)
    return waiter.answer;

  waiters_.emplace(request.id, &waiter);
  ProcessQueue(load, begin);
  while (!waiter.done) {
    const MonotonicTime next_check = MonotonicNow() + kCallerCheckInterval;
    const auto wake_at = std::min(
        next_check, queue.NextWakeup().value_or(next_check) + Microseconds(1));
    waiter.wake.wait_until(lock, wake_at, [&] { return waiter.done; });
    if (waiter.done)
      break;
    // The mutex is released for the check, since it reads the socket.
    lock.unlock();
    const bool gone = caller_disconnected();
    lock.lock();
    if (gone && !waiter.done) {
      queue.Cancel(request.id);
      waiter.answer.code = ResultCode::kCancelled;
      waiter.done = true;
    }
    ProcessQueue(load, MonotonicNow());
  }
  waiters_.erase(request.id);
  waiter.answer.waited = MonotonicNow() - begin;
  return waiter.answer;
}

void LoadTable::Finish(const ServiceSpec& service,
                       const RequestId& id,
                       const AdmitAnswer& admitted,
                       const std::optional<Tokens>& completion_tokens,
                       MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  ServiceLoad& load = LoadOf(service);
  CostUnits cost = admitted.cost;
  if (completion_tokens) {
    const Tokens expected = load.ExpectedDecode(*completion_tokens);
    cost += RequestCost(0, *completion_tokens) - RequestCost(0, expected);
    load.OnAnswer(*completion_tokens);
  }
  load.queue().Finish(id, cost);
  ProcessQueue(load, now);
}

std::optional<Attempt> LoadTable::BeginAttempt(
    const ServiceSpec& service,
    const RouteQuery& query,
    ContentFingerprint fingerprint,
    const std::vector<EndpointInfo>& candidates,
    MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  auto attempt = LoadOf(service).Choose(query, candidates, now);
  if (attempt)
    suspects_.OnAttemptStart(fingerprint, attempt->endpoint.id,
                             attempt->isolated);
  return attempt;
}

void LoadTable::OnFirstToken(const ServiceSpec& service,
                             const RequestId& id,
                             Attempt* attempt,
                             MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  ServiceLoad& load = LoadOf(service);
  load.OnFirstToken(attempt, now);
  load.queue().OnFirstToken(id);
  ProcessQueue(load, now);
}

void LoadTable::EndAttempt(const ServiceSpec& service,
                           const Attempt& attempt,
                           ContentFingerprint fingerprint,
                           AttemptEnd end,
                           MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  ServiceLoad& load = LoadOf(service);
  const EndpointId& endpoint = attempt.endpoint.id;
  const bool failed =
      end == AttemptEnd::kEndpointFault || end == AttemptEnd::kBroken;
  load.OnEnd(attempt, failed, now);
  if (end == AttemptEnd::kBroken) {
    suspects_.OnAttemptBroken(fingerprint, endpoint, now);
  } else {
    suspects_.OnAttemptEnd(fingerprint, endpoint,
                           end == AttemptEnd::kCompleted);
  }
  ProcessQueue(load, now);
}

SuspectVerdict LoadTable::Judge(ContentFingerprint fingerprint,
                                MonotonicTime now) const {
  const std::lock_guard lock(mutex_);
  return suspects_.Judge(fingerprint, now);
}

Milliseconds LoadTable::RefusedFor(ContentFingerprint fingerprint,
                                   MonotonicTime now) const {
  const std::lock_guard lock(mutex_);
  return suspects_.RemainingRefusal(fingerprint, now);
}

std::vector<SuspectRecord> LoadTable::ExportSuspects(MonotonicTime now) const {
  const std::lock_guard lock(mutex_);
  return suspects_.Export(now);
}

void LoadTable::MergeSuspects(const std::vector<SuspectRecord>& records,
                              MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  suspects_.Merge(records, now);
}

bool LoadTable::TrySpendRetry(const AccountId& account,
                              const ServiceName& service) {
  const std::lock_guard lock(mutex_);
  return budget_.TrySpend(account, service);
}

void LoadTable::OnSuccess(const AccountId& account,
                          const ServiceName& service) {
  const std::lock_guard lock(mutex_);
  budget_.OnSuccess(account, service);
}

nlohmann::json LoadTable::DumpState() const {
  nlohmann::json out = nlohmann::json::object();
  const std::lock_guard lock(mutex_);
  for (const auto& [name, load] : services_) {
    const AdmissionQueue& queue = load->queue();
    out["services"][name.value()] = {
        {"running", queue.running()},
        {"queued", queue.queued()},
        {"queued_cost", queue.queued_cost()},
        {"places", queue.capacity().slots},
        {"prefill_limit", queue.capacity().prefill},
        {"drain_rate", queue.drain_rate()}};
  }
  out["crash_suspects"] = suspects_.size();
  out["refused_requests"] = suspects_.RefusedCount(MonotonicNow());
  return out;
}

ServiceLoad& LoadTable::LoadOf(const ServiceSpec& service) {
  std::unique_ptr<ServiceLoad>& load = services_[service.name];
  if (!load) {
    ServiceLoadOptions options;
    options.admission.max_queued = max_waiting_;
    load = std::make_unique<ServiceLoad>(options, service);
  }
  return *load;
}

void LoadTable::ProcessQueue(ServiceLoad& load, MonotonicTime now) {
  AdmissionStep step = load.queue().Pop(now);
  const auto wake = [&](const RequestId& id) -> Waiter* {
    const auto it = waiters_.find(id);
    if (it == waiters_.end())
      return nullptr;
    it->second->done = true;
    it->second->wake.notify_one();
    return it->second;
  };
  for (const RequestId& id : step.admitted) {
    if (Waiter* waiter = wake(id))
      waiter->answer.admitted = true;
  }
  for (const ExpiredRequest& expired : step.expired) {
    if (Waiter* waiter = wake(expired.id)) {
      waiter->answer.code = expired.code;
      waiter->answer.retry_after = expired.retry_after;
    }
  }
}

}  // namespace carobshift
