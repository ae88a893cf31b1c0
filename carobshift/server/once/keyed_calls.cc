#include "carobshift/server/once/keyed_calls.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace carobshift {
namespace {

constexpr Milliseconds kQueryTimeout{2000};
// Retry time suggested to a caller whose request may still be in progress or
// may be accepted later.
constexpr Milliseconds kInProgressRetryAfter{1000};

CallReply ToCallReply(const FinalAnswer& answer) {
  return {answer.http_status, answer.content_type, answer.body,
          answer.retry_after};
}

CallReply ErrorReply(const RequestId& request, const CallerError& error) {
  return ToCallReply(ErrorAnswer(request, error));
}

CallReply RefusalReply(const RequestId& request, const Refusal& refusal) {
  std::optional<Milliseconds> retry_after;
  if (refusal.code == ResultCode::kOverloaded ||
      refusal.code == ResultCode::kLogUnavailable ||
      refusal.code == ResultCode::kUnknownOutcome)
    retry_after = kInProgressRetryAfter;
  return ErrorReply(
      request, {refusal.code, refusal.state, refusal.message, retry_after});
}

CallReply InProgressReply(const RequestId& request) {
  return ErrorReply(
      request, {ResultCode::kDeadlineExceeded, RunState::kOutcomeUnknown,
                "the request is in progress still", kInProgressRetryAfter});
}

// kUnknownOutcome marks a run that has ended but whose answer is not stored.
CallReply ReplayReply(const RequestId& request, const FinalAnswer& answer) {
  if (answer.code != ResultCode::kUnknownOutcome)
    return ToCallReply(answer);
  return ErrorReply(
      request, {answer.code, answer.state,
                "the request has ended; its answer is not kept", std::nullopt});
}

Milliseconds TimeLeft(MonotonicTime deadline) {
  return std::max(Milliseconds(1),
                  std::chrono::ceil<Milliseconds>(deadline - MonotonicNow()));
}

}  // namespace

FinalAnswer ErrorAnswer(const RequestId& request, const CallerError& error) {
  FinalAnswer answer;
  answer.state = error.state;
  answer.code = error.code;
  answer.http_status = HttpStatusOf(error.code);
  answer.content_type = "application/json";
  answer.retry_after = error.retry_after.value_or(Milliseconds(0));
  answer.body =
      ErrorBody(request, error)
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return answer;
}

void KeyedCalls::SetExecutor(CallRoute route, KeyedExecutor& executor) {
  executors_.at(static_cast<std::size_t>(route)) = &executor;
}

Result<KeyedRequest> KeyedCalls::MakeRequest(const ForwardCall& call,
                                             MonotonicTime deadline) const {
  KeyedRequest request;
  request.account = call.account;
  request.free_key = call.key;
  request.created = call.key_created;
  request.fingerprint = MakeFingerprint(call.service, call.body);
  request.deadline = deadline;
  if (!LooksLikeBoundKey(call.key.value())) {
    if (call.key_created == WallTime())
      return Error{ResultCode::kInvalidIdempotencyKey,
                   "a key without an issued prefix needs the header "
                   "Carobshift-Key-Created: milliseconds since 1970"};
    return request;
  }
  Result<BoundKey> bound = ParseBoundKey(context_.secret, call.key.value());
  if (!bound.ok())
    return bound.error();
  request.bound = std::move(bound).value();
  return request;
}

bool KeyedCalls::IsOwnedHere(const BoundKey& key) const {
  return key.entry == context_.settings.entry;
}

CallReply KeyedCalls::Run(ForwardCall call,
                          MonotonicTime deadline,
                          const LiveEvents& live) {
  const Result<KeyedRequest> request = MakeRequest(call, deadline);
  if (!request.ok())
    return ErrorReply(call.request,
                      NotRun(request.error().code, request.error().message));
  const std::optional<BoundKey>& bound = request.value().bound;
  if (bound && bound->account != call.account)
    return ErrorReply(call.request,
                      NotRun(ResultCode::kInvalidIdempotencyKey,
                             "the key was issued to another client account"));
  if (!bound || IsOwnedHere(*bound))
    return RunLocally(call, request.value(), true, live);
  call.owner = bound->incarnation;
  return Forward(bound->entry, bound->incarnation, call, call.request,
                 deadline);
}

CallReply KeyedCalls::RunForwarded(const ForwardCall& call) {
  // `time_left` is relative, because monotonic clocks of different entries
  // can't be compared. The deadline here is therefore later by the time in
  // transit; the sending entry still answers its caller in time.
  const Result<KeyedRequest> request =
      MakeRequest(call, MonotonicNow() + call.time_left);
  if (!request.ok())
    return ErrorReply(call.request,
                      NotRun(request.error().code, request.error().message));
  if (call.owner != context_.incarnation)
    return ErrorReply(
        call.request,
        {ResultCode::kHomeUnreachable, RunState::kOutcomeUnknown,
         "the entry that answers for the key was restarted", std::nullopt});
  return RunLocally(call, request.value(), false, {});
}

