#include "carobshift/admission/admission_queue.h"

#include <algorithm>

#include "carobshift/base/digest.h"

namespace carobshift {

namespace {

// Share of the drain rate that returning requests may use, so that they don't
// displace the new ones.
constexpr double kReturnShare = 0.5;
constexpr double kLeastWeight = 1e-6;
// The rank offset of a class when aging is switched off by a mutation.
constexpr Milliseconds kNeverAged{24LL * 3600 * 1000};

}  // namespace

// One account's requests, or with `fair` off all of them.
struct AdmissionQueue::Account {
  std::uint64_t number = 0;
  AccountShare share;
  int in_flight = 0;
  // Until when the places in its queue of returns are given away.
  MonotonicTime returns_until{};
  double start_tag = 0;
  // As they stand in `active_` and `active_short_`.
  std::optional<Turn> turn;
  std::optional<Turn> short_turn;
  std::array<CostUnits, kPriorityClasses> class_cost{};
  std::set<Item*, ByRank> queue;
  std::set<Item*, ByRank> short_queue;

  [[nodiscard]] double weight() const {
    return std::max(kLeastWeight, share.weight);
  }
};

struct AdmissionQueue::Item {
  RequestId id;
  std::uint64_t sequence = 0;
  // The account whose limit counts, and the lane in which it waits.
  Account* account = nullptr;
  Account* lane = nullptr;
  PriorityClass priority = PriorityClass::kNormal;
  CostUnits cost = 1;
  // Counted in `running_prefill_` while it runs.
  double prefill = 0;
  MonotonicTime rank{};
  MonotonicTime latest_start{};
  bool has_deadline = false;
  bool is_long = false;
  bool running = false;
  // False if it was started without waiting, when no share was charged.
  bool charged = false;
};

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
  drain_.Observe(!expiry_.empty(), now);
  Account& account = FindOrAddAccount(request.account);
  Account& lane = options_.fair ? account : *common_lane_;
  AdmissionDecision decision;
  decision.cost_ahead = CostAhead(lane, request);
  decision.expected_wait = drain_.TimeFor(decision.cost_ahead);
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
  item->is_long = item->prefill > capacity_.prefill_per_request;
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
    drain_.Observe(true, now);
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
    step.admitted.push_back(item->id);
  }
  drain_.Observe(!expiry_.empty(), now);
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

// Served before this request: all that waits, or if less, what the account
// itself has waiting, while the other accounts get their shares beside it.
CostUnits AdmissionQueue::CostAhead(const Account& lane,
                                    const AdmissionRequest& request) const {
  CostUnits own = 0;
  for (std::size_t c = 0; c <= static_cast<std::size_t>(request.priority); ++c)
    own += lane.class_cost[c];
  const CostUnits by_share =
      (own + request.cost) * WeightsBeside(lane) / lane.weight();
  return std::min(queued_cost_, by_share);
}

double AdmissionQueue::WeightsBeside(const Account& lane) const {
  return active_weight_ + (lane.queue.empty() ? lane.weight() : 0);
}

AdmissionDecision AdmissionQueue::Refuse(ResultCode code,
                                         Account* lane,
                                         const AdmissionRequest& request,
                                         AdmissionDecision decision,
                                         MonotonicTime now) {
  decision.verdict = AdmissionVerdict::kRefused;
  decision.code = code;
  decision.retry_after =
      RetryAfter(lane, request.id, request.cost, decision.expected_wait, now);
  return decision;
}

Milliseconds AdmissionQueue::RetryAfter(Account* lane,
                                        const RequestId& id,
                                        CostUnits cost,
                                        Microseconds expected_wait,
                                        MonotonicTime now) const {
  const CostUnits by_share =
      cost * WeightsBeside(*lane) / lane->weight() / kReturnShare;
  lane->returns_until = std::max(lane->returns_until, now + expected_wait) +
                        drain_.TimeFor(by_share);
  lane->returns_until =
      std::min(lane->returns_until, now + options_.max_retry_after);
  const double horizon =
      std::chrono::duration<double, std::milli>(lane->returns_until - now)
          .count();
  // A uniform place in the upper half of the horizon.
  const double fraction =
      0.5 + 0.5 * static_cast<double>(FastHash(id.value()) >> 11) * 0x1p-53;
  const Milliseconds wanted(static_cast<std::int64_t>(horizon * fraction));
  const Milliseconds least(static_cast<std::int64_t>(
      static_cast<double>(options_.min_retry_after.count()) * 2 * fraction));
  return std::min(std::max(wanted, least), options_.max_retry_after);
}

MonotonicTime AdmissionQueue::RankOf(const AdmissionRequest& request,
                                     MonotonicTime now) const {
  const Milliseconds step = options_.mutation == AdmissionMutation::kNoAging
                                ? kNeverAged
                                : options_.class_step;
  const Microseconds by_size(static_cast<std::int64_t>(
      static_cast<double>(options_.size_offset_per_kilounit.count()) *
      std::min(request.cost, 1e9) / 1000));
  return now + step * static_cast<int>(request.priority) +
         std::min<Microseconds>(by_size, options_.max_size_offset);
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
  if (lane->queue.empty()) {
    active_weight_ -= lane->weight();
    lane->class_cost = {};
  } else {
    Rekey(lane);
  }
  if (active_.empty()) {
    // The end of a busy period: nobody waits, so nobody owes anybody a share,
    // and sums of doubles start again from zero.
    virtual_time_ = std::max(virtual_time_, largest_tag_);
    queued_cost_ = 0;
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
    return Turn{tag, lane};
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

bool AdmissionQueue::LongMayStart() const {
  return running_long_ < 1 ||
         running_long_ < options_.long_share * capacity_.prefill;
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
    expired.retry_after = RetryAfter(item->lane, item->id, item->cost,
                                     drain_.TimeFor(queued_cost_), now);
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
