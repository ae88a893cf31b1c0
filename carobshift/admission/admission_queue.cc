#include "carobshift/admission/admission_queue.h"

#include <algorithm>

#include "carobshift/admission/internal/admission_records.h"

namespace carobshift {

bool AdmissionQueue::ByRank::operator()(const RequestRecord* a,
                                        const RequestRecord* b) const {
  return a->rank != b->rank ? a->rank < b->rank : a->sequence < b->sequence;
}

bool AdmissionQueue::ByExpiry::operator()(const RequestRecord* a,
                                          const RequestRecord* b) const {
  return a->latest_start != b->latest_start ? a->latest_start < b->latest_start
                                            : a->sequence < b->sequence;
}

AdmissionQueue::AdmissionQueue(const AdmissionOptions& options)
    : options_(options), common_flow_(std::make_unique<Account>()) {
  if (options_.mutation == AdmissionMutation::kNoFairness)
    options_.fair = false;
}

AdmissionQueue::~AdmissionQueue() = default;

void AdmissionQueue::SetAccount(const AccountId& account,
                                const AccountShare& share) {
  Account& record = FindOrAddAccount(account);
  if (record.share == share)
    return;
  const bool active = !record.queue.empty();
  if (active) {
    RemoveFromSchedule(&record);
    active_weight_ -= record.weight();
  }
  record.share = share;
  if (active) {
    active_weight_ += record.weight();
    UpdateSchedule(&record);
  }
}

void AdmissionQueue::SetCapacity(const AdmissionCapacity& capacity) {
  capacity_ = capacity;
}

AdmissionDecision AdmissionQueue::Submit(const AdmissionRequest& request,
                                         MonotonicTime now) {
  ObserveBacklog(now);
  Account& account = FindOrAddAccount(request.account);
  Account& flow = options_.fair ? account : *common_flow_;
  AdmissionDecision decision;
  decision.cost_ahead = CostAhead(flow, request);
  decision.expected_wait = TimeFor(decision.cost_ahead, IsLong(request));
  if (account.in_flight >= account.share.max_in_flight)
    return Refuse(ResultCode::kAccountLimit, &flow, request, decision, now);

  auto item = std::make_unique<RequestRecord>();
  item->id = request.id;
  item->sequence = next_sequence_++;
  item->account = &account;
  item->flow = &flow;
  item->priority = request.priority;
  item->cost = std::max(1.0, request.cost);
  item->prefill = std::max(0.0, static_cast<double>(request.prefill));
  item->is_long = IsLong(request);
  item->rank = RankOf(request, now);
  item->latest_start =
      now + options_.max_wait[static_cast<std::size_t>(request.priority)];
  if (request.first_token_deadline) {
    const MonotonicTime by_deadline =
        *request.first_token_deadline - request.unloaded_first_token;
    item->has_deadline = by_deadline < item->latest_start;
    item->latest_start = std::min(by_deadline, item->latest_start);
  }
  const ResultCode late = item->has_deadline ? ResultCode::kDeadlineUnreachable
                                             : ResultCode::kOverloaded;
  if (item->latest_start < now && options_.refuse)
    return Refuse(late, &flow, request, decision, now);

  if (expiry_.empty() && HasFreeSlot() && (!item->is_long || LongMayStart())) {
    StartRun(item.get());
    decision.cost_ahead = 0;
    decision.expected_wait = Microseconds(0);
  } else {
    if (expiry_.size() >= options_.max_queued)
      return Refuse(ResultCode::kOverloaded, &flow, request, decision, now);
    if (options_.refuse && now + decision.expected_wait > item->latest_start)
      return Refuse(late, &flow, request, decision, now);
    decision.verdict = AdmissionVerdict::kQueued;
    Enqueue(item.get());
    ObserveBacklog(now);
  }
  ++account.in_flight;
  items_.emplace(request.id, std::move(item));
  return decision;
}

AdmissionStep AdmissionQueue::Pop(MonotonicTime now) {
  AdmissionStep step;
  ExpireQueued(now, &step);
  while (HasFreeSlot()) {
    RequestRecord* item = TakeNext();
    if (item == nullptr)
      break;
    StartRun(item);
    drain_.OnStart(item->cost);
    if (item->is_long)
      long_drain_.OnStart(item->cost);
    step.admitted.push_back(item->id);
  }
  ObserveBacklog(now);
  return step;
}

void AdmissionQueue::OnFirstToken(const RequestId& id) {
  const auto it = items_.find(id);
  if (it != items_.end() && it->second->running)
    EndPrefill(it->second.get());
}

void AdmissionQueue::Finish(const RequestId& id, CostUnits actual_cost) {
  const auto it = items_.find(id);
  if (it == items_.end() || !it->second->running)
    return;
  RequestRecord& item = *it->second;
  if (item.charged) {
    Account* flow = item.flow;
    const bool active = !flow->queue.empty();
    if (active)
      RemoveFromSchedule(flow);
    flow->start_tag += (actual_cost - item.cost) / flow->weight();
    if (active)
      UpdateSchedule(flow);
  }
  --running_;
  EndPrefill(&item);
  EraseRequest(id);
}

bool AdmissionQueue::Cancel(const RequestId& id) {
  const auto it = items_.find(id);
  if (it == items_.end())
    return false;
  if (!it->second->running) {
    Dequeue(it->second.get());
  } else if (options_.mutation != AdmissionMutation::kLostWakeup) {
    --running_;
  }
  EndPrefill(it->second.get());
  EraseRequest(id);
  return true;
}

std::optional<MonotonicTime> AdmissionQueue::NextWakeup() const {
  if (expiry_.empty())
    return std::nullopt;
  return (*expiry_.begin())->latest_start;
}

int AdmissionQueue::InFlight(const AccountId& account) const {
  const auto it = accounts_.find(account);
  return it == accounts_.end() ? 0 : it->second->in_flight;
}

AdmissionQueue::Account& AdmissionQueue::FindOrAddAccount(const AccountId& id) {
  auto [it, added] = accounts_.try_emplace(id);
  if (added) {
    it->second = std::make_unique<Account>();
    it->second->number = accounts_.size();
  }
  return *it->second;
}

bool AdmissionQueue::HasFreeSlot() const {
  // A capacity between 0 and 1 still admits one request at a time; otherwise
  // the entry would never send anything and its callers would wait without end.
  if (running_ == 0)
    return capacity_.slots > 0;
  return running_ + 1 <= capacity_.slots &&
         (running_prefill_ < 1 || running_prefill_ < capacity_.prefill);
}

void AdmissionQueue::ObserveBacklog(MonotonicTime now) {
  drain_.Observe(!active_short_.empty(), now);
  long_drain_.Observe(queued_long_ > 0, now);
}

void AdmissionQueue::Enqueue(RequestRecord* item) {
  Account* flow = item->flow;
  if (flow->queue.empty()) {
    flow->start_tag = std::max(flow->start_tag, virtual_time_);
    active_weight_ += flow->weight();
  }
  RemoveFromSchedule(flow);
  flow->queue.insert(item);
  if (!item->is_long)
    flow->short_queue.insert(item);
  flow->class_cost[static_cast<std::size_t>(item->priority)] += item->cost;
  queued_cost_ += item->cost;
  if (item->is_long) {
    ++queued_long_;
    queued_long_cost_ += item->cost;
    flow->long_cost[static_cast<std::size_t>(item->priority)] += item->cost;
  }
  expiry_.insert(item);
  UpdateSchedule(flow);
}

void AdmissionQueue::Dequeue(RequestRecord* item) {
  Account* flow = item->flow;
  RemoveFromSchedule(flow);
  flow->queue.erase(item);
  flow->short_queue.erase(item);
  expiry_.erase(item);
  flow->class_cost[static_cast<std::size_t>(item->priority)] -= item->cost;
  queued_cost_ -= item->cost;
  if (item->is_long) {
    --queued_long_;
    queued_long_cost_ -= item->cost;
    flow->long_cost[static_cast<std::size_t>(item->priority)] -= item->cost;
  }
  if (flow->queue.empty()) {
    active_weight_ -= flow->weight();
    flow->class_cost = {};
    flow->long_cost = {};
  } else {
    UpdateSchedule(flow);
  }
  if (active_.empty()) {
    // End of a busy period: no account is owed a share, so the sums of doubles
    // restart from zero and rounding errors don't accumulate.
    virtual_time_ = std::max(virtual_time_, largest_tag_);
    queued_cost_ = 0;
    queued_long_cost_ = 0;
    active_weight_ = 0;
  }
}

void AdmissionQueue::RemoveFromSchedule(Account* flow) {
  if (flow->schedule_key)
    active_.erase(*flow->schedule_key);
  if (flow->short_schedule_key)
    active_short_.erase(*flow->short_schedule_key);
  flow->schedule_key.reset();
  flow->short_schedule_key.reset();
}

void AdmissionQueue::UpdateSchedule(Account* flow) {
  const auto key_for = [&](const std::set<RequestRecord*, ByRank>& queue) {
    const double tag =
        flow->start_tag + (*queue.begin())->cost / flow->weight();
    return ScheduleKey{tag, flow->number, flow};
  };
  RemoveFromSchedule(flow);
  flow->schedule_key = key_for(flow->queue);
  active_.insert(*flow->schedule_key);
  if (flow->short_queue.empty())
    return;
  flow->short_schedule_key = key_for(flow->short_queue);
  active_short_.insert(*flow->short_schedule_key);
}

void AdmissionQueue::StartRun(RequestRecord* item) {
  item->running = true;
  ++running_;
  item->prefill = std::min(item->prefill, capacity_.prefill_per_request);
  running_prefill_ += item->prefill;
  running_long_ += item->is_long ? item->prefill : 0;
}

void AdmissionQueue::EndPrefill(RequestRecord* item) {
  if (item->running) {
    running_prefill_ -= item->prefill;
    running_long_ -= item->is_long ? item->prefill : 0;
  }
  item->prefill = 0;
}

AdmissionQueue::RequestRecord* AdmissionQueue::TakeNext() {
  const bool any = LongMayStart();
  const std::set<ScheduleKey>& schedule = any ? active_ : active_short_;
  if (schedule.empty())
    return nullptr;
  const ScheduleKey schedule_key = *schedule.begin();
  Account* flow = schedule_key.account;
  RequestRecord* item = any ? *flow->queue.begin() : *flow->short_queue.begin();
  virtual_time_ = std::max(virtual_time_, flow->start_tag);
  flow->start_tag = schedule_key.finish_tag;
  largest_tag_ = std::max(largest_tag_, schedule_key.finish_tag);
  item->charged = true;
  Dequeue(item);
  return item;
}

void AdmissionQueue::ExpireQueued(MonotonicTime now, AdmissionStep* step) {
  if (!options_.refuse)
    return;
  while (!expiry_.empty() && (*expiry_.begin())->latest_start < now) {
    RequestRecord* item = *expiry_.begin();
    ExpiredRequest expired;
    expired.id = item->id;
    expired.code = item->has_deadline ? ResultCode::kDeadlineUnreachable
                                      : ResultCode::kOverloaded;
    const CostUnits ahead = item->is_long ? queued_long_cost_ : queued_cost_;
    expired.retry_after =
        RetryAfter(item->flow, item->id, item->cost, item->is_long,
                   TimeFor(ahead, item->is_long), now);
    Dequeue(item);
    EraseRequest(expired.id);
    step->expired.push_back(std::move(expired));
  }
}

void AdmissionQueue::EraseRequest(const RequestId& id) {
  const auto it = items_.find(id);
  --it->second->account->in_flight;
  items_.erase(it);
}

}  // namespace carobshift