CallReply KeyedCalls::RunLocally(const ForwardCall& call,
                                 const KeyedRequest& request,
                                 bool may_forward,
                                 const LiveEvents& live) {
  for (;;) {
    const KeyDecision decision = table_.Begin(request);
    if (std::holds_alternative<RunNow>(decision))
      return Execute(call, request, live);
    if (const auto* replay = std::get_if<Replay>(&decision))
      return ReplayReply(call.request, replay->answer);
    if (const auto* refusal = std::get_if<Refusal>(&decision))
      return RefusalReply(call.request, *refusal);
    const auto* owner = std::get_if<AskOwner>(&decision);
    if (owner != nullptr && may_forward) {
      ForwardCall forwarded = call;
      forwarded.owner = owner->incarnation;
      return Forward(owner->entry, owner->incarnation, forwarded, call.request,
                     request.deadline);
    }
    if (owner != nullptr)
      return InProgressReply(call.request);
    // After the run has ended, Begin returns its answer. If the run was
    // abandoned before dispatch, this copy may run instead.
    if (!table_.AwaitEnd(request))
      return InProgressReply(call.request);
  }
}

CallReply KeyedCalls::Execute(const ForwardCall& call,
                              const KeyedRequest& request,
                              const LiveEvents& live) {
  KeyedExecutor* executor = executors_.at(static_cast<std::size_t>(call.route));
  FinalAnswer answer;
  // Without Finish, an exception would block all repeats of the key forever.
  try {
    answer = executor->Execute(
        call, request.deadline,
        [this, &request](MonotonicTime now) {
          return table_.StartDispatch(request, now);
        },
        live);
  } catch (const std::exception&) {
    answer = ErrorAnswer(call.request,
                         {ResultCode::kInternal, RunState::kOutcomeUnknown,
                          "the request failed within the entry", std::nullopt});
  }
  CallReply reply = ToCallReply(answer);
  table_.Finish(request, std::move(answer));
  return reply;
}

CallReply KeyedCalls::Forward(const EntryId& entry,
                              Incarnation incarnation,
                              const PeerRequest& message,
                              const RequestId& request,
                              MonotonicTime deadline) {
  const auto home_unreachable = [&request](std::string why) {
    return ErrorReply(request,
                      {ResultCode::kHomeUnreachable, RunState::kOutcomeUnknown,
                       std::move(why), std::nullopt});
  };
  const std::optional<PeerAddress> peer = peers_.Find(entry, incarnation);
  if (!peer)
    return home_unreachable(
        "the entry that answers for the key is gone or restarted");
  PeerRequest timed = message;
  if (auto* call = std::get_if<ForwardCall>(&timed))
    call->time_left = TimeLeft(deadline);
  const Result<PeerReply> reply =
      client_.Call(peer->address, timed, TimeLeft(deadline));
  if (!reply.ok())
    return home_unreachable("the entry that answers for the key didn't answer");
  const auto* answer = std::get_if<CallReply>(&reply.value());
  return answer != nullptr ? *answer
                           : home_unreachable("the entry answered amiss");
}

CallReply KeyedCalls::QueryOutcome(const RequestId& request,
                                   const AccountId& account,
                                   const IdempotencyKey& key) {
  if (!LooksLikeBoundKey(key.value()))
    return LocalOutcome(request, account, key);
  const Result<BoundKey> bound = ParseBoundKey(context_.secret, key.value());
  if (!bound.ok())
    return ErrorReply(request,
                      NotRun(bound.error().code, bound.error().message));
  if (IsOwnedHere(bound.value()))
    return LocalOutcome(request, account, key);
  return Forward(bound.value().entry, bound.value().incarnation,
                 carobshift::QueryOutcome{account, key}, request,
                 MonotonicNow() + kQueryTimeout);
}

CallReply KeyedCalls::LocalOutcome(const RequestId& request,
                                   const AccountId& account,
                                   const IdempotencyKey& key) {
  KeyedRequest keyed;
  keyed.account = account;
  keyed.free_key = key;
  if (LooksLikeBoundKey(key.value())) {
    Result<BoundKey> bound = ParseBoundKey(context_.secret, key.value());
    if (!bound.ok())
      return ErrorReply(request,
                        NotRun(bound.error().code, bound.error().message));
    keyed.bound = std::move(bound).value();
  }
  const KeyDecision decision = table_.Outcome(keyed, MonotonicNow());
  if (const auto* replay = std::get_if<Replay>(&decision))
    return ReplayReply(request, replay->answer);
  if (const auto* refusal = std::get_if<Refusal>(&decision))
    return RefusalReply(request, *refusal);
  return InProgressReply(request);
}

}  // namespace carobshift
