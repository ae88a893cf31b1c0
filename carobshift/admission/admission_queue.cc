#include "carobshift/admission/admission_queue.h"

#include <algorithm>

#include "carobshift/admission/internal/admission_records.h"

namespace carobshift {

bool AdmissionQueue::ByRank::operator()(const Item* a, const Item* b) const {
  return a->rank != b->rank ? a->rank < b->rank : a->sequence < b->sequence;
}

bool AdmissionQueue::ByExpiry::operator()(const Item* a, const Item* b) const {
  return a->latest_start != b->latest_start ? a->latest_start < b->latest_start
                                            : a->sequence < b->sequence;
}

AdmissionQueue::AdmissionQueue(const AdmissionOptions& options)
    : options_(options), common_lane_(std::make_unique<Account>()) {
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
    Unkey(&record);
    active_weight_ -= record.weight();
  }
  record.share = share;
  if (active) {
    active_weight_ += record.weight();
    Rekey(&record);
  }
}

void AdmissionQueue::SetCapacity(const AdmissionCapacity& capacity) {
  capacity_ = capacity;
}

AdmissionDecision AdmissionQueue::Arrive(const AdmissionRequest& request,
                                         MonotonicTime now) {
  ObserveBacklog(now);
  Account& account = FindOrAddAccount(request.account);
  Account& lane = options_.fair ? account : *common_lane_;
  AdmissionDecision decision;
  decision.cost_ahead = CostAhead(lane, request);
  decision.expected_wait = TimeFor(decision.cost_ahead, IsLong(request));
  if (account.in_flight >= account.share.max_in_flight)
    return Refuse(ResultCode::kAccountLimit, &lane, request, decision, now);

  auto item = std::make_unique<Item>();
  item->id = request.id;
  item->sequence = next_sequence_++;
  item->account = &account;
  item->lane = &lane;
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
    return Refuse(late, &lane, request, decision, now);

  if (expiry_.empty() && HasFreePlace() && (!item->is_long || LongMayStart())) {
    BeginRun(item.get());
    decision.cost_ahead = 0;
    decision.expected_wait = Microseconds(0);
  } else {
    if (expiry_.size() >= options_.max_queued)
      return Refuse(ResultCode::kOverloaded, &lane, request, decision, now);
    if (options_.refuse && now + decision.expected_wait > item->latest_start)
      return Refuse(late, &lane, request, decision, now);
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
  GiveUpExpired(now, &step);
  while (HasFreePlace()) {
    Item* item = TakeNext();
    if (item == nullptr)
      break;
    BeginRun(item);
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
  Item& item = *it->second;
  if (item.charged) {
    Account* lane = item.lane;
    const bool active = !lane->queue.empty();
    if (active)
      Unkey(lane);
    lane->start_tag += (actual_cost - item.cost) / lane->weight();
    if (active)
      Rekey(lane);
  }
  --running_;
  EndPrefill(&item);
  Forget(id);
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
  Forget(id);
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

bool AdmissionQueue::HasFreePlace() const {
  // A capacity between 0 and 1 still serves one at a time: the entry would
  // otherwise never send anything and its callers would wait for nothing.
  if (running_ == 0)
    return capacity_.places > 0;
  return running_ + 1 <= capacity_.places &&
         (running_prefill_ < 1 || running_prefill_ < capacity_.prefill);
}

void AdmissionQueue::ObserveBacklog(MonotonicTime now) {
  drain_.Observe(!active_short_.empty(), now);
  long_drain_.Observe(queued_long_ > 0, now);
}

void AdmissionQueue::Enqueue(Item* item) {
  Account* lane = item->lane;
  if (lane->queue.empty()) {
    lane->start_tag = std::max(lane->start_tag, virtual_time_);
    active_weight_ += lane->weight();
  }
  Unkey(lane);
  lane->queue.insert(item);
  if (!item->is_long)
    lane->short_queue.insert(item);
  lane->class_cost[static_cast<std::size_t>(item->priority)] += item->cost;
  queued_cost_ += item->cost;
  if (item->is_long) {
    ++queued_long_;
    queued_long_cost_ += item->cost;
    lane->long_cost[static_cast<std::size_t>(item->priority)] += item->cost;
  }
  expiry_.insert(item);
  Rekey(lane);
}

void AdmissionQueue::Dequeue(Item* item) {
  Account* lane = item->lane;
  Unkey(lane);
  lane->queue.erase(item);
  lane->short_queue.erase(item);
  expiry_.erase(item);
  lane->class_cost[static_cast<std::size_t>(item->priority)] -= item->cost;
  queued_cost_ -= item->cost;
  if (item->is_long) {
    --queued_long_;
    queued_long_cost_ -= item->cost;
    lane->long_cost[static_cast<std::size_t>(item->priority)] -= item->cost;
  }
  if (lane->queue.empty()) {
    active_weight_ -= lane->weight();
    lane->class_cost = {};
    lane->long_cost = {};
  } else {
    Rekey(lane);
  }
  if (active_.empty()) {
    // The end of a busy period: nobody waits, so nobody owes anybody a share,
    // and sums of doubles start again from zero.
    virtual_time_ = std::max(virtual_time_, largest_tag_);
    queued_cost_ = 0;
    queued_long_cost_ = 0;
    active_weight_ = 0;
  }
}

void AdmissionQueue::Unkey(Account* lane) {
  if (lane->turn)
    active_.erase(*lane->turn);
  if (lane->short_turn)
    active_short_.erase(*lane->short_turn);
  lane->turn.reset();
  lane->short_turn.reset();
}

void AdmissionQueue::Rekey(Account* lane) {
  const auto turn_of = [&](const std::set<Item*, ByRank>& queue) {
    const double tag =
        lane->start_tag + (*queue.begin())->cost / lane->weight();
    return Turn{tag, lane->number, lane};
  };
  Unkey(lane);
  lane->turn = turn_of(lane->queue);
  active_.insert(*lane->turn);
  if (lane->short_queue.empty())
    return;
  lane->short_turn = turn_of(lane->short_queue);
  active_short_.insert(*lane->short_turn);
}

void AdmissionQueue::BeginRun(Item* item) {
  item->running = true;
  ++running_;
  item->prefill = std::min(item->prefill, capacity_.prefill_per_request);
  running_prefill_ += item->prefill;
  running_long_ += item->is_long ? item->prefill : 0;
}

void AdmissionQueue::EndPrefill(Item* item) {
  if (item->running) {
    running_prefill_ -= item->prefill;
    running_long_ -= item->is_long ? item->prefill : 0;
  }
  item->prefill = 0;
}

AdmissionQueue::Item* AdmissionQueue::TakeNext() {
  const bool any = LongMayStart();
  const std::set<Turn>& turns = any ? active_ : active_short_;
  if (turns.empty())
    return nullptr;
  const Turn turn = *turns.begin();
  Account* lane = turn.account;
  Item* item = any ? *lane->queue.begin() : *lane->short_queue.begin();
  virtual_time_ = std::max(virtual_time_, lane->start_tag);
  lane->start_tag = turn.finish_tag;
  largest_tag_ = std::max(largest_tag_, turn.finish_tag);
  item->charged = true;
  Dequeue(item);
  return item;
}

void AdmissionQueue::GiveUpExpired(MonotonicTime now, AdmissionStep* step) {
  if (!options_.refuse)
    return;
  while (!expiry_.empty() && (*expiry_.begin())->latest_start < now) {
    Item* item = *expiry_.begin();
    ExpiredRequest expired;
    expired.id = item->id;
    expired.code = item->has_deadline ? ResultCode::kDeadlineUnreachable
                                      : ResultCode::kOverloaded;
    const CostUnits ahead = item->is_long ? queued_long_cost_ : queued_cost_;
    expired.retry_after =
        RetryAfter(item->lane, item->id, item->cost, item->is_long,
                   TimeFor(ahead, item->is_long), now);
    Dequeue(item);
    Forget(expired.id);
    step->expired.push_back(std::move(expired));
  }
}

void AdmissionQueue::Forget(const RequestId& id) {
  const auto it = items_.find(id);
  --it->second->account->in_flight;
  items_.erase(it);
}

}  // namespace carobshift
