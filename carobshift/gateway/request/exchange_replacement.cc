// The replacement of an attempt of an exchange; see exchange.h.

#include <utility>

#include "carobshift/gateway/request/exchange.h"

namespace carobshift {

bool Exchange::MayReplace() const {
  const bool whole_answer_begun = head_sent_ && !setup_.route->streaming;
  // An attempt without a reply may be running already.
  const int runs = runs_ + (state_ == State::kSent ? 1 : 0);
  return setup_.route->MayRunAgain() && !whole_answer_begun &&
         attempts_ < kMaxAttempts && runs < setup_.route->max_attempts;
}

void Exchange::SeekReplacement(CallFault reason, MonotonicTime now) {
  if (replacement_ || !MayReplace() || !backoff_.MayTry(now))
    return;
  StartedAttempt started;
  if (StartAttempt(/*replacement=*/true, now, &started) !=
      AttemptError::kNone) {
    backoff_.OnFailure(now);
    return;
  }
  ++summary_.replacements;
  replacement_ = Replacement{.attempt = std::move(started), .reason = reason};
}

bool Exchange::TakeReplacement() {
  if (!replacement_)
    return false;
  const Replacement next = *std::exchange(replacement_, std::nullopt);
  if (next.answered) {
    attempt_runner_.DropAttempt(*this, next.attempt.number);
    return false;
  }
  DiscardPartialAnswer();
  SetCurrent(next.attempt);
  return true;
}

void Exchange::PromoteReplacement() {
  const bool sent = attempt_runner_.DropAttempt(*this, *current_);
  if (sent && state_ == State::kSent)
    ++runs_;
  attempt_runner_.OnAttemptFailure(*this, *current_,
                                   {replacement_->reason, sent, false});
  static_cast<void>(TakeReplacement());
}

void Exchange::CancelReplacement() {
  if (!replacement_)
    return;
  const Replacement dropped = *std::exchange(replacement_, std::nullopt);
  const bool sent = attempt_runner_.DropAttempt(*this, dropped.attempt.number);
  if (!sent)
    ++unrun_replacements_;
  else if (!dropped.answered)
    // Its endpoint may have started the request just now.
    ++runs_;
}

void Exchange::OnReplacementOver(MonotonicTime now) {
  replacement_.reset();
  backoff_.OnFailure(now);
}

void Exchange::OnEndpointSilent(MonotonicTime now) {
  // A slow caller's endpoint isn't read, so that nothing is known of it.
  if (!current_ || caller_slow_)
    return;
  current_silent_ = true;
  SeekReplacement(CallFault::kSilent, now);
}

void Exchange::OnStartBoundNear(AttemptNumber attempt, MonotonicTime now) {
  if (current_ == attempt && waiting())
    SeekReplacement(CallFault::kWithdrawn, now);
}

void Exchange::OnTooLateToBegin(AttemptNumber attempt, MonotonicTime now) {
  if (!IsWaiting(attempt))
    return;
  // An endpoint that received the request may have started it just now, so the
  // attempt counts as a run.
  const bool sent = attempt_runner_.DropAttempt(*this, attempt);
  OnAttemptFailed(attempt, {CallFault::kWithdrawn, sent, false}, now);
}

}  // namespace carobshift
