// The part of Exchange that ends it: failures, refusals and the fields that a
// caller gets.

#include <utility>

#include "carobshift/gateway/handoff/handoff_codec.h"
#include "carobshift/gateway/request/exchange.h"
#include "carobshift/gateway/request/failure_reply.h"

namespace carobshift {
namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

}  // namespace

void Exchange::OnReplyTooLong(AttemptNumber attempt, MonotonicTime now) {
  attempt_runner_.DropAttempt(*this, attempt);
  OnAttemptFailed(attempt, {CallFault::kMalformed, true, false}, now);
}

void Exchange::Fail(ResultCode code, MonotonicTime) {
  summary_.code = code;
  if (head_sent_) {
    reply_.Abort();
    Finish();
    return;
  }
  if (!may_have_run_) {
    Refuse(code, attempt_runner_.RetryAfter(*this));
    return;
  }
  const int status =
      code == ResultCode::kDeadlineExceeded ? kGatewayTimeout : kBadGateway;
  SendFailure(status, code, RunState::kOutcomeUnknown, std::nullopt);
}

void Exchange::Refuse(ResultCode code, Milliseconds retry_after) {
  summary_.code = code;
  SendFailure(kUnavailable, code, RunState::kNotRun, retry_after);
}

void Exchange::SendFailure(int status,
                           ResultCode code,
                           RunState run_state,
                           std::optional<Milliseconds> retry_after) {
  // An attempt in progress must end before the answer says that the request
  // never ran.
  DropAll();
  summary_.status = status;
  HttpHead head = FailureHead(status, retry_after);
  if (setup_.request.handed_over) {
    SetHandoffState(run_state == RunState::kNotRun
                        ? HandoffState::kNotRun
                        : HandoffState::kOutcomeUnknown,
                    head);
  }
  reply_.SendWhole(std::move(head), FailureBody(code, RunStateName(run_state)));
  Finish();
}

void Exchange::DropAll() {
  if (current_)
    attempt_runner_.DropAttempt(*this, *current_);
  if (replacement_)
    attempt_runner_.DropAttempt(*this, replacement_->attempt.number);
  current_.reset();
  replacement_.reset();
}

void Exchange::Finish() {
  DropAll();
  state_ = State::kOver;
  attempt_runner_.OnExchangeEnd(*this);
}

// Returns the endpoint's head unchanged, without the header fields of its own
// connection and the framing, and without those of a handoff.
HttpHead Exchange::CallerHead(const HttpHead& head) const {
  const ConnectionFields connection_fields(head);
  HttpHead out;
  out.status = head.status;
  out.reason = head.reason;
  for (const HttpField& field : head.fields) {
    if (!connection_fields.Contains(field.name))
      out.fields.push_back(field);
  }
  out.Remove(kHandoffStateField);
  out.Remove(kStreamSoftwareField);
  if (!setup_.request.handed_over)
    return out;
  SetHandoffState(HandoffState::kAnswer, out);
  out.Set(kStreamSoftwareField, current_software_.value());
  return out;
}

}  // namespace carobshift
