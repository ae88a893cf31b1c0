#include "carobshift/gateway/admission/waiting_room.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

constexpr double kMillisecondsPerSecond = 1000;

Error InvalidOption(std::string message) {
  return {ResultCode::kInvalidSettings, std::move(message)};
}

Milliseconds RoundedUp(Microseconds time) {
  return std::chrono::ceil<Milliseconds>(time);
}

}  // namespace

Status ValidateWaitingRoomOptions(const WaitingRoomOptions& options,
                                  Bytes memory_limit_bytes) {
  if (options.max_requests <= 0)
    return InvalidOption("waiting room: max_requests must be positive");
  if (options.max_bytes <= 0)
    return InvalidOption("waiting room: max_bytes must be positive");
  if (options.max_bytes > memory_limit_bytes) {
    return InvalidOption("waiting room: max_bytes " +
                         std::to_string(options.max_bytes) +
                         " exceeds the memory limit of " +
                         std::to_string(memory_limit_bytes) + " bytes");
  }
  if (options.retry_pause <= Milliseconds(0))
    return InvalidOption("waiting room: retry_pause must be positive");
  if (options.start_margin < Milliseconds(0))
    return InvalidOption("waiting room: start_margin must not be negative");
  if (options.max_tries <= 0)
    return InvalidOption("waiting room: max_tries must be positive");
  return {};
}

// The schedule: requests with a lower key are scheduled first.
struct WaitingRoom::ScheduleKey {
  enum class Tier { kInTime, kPressing, kLate };

  Tier tier = Tier::kInTime;
  // The following three are 0 for late requests.
  int urgency = 0;
  int not_returning = 0;
  double usage = 0;
  // Arrival if in time, otherwise the latest start.
  MonotonicTime time{};
  std::uint64_t sequence = 0;

  friend bool operator<(const ScheduleKey& a, const ScheduleKey& b) {
    return std::tie(a.tier, a.urgency, a.not_returning, a.usage, a.time,
                    a.sequence) < std::tie(b.tier, b.urgency, b.not_returning,
                                           b.usage, b.time, b.sequence);
  }
};

// The usage of each account, looked up at most once in a decision.
class WaitingRoom::Usages {
 public:
  explicit Usages(const WaitingRoom& room)
      : room_(room), usages_(room.accounts_.size()) {}

  double Of(std::size_t account) {
    std::optional<double>& usage = usages_[account];
    if (!usage)
      usage = room_.UsageOfAccount(room_.accounts_[account].id);
    return *usage;
  }

 private:
  const WaitingRoom& room_;
  std::vector<std::optional<double>> usages_;
};

class WaitingRoom::HeldCosts {
 public:
  HeldCosts(const std::vector<Hold>& holds, MonotonicTime now) {
    for (const Hold& hold : holds) {
      if (now < hold.until)
        steps_.emplace_back(hold.urgency, hold.cost);
    }
    std::sort(steps_.begin(), steps_.end());
    double lowest = std::numeric_limits<double>::infinity();
    std::erase_if(steps_, [&](const std::pair<int, double>& step) {
      const bool redundant = step.second >= lowest;
      lowest = std::min(lowest, step.second);
      return redundant;
    });
  }

  [[nodiscard]] bool IsHeld(const WaitingRequest& request) const {
    return std::any_of(steps_.begin(), steps_.end(), [&](const auto& step) {
      return step.first <= request.urgency && step.second <= request.cost;
    });
  }

 private:
  // Urgency and cost; costs fall as urgency numbers rise.
  std::vector<std::pair<int, double>> steps_;
};

WaitingRoom::WaitingRoom(const WaitingRoomOptions& options, UsageOf usage_of)
    : options_(options), usage_of_(std::move(usage_of)) {}

Status WaitingRoom::SetOptions(const WaitingRoomOptions& options,
                               Bytes memory_limit_bytes) {
  Status status = ValidateWaitingRoomOptions(options, memory_limit_bytes);
  if (status.ok())
    options_ = options;
  return status;
}

