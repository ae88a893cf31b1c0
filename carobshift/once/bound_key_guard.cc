#include "carobshift/once/bound_key_guard.h"

#include <utility>

namespace carobshift {
namespace {

AccountKey TableKey(const BoundKey& key) {
  return {key.account, key.text};
}

}  // namespace

BoundKeyGuard::BoundKeyGuard(BoundKeyGuardOptions options)
    : options_(std::move(options)),
      table_(options_.limits, options_.mutation) {}

RunDecision BoundKeyGuard::Begin(const BoundKey& key,
                                 const AccountId& account,
                                 RequestFingerprint fingerprint,
                                 MonotonicTime deadline,
                                 MonotonicTime now) {
  if (std::optional<Refusal> refusal = RefuseIfNotIssuer(key, account))
    return *std::move(refusal);
  table_.Sweep(now);
  if (!table_.Find(TableKey(key))) {
    if (std::optional<Refusal> refusal = RefuseIfExpired(key, now))
      return *std::move(refusal);
  }
  const Milliseconds window =
      options_.mutation == AtMostOnceMutation::kForgetAtExpiry
          ? Milliseconds(0)
          : options_.replay_window;
  return table_.Begin(TableKey(key), fingerprint, deadline, key.expiry + window,
                      now);
}

std::optional<Refusal> BoundKeyGuard::RefuseIfNotIssuer(
    const BoundKey& key,
    const AccountId& account) const {
  if (key.account != account)
    return Refusal{ResultCode::kInvalidIdempotencyKey, RunState::kNotRun,
                   "the idempotency key was issued to another client account"};
  const bool mine =
      key.entry == options_.entry && key.incarnation == options_.incarnation;
  if (mine || options_.mutation == AtMostOnceMutation::kNoIncarnationCheck)
    return std::nullopt;
  return Refusal{ResultCode::kHomeUnreachable, RunState::kOutcomeUnknown,
                 "the entry that issued the idempotency key is gone"};
}

std::optional<Refusal> BoundKeyGuard::RefuseIfExpired(const BoundKey& key,
                                                      MonotonicTime now) const {
  if (now < key.expiry)
    return std::nullopt;
  if (now < key.expiry + options_.replay_window)
    return Refusal{ResultCode::kIdempotencyKeyExpired, RunState::kNotRun,
                   "the idempotency key expired before it was first used"};
  return Refusal{ResultCode::kIdempotencyKeyExpired, RunState::kOutcomeUnknown,
                 "the idempotency key expired; its outcome is not kept"};
}

std::optional<Refusal> BoundKeyGuard::StartDispatch(const BoundKey& key,
                                                    MonotonicTime now) {
  return table_.StartDispatch(TableKey(key), now);
}

bool BoundKeyGuard::Release(const BoundKey& key) {
  return table_.Release(TableKey(key));
}

void BoundKeyGuard::Finish(const BoundKey& key, FinalAnswer answer) {
  table_.Finish(TableKey(key), std::move(answer));
}

RunDecision BoundKeyGuard::Outcome(const BoundKey& key,
                                   const AccountId& account,
                                   MonotonicTime now) {
  if (std::optional<Refusal> refusal = RefuseIfNotIssuer(key, account))
    return *std::move(refusal);
  table_.Sweep(now);
  const std::optional<RunTable::Known> known = table_.Find(TableKey(key));
  if (known && known->answer)
    return Replay{*known->answer};
  if (known)
    return Attach{};
  if (std::optional<Refusal> refusal = RefuseIfExpired(key, now))
    return *std::move(refusal);
  return Refusal{ResultCode::kUnknownOutcome, RunState::kOutcomeUnknown,
                 "no request with this idempotency key has come yet"};
}

}  // namespace carobshift
