#include "carobshift/once/free_key_claims.h"

#include <algorithm>
#include <utility>

namespace carobshift {
namespace {

Refusal Unknown(ResultCode code, std::string message) {
  return {code, RunState::kOutcomeUnknown, std::move(message)};
}

}  // namespace

FreeKeyClaims::FreeKeyClaims(FreeKeyOptions options)
    : options_(std::move(options)),
      append_interval_(options_.min_append_interval) {}

ClaimStep FreeKeyClaims::Begin(const FreeKeyRequest& request,
                               MonotonicTime now,
                               WallTime wall_now) {
  RemoveExpired(wall_now);
  if (std::optional<Refusal> refusal = RefuseByAge(request.created, wall_now))
    return *std::move(refusal);
  const auto in_effect = keys_.find(request.key);
  if (in_effect != keys_.end() && !in_effect->second.release_queued)
    return StepFor(in_effect->second, request.fingerprint, request.created);
  if (std::optional<Refusal> refusal = RefusePending(request))
    return *std::move(refusal);
  if (now >= request.deadline)
    return Unknown(ResultCode::kDeadlineExceeded, "the deadline has passed");
  Pending& pending = PendingFor(request);
  const ClaimTicket ticket(next_ticket_++);
  pending.waiters.push_back({ticket, request.deadline});
  ++waiting_;
  return AwaitClaim{ticket};
}

std::optional<Refusal> FreeKeyClaims::RefuseByAge(WallTime created,
                                                  WallTime wall_now) const {
  if (options_.mutation == AtMostOnceMutation::kNoKeyAge)
    return std::nullopt;
  const WallTime now = std::max(wall_now, latest_wall_time_);
  if (now >= created + options_.window)
    return Unknown(ResultCode::kIdempotencyKeyExpired,
                   "the idempotency key is too old; its claim may be gone");
  if (created > now + options_.clock_difference)
    return Unknown(ResultCode::kInvalidIdempotencyKey,
                   "the idempotency key's time lies in the future");
  if (now < claims_dropped_until_)
    return Unknown(ResultCode::kOverloaded,
                   "too many free idempotency keys are in use");
  return std::nullopt;
}

std::optional<Refusal> FreeKeyClaims::RefusePending(
    const FreeKeyRequest& request) const {
  const auto pending = pending_.find(request.key);
  if (pending != pending_.end() &&
      (pending->second.fingerprint != request.fingerprint ||
       pending->second.created != request.created))
    return Refusal{ResultCode::kKeyReusedForOtherRequest, RunState::kNotRun,
                   "this idempotency key belongs to another request"};
  const bool full =
      waiting_ >= options_.max_waiting ||
      (pending == pending_.end() && pending_.size() >= options_.max_waiting);
  if (full)
    return Unknown(ResultCode::kOverloaded,
                   "too many requests wait for their idempotency key");
  return std::nullopt;
}

FreeKeyClaims::Pending& FreeKeyClaims::PendingFor(
    const FreeKeyRequest& request) {
  const auto [it, is_new] = pending_.try_emplace(request.key);
  Pending& pending = it->second;
  if (!is_new)
    return pending;
  pending.number = next_number_++;
  pending.fingerprint = request.fingerprint;
  pending.created = request.created;
  queued_claims_.push_back({.number = pending.number,
                            .key = request.key,
                            .fingerprint = request.fingerprint,
                            .created = request.created});
  return pending;
}

ClaimStep FreeKeyClaims::StepFor(const ClaimInEffect& in_effect,
                                 RequestFingerprint fingerprint,
                                 WallTime created) const {
  if (in_effect.fingerprint != fingerprint || in_effect.created != created)
    return Refusal{ResultCode::kKeyReusedForOtherRequest, RunState::kNotRun,
                   "this idempotency key belongs to another request"};
  if (!IsMine(in_effect.claim))
    return AskOwner{in_effect.claim.entry, in_effect.claim.incarnation};
  if (in_effect.release_queued)
    return Refusal{ResultCode::kLogUnavailable, RunState::kNotRun,
                   "the idempotency key is being released; send it again"};
  return RunHere{};
}

std::optional<std::string> FreeKeyClaims::TakeAppend(MonotonicTime now) {
  const bool nothing = queued_claims_.empty() && queued_releases_.empty();
  if (in_flight_ || nothing || now < next_append_)
    return std::nullopt;
  ClaimBatch batch{options_.entry, options_.incarnation, {}, {}};
  const auto has_room = [&batch] {
    return batch.releases.size() + batch.claims.size() < kMaxClaimBatch;
  };
  for (; !queued_releases_.empty() && has_room(); queued_releases_.pop_front())
    batch.releases.push_back(queued_releases_.front());
  for (; !queued_claims_.empty() && has_room(); queued_claims_.pop_front())
    batch.claims.push_back(queued_claims_.front());
  next_append_ = now + append_interval_;
  std::string payload = EncodeClaimBatch(batch);
  in_flight_ = std::move(batch);
  return payload;
}

void FreeKeyClaims::SetLiveEntries(int live_entries) {
  const Milliseconds share = std::max(1, live_entries) *
                             Milliseconds(Seconds(1)) /
                             options_.log_appends_per_second;
  append_interval_ = std::max(options_.min_append_interval, share);
}

std::vector<ClaimCompletion> FreeKeyClaims::OnAppendReply(
    const Result<LogOffset>& reply) {
  Actions actions;
  if (!in_flight_)
    return actions;
  const ClaimBatch batch = *std::exchange(in_flight_, std::nullopt);
  if (!reply.ok()) {
    // A duplicate release on the log does no harm; a missing one would block
    // its key.
    queued_releases_.insert(queued_releases_.begin(), batch.releases.begin(),
                            batch.releases.end());
  }
  const bool surely_missing =
      !reply.ok() && reply.error().code == ResultCode::kLogUnavailable;
  const bool trust_reply =
      options_.mutation == AtMostOnceMutation::kNoReadBack && reply.ok();
  for (const Claim& claim : batch.claims) {
    if (trust_reply)
      CompleteWaiters(claim.key, RunHere{}, actions);
    if (!surely_missing)
      continue;
    Refusal refusal = Unknown(ResultCode::kLogUnavailable,
                              "the log is down, so nobody can tell whether "
                              "another entry has run the request");
    if (options_.mutation == AtMostOnceMutation::kNotRunWhileLogDown)
      refusal.state = RunState::kNotRun;
    CompleteWaiters(claim.key, refusal, actions);
    pending_.erase(claim.key);
  }
  return actions;
}

std::vector<ClaimCompletion> FreeKeyClaims::OnBatch(const LogBatch& batch,
                                                    MonotonicTime now,
                                                    WallTime wall_now) {
  Actions actions;
  RemoveExpired(wall_now);
  for (const LogRecord& record : batch.records) {
    // A late or repeated reply may contain records that were read before.
    if (record.offset < next_)
      continue;
    next_ = LogOffset(record.offset.value() + 1);
    // No entry can decode a malformed record, so all entries skip it alike.
    const Result<ClaimBatch> claims = DecodeClaimBatch(record.payload);
    if (!claims.ok())
      continue;
    const ClaimBatch& read = claims.value();
    for (const ClaimRelease& release : read.releases)
      OnRelease({read.entry, read.incarnation, release.number}, release);
    for (const Claim& claim : read.claims)
      OnClaim({read.entry, read.incarnation, claim.number}, claim, actions);
  }
  next_ = std::max(next_, batch.first_retained);
  Actions late = ExpireWaiters(now);
  actions.insert(actions.end(), late.begin(), late.end());
  return actions;
}

void FreeKeyClaims::OnClaim(const ClaimId& id,
                            const Claim& claim,
                            Actions& actions) {
  ClaimStep step;
  bool takes_effect = false;
  if (std::optional<Refusal> refusal = RefuseClaim(claim)) {
    step = *std::move(refusal);
  } else {
    takes_effect = RecordIfFirst(id, claim);
    step = StepFor(keys_.at(claim.key), claim.fingerprint, claim.created);
  }
  bool wanted = false;
  const auto pending = pending_.find(claim.key);
  if (IsMine(id) && pending != pending_.end() &&
      pending->second.number == id.number) {
    wanted = !pending->second.waiters.empty();
    CompleteWaiters(claim.key, step, actions);
    pending_.erase(claim.key);
  }
  if (takes_effect && IsMine(id) && !wanted)
    QueueRelease(claim.key, keys_.at(claim.key));
}

std::optional<Refusal> FreeKeyClaims::RefuseClaim(const Claim& claim) {
  // An earlier claim of a key this old may have been removed already. Accepting
  // this one as the first would run the key a second time.
  if (RetentionEnd(claim.created) <= latest_wall_time_ &&
      options_.mutation != AtMostOnceMutation::kNoKeyAge)
    return Unknown(ResultCode::kIdempotencyKeyExpired,
                   "the claim came too late to count");
  if (keys_.size() < options_.max_keys || keys_.contains(claim.key))
    return std::nullopt;
  claims_dropped_until_ =
      std::max(claims_dropped_until_, RetentionEnd(claim.created));
  return Unknown(ResultCode::kOverloaded,
                 "too many free idempotency keys are in use");
}

bool FreeKeyClaims::RecordIfFirst(const ClaimId& id, const Claim& claim) {
  const ClaimInEffect in_effect{.claim = id,
                                .fingerprint = claim.fingerprint,
                                .created = claim.created,
                                .release_queued = false};
  const auto [it, is_first] = keys_.emplace(claim.key, in_effect);
  if (is_first)
    by_created_.emplace(claim.created, claim.key);
  if (options_.mutation == AtMostOnceMutation::kLastClaimWins)
    it->second = in_effect;
  return is_first;
}

void FreeKeyClaims::OnRelease(const ClaimId& id, const ClaimRelease& release) {
  const auto it = keys_.find(release.key);
  if (it == keys_.end() || it->second.claim != id)
    return;
  const auto [first, last] = by_created_.equal_range(it->second.created);
  const auto at = std::find_if(first, last, [&](const auto& entry) {
    return entry.second == release.key;
  });
  if (at != last)
    by_created_.erase(at);
  keys_.erase(it);
}

void FreeKeyClaims::CompleteWaiters(const AccountKey& key,
                                    const ClaimStep& step,
                                    Actions& actions) {
  const auto it = pending_.find(key);
  if (it == pending_.end())
    return;
  for (const Pending::Waiter& waiter : it->second.waiters)
    actions.push_back({waiter.ticket, step});
  waiting_ -= it->second.waiters.size();
  it->second.waiters.clear();
}

std::vector<ClaimCompletion> FreeKeyClaims::ExpireWaiters(MonotonicTime now) {
  Actions actions;
  for (auto& [key, pending] : pending_) {
    std::erase_if(pending.waiters, [&](const Pending::Waiter& waiter) {
      if (now < waiter.deadline)
        return false;
      actions.push_back(
          {waiter.ticket, Unknown(ResultCode::kDeadlineExceeded,
                                  "the claim was not settled in time")});
      --waiting_;
      return true;
    });
  }
  std::erase_if(pending_, [&](const auto& entry) {
    return entry.second.waiters.empty() &&
           RetentionEnd(entry.second.created) <= latest_wall_time_;
  });
  return actions;
}

void FreeKeyClaims::Release(const AccountKey& key) {
  const auto it = keys_.find(key);
  if (it != keys_.end() && IsMine(it->second.claim) &&
      !it->second.release_queued)
    QueueRelease(key, it->second);
}

void FreeKeyClaims::QueueRelease(const AccountKey& key,
                                 ClaimInEffect& in_effect) {
  if (options_.mutation == AtMostOnceMutation::kNoReleaseOfAbandoned)
    return;
  in_effect.release_queued = true;
  queued_releases_.push_back({.number = in_effect.claim.number, .key = key});
}

bool FreeKeyClaims::IsMine(const ClaimId& id) const {
  return id.entry == options_.entry && id.incarnation == options_.incarnation;
}

WallTime FreeKeyClaims::RetentionEnd(WallTime created) const {
  return created + options_.window + 2 * options_.clock_difference;
}

Milliseconds FreeKeyClaims::RunRetention(WallTime created,
                                         WallTime wall_now) const {
  return std::max(Milliseconds(0), RetentionEnd(created) - wall_now) +
         2 * options_.clock_difference;
}

void FreeKeyClaims::RemoveExpired(WallTime wall_now) {
  latest_wall_time_ = std::max(latest_wall_time_, wall_now);
  while (!by_created_.empty() &&
         RetentionEnd(by_created_.begin()->first) <= latest_wall_time_) {
    keys_.erase(by_created_.begin()->second);
    by_created_.erase(by_created_.begin());
  }
}

}  // namespace carobshift