WaitingRoom::ScheduleKey WaitingRoom::KeyOf(const WaitingRequest& request,
                                            std::uint64_t sequence,
                                            double usage,
                                            MonotonicTime now) {
  if (!IsLate(request, now)) {
    return {.tier = ScheduleKey::Tier::kInTime,
            .urgency = request.urgency,
            .not_returning = request.returning ? 0 : 1,
            .usage = usage,
            .time = request.arrived,
            .sequence = sequence};
  }
  const auto pressing_after = std::chrono::duration_cast<Microseconds>(
      kPressingShare * std::chrono::duration<double, std::micro>(
                           request.last_start - request.arrived));
  return {.tier = now - request.arrived >= pressing_after
                      ? ScheduleKey::Tier::kPressing
                      : ScheduleKey::Tier::kLate,
          .time = request.last_start,
          .sequence = sequence};
}

double WaitingRoom::UsageOfAccount(const AccountId& account) const {
  return usage_of_ ? usage_of_(account) : 0;
}

bool WaitingRoom::IsLateStartDue() const {
  return in_time_starts_ + tried_in_time_ >=
         kInTimeStartsPerLateStart * (1 + tried_late_);
}

bool WaitingRoom::MustQueue(const WaitingRequest& request,
                            MonotonicTime now) const {
  if (entries_.empty())
    return false;
  const HeldCosts held_costs(holds_, now);
  Usages usages(*this);
  const bool late = IsLate(request, now);
  const bool late_start_due = IsLateStartDue();
  const ScheduleKey key =
      KeyOf(request, next_sequence_, UsageOfAccount(request.account), now);
  for (const Entry& entry : entries_) {
    const WaitingRequest& other = entry.request;
    // Expire() removes it.
    if (now > other.last_start && !entry.being_tried)
      continue;
    const bool held = held_costs.IsHeld(other);
    const bool no_cheaper = other.cost <= request.cost;
    if (held && no_cheaper && other.urgency <= request.urgency)
      return true;
    const bool may_be_tried = !held && !entry.being_tried;
    if (!may_be_tried && !no_cheaper)
      continue;
    if (late_start_due && may_be_tried && !late && IsLate(other, now))
      return true;
    if (KeyOf(other, entry.sequence, usages.Of(entry.account), now) < key)
      return true;
  }
  return false;
}

double WaitingRoom::CostAhead(const WaitingRequest& request,
                              MonotonicTime now) const {
  Usages usages(*this);
  const ScheduleKey key =
      KeyOf(request, next_sequence_, UsageOfAccount(request.account), now);
  double ahead = 0;
  double late_ahead = 0;
  for (const Entry& entry : entries_) {
    if (KeyOf(entry.request, entry.sequence, usages.Of(entry.account), now) <
        key) {
      ahead += entry.request.cost;
    } else if (IsLate(entry.request, now) &&
               entry.request.last_start <= request.last_start) {
      late_ahead += entry.request.cost;
    }
  }
  // A request that will be late by the time it is its turn is scheduled among
  // the late ones then.
  if (!IsLate(request, now) && now + drain_.TimeFor(ahead) > request.target)
    ahead += late_ahead;
  return ahead;
}

Milliseconds WaitingRoom::RetryAfter(const WaitingRequest& request,
                                     double cost_ahead,
                                     MonotonicTime now) {
  const double elapsed = std::chrono::duration<double>(
                             std::max(now - refused_at_, Microseconds(0)))
                             .count();
  refused_cost_ =
      std::max(0.0, refused_cost_ - elapsed * start_rate()) + request.cost;
  refused_at_ = now;
  const Milliseconds spread =
      std::clamp(RoundedUp(drain_.TimeFor(refused_cost_)), kMinRetrySpread,
                 kMaxRetryAfter - kMinRetryAfter);
  // The earliest retry leaves room for the spread: if all times beyond the
  // maximum were cut to it, the requests refused in a long backlog would be
  // retried together.
  const Milliseconds earliest =
      std::clamp(RoundedUp(drain_.TimeFor(cost_ahead)), kMinRetryAfter,
                 kMaxRetryAfter - spread);
  constexpr std::uint64_t kSteps = 1024;
  const double share =
      static_cast<double>(FastHash(request.id.value()) % kSteps) / kSteps;
  return earliest + Milliseconds(std::llround(
                        share * static_cast<double>(spread.count())));
}

