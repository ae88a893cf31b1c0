#include "carobshift/gateway/request/exchange.h"

#include <algorithm>
#include <utility>

namespace carobshift {
namespace {

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kFirstNotSuccess = 300;
constexpr int kFirstServerError = 500;

// Minimum time for an attempt: about the round trip to the endpoint. An attempt
// with less time left can't be answered before the deadline.
constexpr Milliseconds kMinAttemptTime{5};

ResultCode CodeOf(AttemptError failure) {
  switch (failure) {
    case AttemptError::kRetryBudgetSpent:
      return ResultCode::kRetryBudgetSpent;
    case AttemptError::kOverloaded:
      return ResultCode::kOverloaded;
    case AttemptError::kSuspected:
      return ResultCode::kRequestSuspected;
    case AttemptError::kNoTime:
      return ResultCode::kDeadlineExceeded;
    case AttemptError::kShuttingDown:
      return ResultCode::kEntryLeaving;
    case AttemptError::kWeightsReplaced:
      return ResultCode::kWeightsReplaced;
    case AttemptError::kZoneEvacuated:
      return ResultCode::kZoneEvacuated;
    case AttemptError::kRegionNotAllowed:
      return ResultCode::kRegionNotAllowed;
    case AttemptError::kSoftwareGone:
      return ResultCode::kSoftwareGone;
    case AttemptError::kNone:
    case AttemptError::kWaiting:
    case AttemptError::kNoEndpoint:
      break;
  }
  return ResultCode::kNoEndpoint;
}

// Returns whether an attempt may start later although none can now.
bool Passes(AttemptError failure) {
  switch (failure) {
    case AttemptError::kNoEndpoint:
    case AttemptError::kRetryBudgetSpent:
    case AttemptError::kOverloaded:
    case AttemptError::kWeightsReplaced:
      return true;
    case AttemptError::kNone:
    case AttemptError::kWaiting:
    case AttemptError::kSoftwareGone:
    case AttemptError::kZoneEvacuated:
    case AttemptError::kRegionNotAllowed:
    case AttemptError::kNoTime:
    case AttemptError::kShuttingDown:
    case AttemptError::kSuspected:
      return false;
  }
  return false;
}

bool IsSuccess(int status) {
  return status >= kOk && status < kFirstNotSuccess;
}

// Returns whether only the end of the connection ends the body of the reply.
bool EndsWithConnection(const HttpHead& reply, std::string_view method) {
  return reply.status != kNoContent && method != "HEAD" &&
         !reply.Find("Content-Length") && !reply.Find("Transfer-Encoding");
}

}  // namespace

Exchange::Exchange(ExchangeSetup setup,
                   AttemptRunner& attempt_runner,
                   CallerReply& reply)
    : setup_(std::move(setup)),
      attempt_runner_(attempt_runner),
      reply_(reply),
      splitter_(attempt_runner.held_bytes()),
      buffered_body_(attempt_runner.held_bytes(), ByteImportance::kAnswer) {
  Milliseconds time = setup_.route->timeout;
  if (setup_.request.time_left)
    time = std::min(time, *setup_.request.time_left);
  deadline_ = setup_.arrived + time;
  last_delivered_ = setup_.request.last_event;
}

void Exchange::Start(MonotonicTime now) {
  const AttemptError failure = BeginAttempt(now);
  if (failure != AttemptError::kNone)
    SuspendOrFail(failure, now);
}

void Exchange::BindTo(const ServiceName& service,
                      const SoftwareVersion& software) {
  setup_.service = service;
  setup_.software = software;
}

void Exchange::RefuseToStart(ResultCode code, MonotonicTime now) {
  Fail(code, now);
}

AttemptError Exchange::StartAttempt(bool replacement,
                                    MonotonicTime now,
                                    StartedAttempt* started) {
  const auto left = std::chrono::duration_cast<Milliseconds>(deadline_ - now);
  if (left < kMinAttemptTime)
    return AttemptError::kNoTime;
  const AttemptNumber number(static_cast<std::uint32_t>(attempts_) + 1);
  const AttemptParams wish{.tried = &tried_,
                           .last_event = last_delivered_,
                           .time_left = left,
                           .repeat = reached_endpoint_ || replacement,
                           .number = number,
                           .replacement = replacement};
  const AttemptError failure =
      attempt_runner_.StartAttempt(*this, wish, &started->start);
  if (failure != AttemptError::kNone)
    return failure;
  ++attempts_;
  ++summary_.attempts;
  tried_.insert(started->start.endpoint);
  if (caller_slow_)
    attempt_runner_.PauseAttempt(*this, number, true);
  started->number = number;
  return AttemptError::kNone;
}

AttemptError Exchange::BeginAttempt(MonotonicTime now) {
  StartedAttempt started;
  const AttemptError failure =
      StartAttempt(/*replacement=*/false, now, &started);
  if (failure == AttemptError::kNone)
    SetCurrent(started);
  return failure;
}

void Exchange::SetCurrent(const StartedAttempt& attempt) {
  current_ = attempt.number;
  current_software_ = attempt.start.software;
  summary_.last_endpoint = attempt.start.endpoint;
  current_answers_ = current_silent_ = refused_by_endpoint_ = false;
  current_begun_ = false;
  state_ = State::kSent;
}

bool Exchange::MayRetry(bool may_have_run) const {
  if (attempts_ - unrun_replacements_ >= kMaxAttempts)
    return false;
  if (!may_have_run)
    return true;
  return setup_.route->MayRunAgain() && runs_ < setup_.route->max_attempts;
}

bool Exchange::Retry(bool may_have_run, MonotonicTime now) {
  if (TakeReplacement())
    return true;
  const bool may_retry = MayRetry(may_have_run);
  if (!may_retry && !MaySuspend(now))
    return false;
  DiscardPartialAnswer();
  if (!may_retry) {
    Suspend(now);
    return true;
  }
  const AttemptError failure = BeginAttempt(now);
  if (failure != AttemptError::kNone)
    SuspendOrFail(failure, now);
  return true;
}

bool Exchange::MaySuspend(MonotonicTime now) const {
  const Route& route = *setup_.route;
  // Until its first event is sent, a new request may still be refused, and the
  // caller can turn to another instance.
  const bool begun = route.streaming && last_delivered_.has_value();
  const MonotonicTime end =
      head_sent_ ? deadline_
                 : std::min(deadline_, setup_.arrived + kMaxResumeWait);
  return begun && route.MayRunAgain() && runs_ < route.max_attempts &&
         now < end;
}

void Exchange::Suspend(MonotonicTime now) {
  if (state_ != State::kSuspended)
    ++summary_.suspensions;
  state_ = State::kSuspended;
  resume_backoff_.OnFailure(now);
}

void Exchange::SuspendOrFail(AttemptError failure, MonotonicTime now) {
  if (failure == AttemptError::kWaiting) {
    state_ = State::kIdle;
    return;
  }
  if (Passes(failure) && MaySuspend(now))
    Suspend(now);
  else
    Fail(CodeOf(failure), now);
}

void Exchange::OnTick(MonotonicTime now) {
  if (!suspended() || !resume_backoff_.MayTry(now))
    return;
  const AttemptError failure = BeginAttempt(now);
  if (failure != AttemptError::kNone)
    SuspendOrFail(failure, now);
}

void Exchange::DiscardPartialAnswer() {
  splitter_.DropPartial();
  buffered_body_.Clear();
  if (head_sent_)
    ++summary_.resumes;
}

bool Exchange::IsAnswer(int status) const {
  return head_sent_ ? IsSuccess(status) : status < kFirstServerError;
}

ReplyDisposition Exchange::OnReplyHead(AttemptNumber attempt,
                                       const HttpHead& head,
                                       const ReplyMetadata& facts,
                                       MonotonicTime now) {
  if (facts.request && *facts.request != setup_.request.id)
    return ReplyDisposition::kSkip;
  attempt_runner_.OnAttemptReply(*this, attempt, facts);
  reached_endpoint_ = true;
  const bool refused = facts.not_run || facts.misdirected;
  if (!refused) {
    ++runs_;
    may_have_run_ = true;
  }
  const bool answers = !refused && IsAnswer(head.status);
  if (IsReplacement(attempt)) {
    if (!answers) {
      replacement_->answered = true;
      if (refused)
        ++unrun_replacements_;
      return ReplyDisposition::kAcceptShort;
    }
    PromoteReplacement();
  } else if (answers) {
    CancelReplacement();
  }
  if (facts.software)
    current_software_ = *facts.software;
  current_answers_ = answers;
  current_silent_ = false;
  refused_by_endpoint_ = refused;
  if (!summary_.first_byte)
    summary_.first_byte = now;
  const bool stream = setup_.route->streaming && IsSuccess(head.status);
  if (head_sent_) {
    // The reply to a resumption may not be a stream; OnReplyEnd() handles that
    // case.
    state_ =
        stream && !refused_by_endpoint_ ? State::kStreaming : State::kBuffering;
    return stream && !refused ? ReplyDisposition::kAccept
                              : ReplyDisposition::kAcceptShort;
  }
  buffered_head_ = head;
  buffered_body_.Clear();
  if (stream && !refused_by_endpoint_) {
    TakeStreamHead(head);
    return ReplyDisposition::kAccept;
  }
  state_ = State::kBuffering;
  // The whole reply to a streaming route is kept, unless it is a stream.
  return refused || setup_.route->streaming ? ReplyDisposition::kAcceptShort
                                            : ReplyDisposition::kAccept;
}

void Exchange::TakeStreamHead(const HttpHead& head) {
  state_ = State::kStreaming;
  // The head is sent with the first event. Until then another endpoint may
  // still answer with its own head.
  buffered_head_ = head;
}

void Exchange::OnReplyBody(AttemptNumber attempt,
                           std::string_view bytes,
                           MonotonicTime now) {
  // The body of a refusal or a failure.
  if (IsReplacement(attempt))
    return;
  if (current_silent_)
    attempt_runner_.OnAttemptResumed(*this, attempt);
  current_silent_ = false;
  if (current_answers_)
    CancelReplacement();
  if (state_ == State::kStreaming) {
    if (!ForwardEvents(bytes, now))
      OnReplyTooLong(attempt, now);
    return;
  }
  if (refused_by_endpoint_)
    return;
  const bool has_room = buffered_body_.Append(bytes);
  if (!has_room && setup_.route->streaming) {
    OnReplyTooLong(attempt, now);
    return;
  }
  const bool fits =
      has_room && buffered_body_.text().size() <= kMaxBufferedBytes;
  if (!fits && !head_sent_ && !setup_.route->streaming) {
    // The answer is too long to buffer. From here on, a failure aborts the
    // caller's connection.
    head_sent_ = true;
    summary_.status = buffered_head_.status;
    reply_.BeginStream(CallerHead(buffered_head_));
  }
  if (head_sent_ && !setup_.route->streaming) {
    reply_.SendChunk(buffered_body_.text());
    buffered_body_.Clear();
  }
}

bool Exchange::ForwardEvents(std::string_view bytes, MonotonicTime now) {
  std::string complete;
  const bool sound = splitter_.Feed(bytes, [&](const StreamEvent& event) {
    if (!std::exchange(current_begun_, true))
      attempt_runner_.OnAttemptBegins(*this, *current_);
    // A resumed stream may start with events that the caller already has.
    if (event.number && last_delivered_ && *event.number <= *last_delivered_)
      return;
    complete.append(event.bytes);
    if (event.number)
      last_delivered_ = event.number;
  });
  if (complete.empty())
    return sound;
  if (!head_sent_) {
    summary_.first_byte = now;
    BeginStream();
  }
  reply_.SendChunk(complete);
  return sound;
}

void Exchange::BeginStream() {
  head_sent_ = true;
  summary_.status = buffered_head_.status;
  setup_.software = current_software_;
  attempt_runner_.OnStreamBegins(*this);
  reply_.BeginStream(CallerHead(buffered_head_));
}

void Exchange::OnReplyEnd(AttemptNumber attempt, MonotonicTime now) {
  // The connection may end cleanly, but within an event, or right behind a head
  // that doesn't state how the stream ends.
  const bool has_nothing =
      !current_begun_ && !last_delivered_ &&
      EndsWithConnection(buffered_head_, setup_.request.method);
  const bool truncated = !IsReplacement(attempt) &&
                         state_ == State::kStreaming &&
                         (has_nothing || !splitter_.at_boundary());
  if (truncated) {
    OnAttemptFailed(attempt, {CallFault::kBroken, true, false}, now);
    return;
  }
  const bool answered = !IsReplacement(attempt) && current_answers_ &&
                        IsSuccess(buffered_head_.status) &&
                        !setup_.route->streaming;
  if (answered)
    attempt_runner_.OnAttemptBegins(*this, attempt);
  attempt_runner_.OnAttemptEnd(*this, attempt);
  if (IsReplacement(attempt)) {
    OnReplacementOver(now);
    return;
  }
  current_.reset();
  if (refused_by_endpoint_) {
    if (Retry(/*may_have_run=*/may_have_run_, now))
      return;
    Fail(ResultCode::kEndpointRefused, now);
    return;
  }
  if (state_ == State::kStreaming) {
    if (!head_sent_) {
      // A stream without events is complete if its framing says so.
      BeginStream();
    }
    summary_.completed = true;
    reply_.EndStream();
    Finish();
    return;
  }
  if (head_sent_ && setup_.route->streaming) {
    // The endpoint answered the resumption with a failure.
    if (!Retry(/*may_have_run=*/true, now))
      Fail(ResultCode::kEndpointFailed, now);
    return;
  }
  const bool failed = buffered_head_.status >= kFirstServerError;
  if (failed && TakeReplacement())
    return;
  if (failed && MayRetry(/*may_have_run=*/true)) {
    // If no further attempt can start, the endpoint's failure is the answer.
    if (BeginAttempt(now) == AttemptError::kNone)
      return;
  }
  DeliverBuffered();
}

void Exchange::DeliverBuffered() {
  summary_.status = buffered_head_.status;
  summary_.completed = true;
  if (head_sent_) {
    reply_.SendChunk(buffered_body_.text());
    reply_.EndStream();
  } else {
    reply_.SendWhole(CallerHead(buffered_head_), buffered_body_.text());
  }
  Finish();
}

void Exchange::OnAttemptFailed(AttemptNumber attempt,
                               const CallFailure& failure,
                               MonotonicTime now) {
  attempt_runner_.OnAttemptFailure(*this, attempt, failure);
  if (IsReplacement(attempt)) {
    if (!failure.sent)
      ++unrun_replacements_;
    else if (!replacement_->answered)
      ++runs_;
    if (failure.sent)
      may_have_run_ = reached_endpoint_ = true;
    OnReplacementOver(now);
    return;
  }
  current_.reset();
  ContinueAfterFailure(failure, now);
}

void Exchange::ContinueAfterFailure(const CallFailure& failure,
                                    MonotonicTime now) {
  // An endpoint that has refused the request hasn't run it, however its reply
  // ends.
  const bool sent = failure.sent && !refused_by_endpoint_;
  // A reply that has started has already been counted as a run.
  const bool counted =
      state_ == State::kBuffering || state_ == State::kStreaming;
  if (sent && !counted)
    ++runs_;
  if (sent)
    may_have_run_ = reached_endpoint_ = true;
  const bool whole_answer_begun = head_sent_ && !setup_.route->streaming;
  const bool refused = refused_by_endpoint_;
  if (!whole_answer_begun && Retry(may_have_run_, now))
    return;
  if (refused) {
    Fail(ResultCode::kEndpointRefused, now);
    return;
  }
  Fail(failure.fault == CallFault::kConnectionLimit
           ? ResultCode::kOverloaded
           : ResultCode::kEndpointFailed,
       now);
}

void Exchange::OnDeadline(MonotonicTime now) {
  if (over())
    return;
  // The endpoint may be running the request. An answer that says "not run"
  // would lead the caller to send a booking twice.
  if (current_ || replacement_)
    may_have_run_ = true;
  DropAll();
  Fail(ResultCode::kDeadlineExceeded, now);
}

void Exchange::OnCallerGone(MonotonicTime) {
  if (over())
    return;
  summary_.code = ResultCode::kCancelled;
  Finish();
}

void Exchange::OnCallerSlow(bool slow) {
  caller_slow_ = slow;
  if (current_)
    attempt_runner_.PauseAttempt(*this, *current_, slow);
  if (replacement_)
    attempt_runner_.PauseAttempt(*this, replacement_->attempt.number, slow);
}

}  // namespace carobshift
