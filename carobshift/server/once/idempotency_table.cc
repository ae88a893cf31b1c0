#include "carobshift/server/once/idempotency_table.h"

#include <utility>

namespace carobshift {
namespace {

BoundKeyGuardOptions GuardOptions(const IdempotencyTableOptions& options) {
  BoundKeyGuardOptions guard;
  guard.entry = options.entry;
  guard.incarnation = options.incarnation;
  guard.replay_window = options.replay_window;
  return guard;
}

FreeKeyOptions ClaimOptions(const IdempotencyTableOptions& options) {
  FreeKeyOptions claims;
  claims.entry = options.entry;
  claims.incarnation = options.incarnation;
  return claims;
}

KeyDecision ToKeyDecision(RunDecision decision) {
  return std::visit([](auto& typed) { return KeyDecision(std::move(typed)); },
                    decision);
}

}  // namespace

IdempotencyTable::IdempotencyTable(const IdempotencyTableOptions& options)
    : guard_(GuardOptions(options)),
      free_runs_(RunTableLimits{}),
      claims_(ClaimOptions(options)) {}

KeyDecision IdempotencyTable::Begin(const KeyedRequest& request) {
  std::unique_lock lock(mutex_);
  ++begun_;
  KeyDecision decision =
      request.bound ? ToKeyDecision(guard_.Begin(
                          *request.bound, request.account, request.fingerprint,
                          request.deadline, MonotonicNow()))
                    : BeginFree(request, lock);
  if (std::holds_alternative<Replay>(decision))
    ++replayed_;
  return decision;
}

KeyDecision IdempotencyTable::BeginFree(const KeyedRequest& request,
                                        std::unique_lock<std::mutex>& lock) {
  const ClaimStep step = claims_.Begin({.key = AccountKeyOf(request),
                                        .fingerprint = request.fingerprint,
                                        .created = request.created,
                                        .deadline = request.deadline},
                                       MonotonicNow(), WallNow());
  const auto* await = std::get_if<AwaitClaim>(&step);
  if (await == nullptr)
    return BeginClaimed(request, step);
  changed_.notify_all();
  const ClaimTicket ticket = await->ticket;
  // FreeKeyClaims ends every wait at its deadline, as long as ExpireWaiters is
  // called.
  changed_.wait(lock, [&] { return settled_.contains(ticket); });
  const ClaimStep settled = settled_.extract(ticket).mapped();
  return BeginClaimed(request, settled);
}

// The mutex must be held from the claim step to this call. Otherwise the claim
// could be released in between, and the request would run both here and at
// another entry.
KeyDecision IdempotencyTable::BeginClaimed(const KeyedRequest& request,
                                           const ClaimStep& step) {
  if (const auto* owner = std::get_if<AskOwner>(&step))
    return *owner;
  if (const auto* refusal = std::get_if<Refusal>(&step))
    return *refusal;
  const MonotonicTime now = MonotonicNow();
  return ToKeyDecision(free_runs_.Begin(
      AccountKeyOf(request), request.fingerprint, request.deadline,
      now + claims_.RunRetention(request.created, WallNow()), now));
}

std::optional<Refusal> IdempotencyTable::StartDispatch(
    const KeyedRequest& request,
    MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  return request.bound ? guard_.StartDispatch(*request.bound, now)
                       : free_runs_.StartDispatch(AccountKeyOf(request), now);
}

void IdempotencyTable::Finish(const KeyedRequest& request, FinalAnswer answer) {
  const std::lock_guard lock(mutex_);
  const bool release_claim = answer.state == RunState::kNotRun;
  if (request.bound)
    guard_.Finish(*request.bound, std::move(answer));
  else
    free_runs_.Finish(AccountKeyOf(request), std::move(answer));
  if (release_claim && !request.bound)
    claims_.Release(AccountKeyOf(request));
  changed_.notify_all();
}

bool IdempotencyTable::AwaitEnd(const KeyedRequest& request) {
  std::unique_lock lock(mutex_);
  return changed_.wait_until(lock, request.deadline,
                             [&] { return !InProgress(request); });
}

bool IdempotencyTable::InProgress(const KeyedRequest& request) const {
  const RunTable& table = request.bound ? guard_.table() : free_runs_;
  const auto known = table.Find(AccountKeyOf(request));
  return known && !known->answer;
}

KeyDecision IdempotencyTable::Outcome(const KeyedRequest& request,
                                      MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  if (request.bound)
    return ToKeyDecision(guard_.Outcome(*request.bound, request.account, now));
  const auto known = free_runs_.Find(AccountKeyOf(request));
  if (known && known->answer)
    return Replay{*known->answer};
  if (known)
    return Attach{};
  return Refusal{ResultCode::kUnknownOutcome, RunState::kOutcomeUnknown,
                 "this entry knows nothing of the idempotency key"};
}

void IdempotencyTable::SetLiveEntries(int live_entries) {
  const std::lock_guard lock(mutex_);
  claims_.SetLiveEntries(live_entries);
}

std::optional<std::string> IdempotencyTable::AwaitAppend(Milliseconds wait) {
  std::unique_lock lock(mutex_);
  std::optional<std::string> payload = claims_.TakeAppend(MonotonicNow());
  if (payload)
    return payload;
  changed_.wait_for(lock, wait);
  return claims_.TakeAppend(MonotonicNow());
}

void IdempotencyTable::OnAppendReply(const Result<LogOffset>& reply) {
  const std::lock_guard lock(mutex_);
  Deliver(claims_.OnAppendReply(reply));
}

LogOffset IdempotencyTable::next_claim() const {
  const std::lock_guard lock(mutex_);
  return claims_.next();
}

void IdempotencyTable::OnClaims(const LogBatch& batch,
                                MonotonicTime now,
                                WallTime wall_now) {
  const std::lock_guard lock(mutex_);
  Deliver(claims_.OnBatch(batch, now, wall_now));
}

void IdempotencyTable::ExpireWaiters(MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  Deliver(claims_.ExpireWaiters(now));
}

void IdempotencyTable::Deliver(const std::vector<ClaimCompletion>& actions) {
  for (const ClaimCompletion& action : actions)
    settled_.emplace(action.ticket, action.step);
  if (!actions.empty())
    changed_.notify_all();
}

AccountKey IdempotencyTable::AccountKeyOf(const KeyedRequest& request) const {
  return {request.account,
          request.bound ? request.bound->text : request.free_key};
}

nlohmann::json IdempotencyTable::DumpState() const {
  const std::lock_guard lock(mutex_);
  return {{"bound_keys", guard_.table().size()},
          {"free_keys", free_runs_.size()},
          {"claims", claims_.size()},
          {"next_claim", claims_.next().value()},
          {"begun", begun_},
          {"replayed", replayed_}};
}

}  // namespace carobshift