WaitDecision WaitingRoom::Enter(const WaitingRequest& request,
                                MonotonicTime now) {
  Observe(now);
  WaitDecision decision;
  if (index_by_id_.contains(request.id))
    return decision;
  const double ahead = CostAhead(request, now);
  const Microseconds wait = drain_.TimeFor(ahead);
  decision.expected_wait = RoundedUp(wait);
  const Microseconds margin = wait > Microseconds(0)
                                  ? Microseconds(options_.start_margin)
                                  : Microseconds(0);
  if (now + wait + margin > request.last_start) {
    decision.refusal = WaitRefusal::kNoTime;
  } else if (size() >= static_cast<std::size_t>(options_.max_requests) ||
             request.bytes > static_cast<std::size_t>(options_.max_bytes) ||
             bytes_ >
                 static_cast<std::size_t>(options_.max_bytes) - request.bytes) {
    decision.refusal = WaitRefusal::kFull;
  }
  if (decision.refusal != WaitRefusal::kNone) {
    decision.retry_after = RetryAfter(request, ahead, now);
    return decision;
  }
  index_by_id_.emplace(request.id, entries_.size());
  entries_.push_back({.request = request,
                      .account = AddToAccount(request.account),
                      .sequence = next_sequence_++});
  bytes_ += request.bytes;
  cost_ += request.cost;
  Observe(now);
  return decision;
}

std::optional<RequestId> WaitingRoom::Next(MonotonicTime now) {
  Observe(now);
  std::erase_if(holds_, [&](const Hold& hold) { return now >= hold.until; });
  if (tried_in_time_ + tried_late_ >= options_.max_tries)
    return std::nullopt;
  const HeldCosts held_costs(holds_, now);
  Usages usages(*this);
  const bool late_start_due = IsLateStartDue();
  Entry* best = nullptr;
  ScheduleKey best_key;
  bool best_is_late = false;
  for (Entry& entry : entries_) {
    const WaitingRequest& request = entry.request;
    if (entry.being_tried || now > request.last_start)
      continue;
    const bool late = IsLate(request, now);
    // Lateness decides alone between a late and another request.
    const bool decided = best != nullptr && late != best_is_late;
    if (decided && late != late_start_due)
      continue;
    const ScheduleKey key =
        KeyOf(request, entry.sequence, usages.Of(entry.account), now);
    if (best != nullptr && !decided && !(key < best_key))
      continue;
    if (held_costs.IsHeld(request))
      continue;
    best = &entry;
    best_key = key;
    best_is_late = late;
  }
  if (best == nullptr)
    return std::nullopt;
  best->being_tried = true;
  best->tried_late = best_is_late;
  ++(best_is_late ? tried_late_ : tried_in_time_);
  return best->request.id;
}

void WaitingRoom::OnStarted(const RequestId& id, MonotonicTime now) {
  Observe(now);
  bool late = false;
  const auto found = index_by_id_.find(id);
  if (found != index_by_id_.end()) {
    const Entry& entry = entries_[found->second];
    late = entry.being_tried ? entry.tried_late : IsLate(entry.request, now);
    drain_.OnStart(entry.request.cost);
    Remove(found->second);
  }
  if (late) {
    in_time_starts_ = std::max(0, in_time_starts_ - kInTimeStartsPerLateStart);
  } else {
    // While no late request waits, the count doesn't grow: later ones would
    // get all starts for some time.
    in_time_starts_ = std::min(in_time_starts_ + 1,
                               kInTimeStartsPerLateStart * (1 + tried_late_));
  }
  Observe(now);
}

void WaitingRoom::OnNoRoom(const RequestId& id, MonotonicTime now) {
  Observe(now);
  Entry* entry = Find(id);
  if (entry == nullptr)
    return;
  EndTry(*entry);
  const Hold hold{entry->request.urgency, entry->request.cost,
                  now + options_.retry_pause};
  std::erase_if(holds_, [&](const Hold& other) {
    return other.until <= hold.until && other.urgency >= hold.urgency &&
           other.cost >= hold.cost;
  });
  holds_.push_back(hold);
}

bool WaitingRoom::Leave(const RequestId& id) {
  const auto found = index_by_id_.find(id);
  if (found == index_by_id_.end())
    return false;
  Remove(found->second);
  // Without this, the time until the next event would count as time with a
  // backlog and no start.
  Observe(last_observed_);
  return true;
}

std::vector<ExpiredWait> WaitingRoom::Expire(MonotonicTime now) {
  return RefuseIf(
      [&](const Entry& entry) { return now > entry.request.last_start; }, now);
}

