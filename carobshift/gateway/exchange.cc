#include "carobshift/gateway/exchange.h"

#include <algorithm>
#include <utility>

#include "carobshift/gateway/failure_reply.h"

namespace carobshift {
namespace {

constexpr int kOk = 200;
constexpr int kFirstNotSuccess = 300;
constexpr int kFirstServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// An attempt with less time than this can't be answered: it is about the round
// trips to the endpoint and back.
constexpr Milliseconds kLeastAttempt{5};

ResultCode CodeOf(NoAttempt failure) {
  switch (failure) {
    case NoAttempt::kNoAllowance:
      return ResultCode::kRetryBudgetSpent;
    case NoAttempt::kOverloaded:
      return ResultCode::kOverloaded;
    case NoAttempt::kSuspected:
      return ResultCode::kRequestSuspected;
    case NoAttempt::kNoTime:
      return ResultCode::kDeadlineExceeded;
    case NoAttempt::kWeightsReplaced:
      return ResultCode::kWeightsReplaced;
    case NoAttempt::kNone:
    case NoAttempt::kNoEndpoint:
      break;
  }
  return ResultCode::kNoEndpoint;
}

bool IsSuccess(int status) {
  return status >= kOk && status < kFirstNotSuccess;
}

}  // namespace

Exchange::Exchange(ExchangeSetup setup, ServiceDesk& desk, CallerReply& reply)
    : setup_(std::move(setup)), desk_(desk), reply_(reply) {
  Milliseconds time = setup_.route->timeout;
  if (setup_.request.time_left)
    time = std::min(time, *setup_.request.time_left);
  deadline_ = setup_.arrived + time;
  delivered_ = setup_.request.last_event;
}

void Exchange::Start(MonotonicTime now) {
  const NoAttempt failure = Attempt(now);
  if (failure != NoAttempt::kNone)
    Fail(CodeOf(failure), now);
}

NoAttempt Exchange::Attempt(MonotonicTime now) {
  const auto left = std::chrono::duration_cast<Milliseconds>(deadline_ - now);
  if (left < kLeastAttempt)
    return NoAttempt::kNoTime;
  const AttemptWish wish{.tried = &tried_,
                         .last_event = delivered_,
                         .time_left = left,
                         .repeat = arrived_};
  EndpointId endpoint;
  const NoAttempt failure = desk_.StartAttempt(*this, wish, &endpoint);
  if (failure != NoAttempt::kNone)
    return failure;
  ++sends_;
  ++summary_.attempts;
  tried_.insert(endpoint);
  summary_.last_endpoint = endpoint;
  attempt_active_ = true;
  state_ = State::kSent;
  return NoAttempt::kNone;
}

bool Exchange::MaySendAgain(bool may_have_run) const {
  if (sends_ >= kMaxSends)
    return false;
  if (!may_have_run)
    return true;
  return setup_.route->MayRunAgain() && runs_ < setup_.route->max_attempts;
}

bool Exchange::TryAgain(bool may_have_run, MonotonicTime now) {
  if (!MaySendAgain(may_have_run))
    return false;
  splitter_.DropPartial();
  held_body_.clear();
  if (head_sent_)
    ++summary_.resumes;
  const NoAttempt failure = Attempt(now);
  if (failure != NoAttempt::kNone)
    Fail(CodeOf(failure), now);
  return true;
}

ReplyVerdict Exchange::OnReplyHead(const HttpHead& head,
                                   const ReplyFacts& facts,
                                   MonotonicTime now) {
  if (facts.request && *facts.request != setup_.request.id)
    return ReplyVerdict::kSkip;
  desk_.OnAttemptReply(*this, facts);
  if (!summary_.first_byte)
    summary_.first_byte = now;
  refused_by_endpoint_ = facts.not_run || facts.misdirected;
  arrived_ = true;
  if (!refused_by_endpoint_) {
    ++runs_;
    may_have_run_ = true;
  }
  const bool stream = setup_.route->streaming && IsSuccess(head.status);
  if (head_sent_) {
    // A resumed stream that isn't one; OnReplyEnd judges it.
    state_ =
        stream && !refused_by_endpoint_ ? State::kStreaming : State::kHolding;
    return ReplyVerdict::kTake;
  }
  held_head_ = head;
  held_body_.clear();
  if (stream && !refused_by_endpoint_) {
    TakeStreamHead(head);
    return ReplyVerdict::kTake;
  }
  state_ = State::kHolding;
  return ReplyVerdict::kTake;
}

void Exchange::TakeStreamHead(const HttpHead& head) {
  state_ = State::kStreaming;
  // Sent with the first event: until then another endpoint may still answer
  // instead, under its own head.
  held_head_ = head;
}

void Exchange::OnReplyBody(std::string_view bytes, MonotonicTime now) {
  if (state_ == State::kStreaming) {
    ForwardEvents(bytes, now);
    return;
  }
  held_body_.append(bytes);
  if (held_body_.size() > kMaxHeldBytes && !head_sent_ &&
      !refused_by_endpoint_ && !setup_.route->streaming) {
    // Too long to hold. From here on a failure breaks the connection off.
    head_sent_ = true;
    summary_.status = held_head_.status;
    reply_.BeginStream(CallerHead(held_head_));
  }
  if (head_sent_ && !setup_.route->streaming) {
    reply_.SendPiece(held_body_);
    held_body_.clear();
  }
}

void Exchange::ForwardEvents(std::string_view bytes, MonotonicTime now) {
  std::string whole;
  splitter_.Feed(bytes, [&](const StreamEvent& event) {
    // A resumed stream may begin with events that the caller has.
    if (event.number && delivered_ && *event.number <= *delivered_)
      return;
    whole.append(event.bytes);
    if (event.number)
      delivered_ = event.number;
  });
  if (whole.empty())
    return;
  if (!head_sent_) {
    head_sent_ = true;
    summary_.status = held_head_.status;
    summary_.first_byte = now;
    reply_.BeginStream(CallerHead(held_head_));
  }
  reply_.SendPiece(whole);
}

void Exchange::OnReplyEnd(MonotonicTime now) {
  attempt_active_ = false;
  desk_.OnAttemptEnd(*this);
  if (refused_by_endpoint_) {
    if (TryAgain(/*may_have_run=*/may_have_run_, now))
      return;
    Fail(ResultCode::kEndpointRefused, now);
    return;
  }
  if (state_ == State::kStreaming) {
    // It ended in order, yet within an event.
    if (!splitter_.at_boundary()) {
      OnAttemptFailed({CallFault::kBroken, true, false}, now);
      return;
    }
    if (!head_sent_) {
      // A stream without events is whole.
      head_sent_ = true;
      summary_.status = held_head_.status;
      reply_.BeginStream(CallerHead(held_head_));
    }
    summary_.completed = true;
    reply_.EndStream();
    Finish();
    return;
  }
  if (head_sent_ && setup_.route->streaming) {
    // The endpoint answered the resumption with a failure.
    if (!TryAgain(/*may_have_run=*/true, now))
      Fail(ResultCode::kEndpointFailed, now);
    return;
  }
  const bool failed = held_head_.status >= kFirstServerError;
  if (failed && MaySendAgain(/*may_have_run=*/true)) {
    // Without another endpoint the failure itself is the answer.
    if (Attempt(now) == NoAttempt::kNone)
      return;
  }
  DeliverHeld();
}

void Exchange::DeliverHeld() {
  summary_.status = held_head_.status;
  summary_.completed = true;
  if (head_sent_) {
    reply_.SendPiece(held_body_);
    reply_.EndStream();
  } else {
    reply_.SendWhole(CallerHead(held_head_), held_body_);
  }
  Finish();
}

void Exchange::OnAttemptFailed(const CallFailure& failure, MonotonicTime now) {
  attempt_active_ = false;
  desk_.OnAttemptFailure(*this, failure);
  const bool sent = failure.sent;
  // A reply that was begun has been counted as a run already.
  const bool counted = state_ == State::kHolding || state_ == State::kStreaming;
  if (sent && !counted)
    ++runs_;
  if (sent)
    may_have_run_ = arrived_ = true;
  const bool whole_answer_begun = head_sent_ && !setup_.route->streaming;
  if (!whole_answer_begun && TryAgain(may_have_run_, now))
    return;
  Fail(failure.fault == CallFault::kConnectionLimit
           ? ResultCode::kOverloaded
           : ResultCode::kEndpointFailed,
       now);
}

void Exchange::OnEndpointSilent(MonotonicTime now) {
  if (!attempt_active_ || over())
    return;
  const bool answered = state_ == State::kHolding || head_sent_;
  if (!setup_.route->MayRunAgain() || sends_ >= kMaxSends ||
      runs_ + (answered ? 0 : 1) >= setup_.route->max_attempts)
    return;
  desk_.DropAttempt(*this);
  OnAttemptFailed({CallFault::kBroken, true, false}, now);
}

void Exchange::OnTooLateToBegin(MonotonicTime now) {
  if (!waiting())
    return;
  desk_.DropAttempt(*this);
  // It may have begun this moment, so it counts as a run.
  OnAttemptFailed({CallFault::kWithdrawn, true, false}, now);
}

void Exchange::OnDeadline(MonotonicTime now) {
  if (over())
    return;
  // What was sent may be running this moment; an answer that says "not run"
  // would have the caller send a booking twice.
  if (attempt_active_) {
    may_have_run_ = true;
    desk_.DropAttempt(*this);
  }
  attempt_active_ = false;
  Fail(ResultCode::kDeadlineExceeded, now);
}

void Exchange::OnCallerGone(MonotonicTime) {
  if (over())
    return;
  summary_.code = ResultCode::kCancelled;
  Finish();
}

void Exchange::OnCallerSlow(bool slow) {
  if (attempt_active_)
    desk_.PauseAttempt(*this, slow);
}

void Exchange::Fail(ResultCode code, MonotonicTime) {
  summary_.code = code;
  if (head_sent_) {
    reply_.BreakOff();
    Finish();
    return;
  }
  if (!may_have_run_) {
    Refuse(code, desk_.ReturnAfter(*this));
    return;
  }
  const int status =
      code == ResultCode::kDeadlineExceeded ? kGatewayTimeout : kBadGateway;
  SendFailure(status, code, RunStateName(RunState::kOutcomeUnknown),
              std::nullopt);
}

void Exchange::Refuse(ResultCode code, Milliseconds return_after) {
  summary_.code = code;
  SendFailure(kUnavailable, code, RunStateName(RunState::kNotRun),
              return_after);
}

void Exchange::SendFailure(int status,
                           ResultCode code,
                           std::string_view run_state,
                           std::optional<Milliseconds> return_after) {
  // A send under way must be over before the answer says that it never ran.
  if (attempt_active_)
    desk_.DropAttempt(*this);
  attempt_active_ = false;
  summary_.status = status;
  reply_.SendWhole(FailureHead(status, return_after),
                   FailureBody(code, run_state));
  Finish();
}

void Exchange::Finish() {
  if (attempt_active_)
    desk_.DropAttempt(*this);
  attempt_active_ = false;
  state_ = State::kOver;
  desk_.OnExchangeEnd(*this);
}

// Everything that the endpoint said is handed on unchanged, but for the fields
// of its own connection and the framing.
HttpHead Exchange::CallerHead(const HttpHead& head) const {
  const std::string* const connection = head.Find("Connection");
  HttpHead out;
  out.status = head.status;
  out.reason = head.reason;
  for (const HttpField& field : head.fields) {
    if (!IsConnectionField(field.name, connection == nullptr
                                           ? std::string_view()
                                           : std::string_view(*connection)))
      out.fields.push_back(field);
  }
  return out;
}

}  // namespace carobshift
