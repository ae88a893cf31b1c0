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
  if (options.in_time_starts_per_late_start <= 0) {
    return InvalidOption(
        "waiting room: in_time_starts_per_late_start must be positive");
  }
  if (options.max_tries <= 0)
    return InvalidOption("waiting room: max_tries must be positive");
  return {};
}

// The position of a request in the schedule, see Usages::IsBefore().
struct WaitingRoom::ScheduleKey {
  enum class Tier { kInTime, kPressing, kLate };

  Tier tier = Tier::kInTime;
  // 0 for late requests.
  int urgency = 0;
  int not_returning = 0;
  // Arrival if in time, otherwise the latest start.
  MonotonicTime time{};
  std::uint64_t sequence = 0;
  // Index in `accounts_`, or kNewAccount.
  std::size_t account = 0;
};

// Compares requests in one decision. Usages are looked up only where they
// decide, and at most once for each account: a lookup takes longer than the
// rest of a comparison.
class WaitingRoom::Usages {
 public:
  static constexpr std::size_t kNewAccount =
      std::numeric_limits<std::size_t>::max();

  // `newcomer` is null if only waiting requests are compared.
  Usages(const WaitingRoom& room, const AccountId* newcomer)
      : room_(room), newcomer_(newcomer), usages_(room.accounts_.size()) {}

  // Returns whether `a` is scheduled before `b`.
  [[nodiscard]] bool IsBefore(const ScheduleKey& a, const ScheduleKey& b) {
    const auto class_of = [](const ScheduleKey& key) {
      return std::tie(key.tier, key.urgency, key.not_returning);
    };
    if (class_of(a) != class_of(b))
      return class_of(a) < class_of(b);
    if (a.tier == ScheduleKey::Tier::kInTime && a.account != b.account) {
      const double usage_a = Of(a.account);
      const double usage_b = Of(b.account);
      if (usage_a != usage_b)
        return usage_a < usage_b;
    }
    return std::tie(a.time, a.sequence) < std::tie(b.time, b.sequence);
  }

 private:
  [[nodiscard]] double Of(std::size_t account) {
    if (!room_.usage_of_)
      return 0;
    std::optional<double>& usage =
        account == kNewAccount ? newcomer_usage_ : usages_[account];
    if (!usage) {
      usage = room_.usage_of_(
          account == kNewAccount ? *newcomer_ : room_.accounts_[account].id);
    }
    return *usage;
  }

  const WaitingRoom& room_;
  const AccountId* newcomer_;
  std::vector<std::optional<double>> usages_;
  std::optional<double> newcomer_usage_;
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

WaitingRoom::ScheduleKey WaitingRoom::KeyOf(const Entry& entry,
                                            MonotonicTime now) {
  const WaitingRequest& request = entry.request;
  if (!IsLate(request, now)) {
    return {.tier = ScheduleKey::Tier::kInTime,
            .urgency = request.urgency,
            .not_returning = request.returning ? 0 : 1,
            .time = request.arrived,
            .sequence = entry.sequence,
            .account = entry.account};
  }
  const auto pressing_after = std::chrono::duration_cast<Microseconds>(
      kPressingShare * std::chrono::duration<double, std::micro>(
                           request.last_start - request.arrived));
  return {.tier = now - request.arrived >= pressing_after
                      ? ScheduleKey::Tier::kPressing
                      : ScheduleKey::Tier::kLate,
          .time = request.last_start,
          .sequence = entry.sequence,
          .account = entry.account};
}

WaitingRoom::ScheduleKey WaitingRoom::NewcomerKey(const WaitingRequest& request,
                                                  MonotonicTime now) const {
  const auto found = index_by_account_.find(request.account);
  return KeyOf(
      {.request = request,
       .account = found == index_by_account_.end() ? Usages::kNewAccount
                                                   : found->second,
       .sequence = next_sequence_},
      now);
}

bool WaitingRoom::IsLateStartDue() const {
  return in_time_starts_ + tried_in_time_ >=
         options_.in_time_starts_per_late_start * (1 + tried_late_);
}

bool WaitingRoom::MustQueue(const WaitingRequest& request,
                            MonotonicTime now) const {
  if (entries_.empty())
    return false;
  const HeldCosts held_costs(holds_, now);
  Usages usages(*this, &request.account);
  const bool late = IsLate(request, now);
  const bool late_start_due = IsLateStartDue();
  const ScheduleKey key = NewcomerKey(request, now);
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
    if (usages.IsBefore(KeyOf(entry, now), key))
      return true;
  }
  return false;
}