std::vector<ExpiredWait> WaitingRoom::RefuseAll(MonotonicTime now) {
  return RefuseIf([](const Entry&) { return true; }, now);
}

std::vector<ExpiredWait> WaitingRoom::RefuseIf(
    const std::function<bool(const Entry&)>& condition,
    MonotonicTime now) {
  Observe(now);
  std::vector<WaitingRequest> refused;
  for (std::size_t i = 0; i < entries_.size();) {
    if (entries_[i].being_tried || !condition(entries_[i])) {
      ++i;
      continue;
    }
    refused.push_back(entries_[i].request);
    Remove(i);
  }
  std::sort(refused.begin(), refused.end(),
            [](const WaitingRequest& a, const WaitingRequest& b) {
              return std::tie(a.last_start, a.id) <
                     std::tie(b.last_start, b.id);
            });
  std::vector<ExpiredWait> result;
  result.reserve(refused.size());
  for (const WaitingRequest& request : refused) {
    // A retry is a new request behind all that still wait.
    result.push_back({request.id, RetryAfter(request, cost_, now)});
  }
  Observe(now);
  return result;
}

std::optional<MonotonicTime> WaitingRoom::NextWakeup() const {
  std::optional<MonotonicTime> next;
  const auto consider = [&](MonotonicTime time) {
    if (!next || time < *next)
      next = time;
  };
  for (const Entry& entry : entries_) {
    if (!entry.being_tried)
      consider(entry.request.last_start + Microseconds(1));
  }
  if (!next)
    return std::nullopt;
  for (const Hold& hold : holds_)
    consider(hold.until);
  return next;
}

std::optional<MonotonicTime> WaitingRoom::oldest_arrival() const {
  std::optional<MonotonicTime> oldest;
  for (const Entry& entry : entries_) {
    if (!oldest || entry.request.arrived < *oldest)
      oldest = entry.request.arrived;
  }
  return oldest;
}

std::vector<WaitingCount> WaitingRoom::CountsByKindAndAccount() const {
  std::map<std::pair<std::string, AccountId>, WaitingCount> counts;
  for (const Entry& entry : entries_) {
    const WaitingRequest& request = entry.request;
    WaitingCount& count = counts[{request.kind, request.account}];
    ++count.requests;
    count.bytes += request.bytes;
    count.cost += request.cost;
  }
  std::vector<WaitingCount> result;
  result.reserve(counts.size());
  for (auto& [key, count] : counts) {
    count.kind = key.first;
    count.account = key.second;
    result.push_back(std::move(count));
  }
  return result;
}

std::size_t WaitingRoom::AddToAccount(const AccountId& account) {
  const auto [found, added] =
      index_by_account_.try_emplace(account, accounts_.size());
  if (added) {
    if (free_accounts_.empty()) {
      accounts_.push_back({account, 0});
    } else {
      found->second = free_accounts_.back();
      free_accounts_.pop_back();
      accounts_[found->second].id = account;
    }
  }
  ++accounts_[found->second].waiting;
  return found->second;
}

WaitingRoom::Entry* WaitingRoom::Find(const RequestId& id) {
  const auto found = index_by_id_.find(id);
  return found == index_by_id_.end() ? nullptr : &entries_[found->second];
}

void WaitingRoom::EndTry(Entry& entry) {
  if (!entry.being_tried)
    return;
  --(entry.tried_late ? tried_late_ : tried_in_time_);
  entry.being_tried = false;
}

void WaitingRoom::Remove(std::size_t index) {
  Entry& entry = entries_[index];
  EndTry(entry);
  bytes_ -= entry.request.bytes;
  cost_ -= entry.request.cost;
  Account& account = accounts_[entry.account];
  if (--account.waiting == 0) {
    index_by_account_.erase(account.id);
    free_accounts_.push_back(entry.account);
  }
  index_by_id_.erase(entry.request.id);
  if (index + 1 != entries_.size()) {
    entry = std::move(entries_.back());
    index_by_id_[entry.request.id] = index;
  }
  entries_.pop_back();
  if (entries_.empty()) {
    // Removes the rounding errors of the sum.
    cost_ = 0;
  }
}

void WaitingRoom::Observe(MonotonicTime now) {
  last_observed_ = std::max(last_observed_, now);
  drain_.Observe(!entries_.empty(), last_observed_);
}

}  // namespace carobshift