Microseconds WaitingRoom::ExpectedWait(const WaitingRequest& request,
                                       MonotonicTime now) const {
  Usages usages(*this, &request.account);
  const ScheduleKey key = NewcomerKey(request, now);
  const bool late = IsLate(request, now);
  double ahead = 0;
  double late_ahead = 0;
  for (const Entry& entry : entries_) {
    if (IsLate(entry.request, now)) {
      if (entry.request.last_start <= request.last_start)
        late_ahead += entry.request.cost;
    } else if (late || usages.IsBefore(KeyOf(entry, now), key)) {
      ahead += entry.request.cost;
    }
  }
  const double rate = start_rate();
  if (rate == 0)
    return Microseconds(0);
  const Microseconds until_late =
      std::max(request.target - now, Microseconds(0));
  // While late requests wait, they get at least their share of the starts, and
  // leave as much to those in time.
  double late_share = 1;
  double in_time_share = 1;
  if (late_waiting_) {
    const double min_share = 1.0 / (1 + options_.in_time_starts_per_late_start);
    late_share =
        std::clamp(late_drain_.rate() / rate, min_share, 1 - min_share);
    in_time_share = 1 - late_share;
  }
  const Microseconds in_time_wait = drain_.TimeFor(ahead / in_time_share);
  if (!late && in_time_wait <= until_late)
    return in_time_wait;
  // The requests ahead that aren't started until then are late themselves.
  const double started_until_late =
      rate * std::chrono::duration<double>(until_late).count();
  const double rest = std::max(0.0, ahead + late_ahead - started_until_late);
  return until_late + drain_.TimeFor(rest / late_share);
}

Milliseconds WaitingRoom::RetryAfter(const WaitingRequest& request,
                                     Microseconds wait,
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
      std::clamp(RoundedUp(wait), kMinRetryAfter, kMaxRetryAfter - spread);
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
  const Microseconds wait = ExpectedWait(request, now);
  decision.expected_wait = RoundedUp(wait);
  const Microseconds margin =
      wait > Microseconds(0)
          ? std::max<Microseconds>(options_.start_margin, wait / kWaitPerMargin)
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
    decision.retry_after = RetryAfter(request, wait, now);
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
  Usages usages(*this, nullptr);
  const bool late_start_due = IsLateStartDue();
  Entry* best = nullptr;
  ScheduleKey best_key;
  bool best_is_late = false;
  late_waiting_ = false;
  for (Entry& entry : entries_) {
    const WaitingRequest& request = entry.request;
    const bool late = IsLate(request, now);
    late_waiting_ = late_waiting_ || late;
    if (entry.being_tried || now > request.last_start)
      continue;
    // Lateness decides alone between a late and another request.
    const bool decided = best != nullptr && late != best_is_late;
    if (decided && late != late_start_due)
      continue;
    const ScheduleKey key = KeyOf(entry, now);
    if (best != nullptr && !decided && !usages.IsBefore(key, best_key))
      continue;
    if (held_costs.IsHeld(request))
      continue;
    best = &entry;
    best_key = key;
    best_is_late = late;
  }
  late_drain_.Observe(late_waiting_, last_observed_);
  if (best == nullptr)
    return std::nullopt;
  best->being_tried = true;
  best->tried_late = best_is_late;
  ++(best_is_late ? tried_late_ : tried_in_time_);
  return best->request.id;
}

void WaitingRoom::OnStarted(const RequestId& id, MonotonicTime now) {
  Observe(now);
  const auto found = index_by_id_.find(id);
  if (found == index_by_id_.end())
    return;
  const Entry& entry = entries_[found->second];
  const bool late =
      entry.being_tried ? entry.tried_late : IsLate(entry.request, now);
  drain_.OnStart(entry.request.cost);
  if (late)
    late_drain_.OnStart(entry.request.cost);
  Remove(found->second);
  const int per_late_start = options_.in_time_starts_per_late_start;
  if (late) {
    in_time_starts_ = std::max(0, in_time_starts_ - per_late_start);
  } else {
    // While no late request waits, the count doesn't grow: later ones would
    // get all starts for some time.
    in_time_starts_ =
        std::min(in_time_starts_ + 1, per_late_start * (1 + tried_late_));
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
    result.push_back(
        {request.id, RetryAfter(request, drain_.TimeFor(cost_), now)});
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
  late_waiting_ = late_waiting_ && !entries_.empty();
  late_drain_.Observe(late_waiting_, last_observed_);
}

}  // namespace carobshift
