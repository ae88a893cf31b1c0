#include "carobshift/gateway/request/exchange_run.h"

#include <algorithm>
#include <utility>

#include "carobshift/telemetry/event_log.h"

namespace carobshift {

ExchangeRun::ExchangeRun(EventLoop& loop,
                         const RequestDialect& dialect,
                         std::shared_ptr<HttpServerConnection> caller,
                         ExchangeSetup setup,
                         AttemptRunner& attempt_runner)
    : loop_(loop),
      dialect_(dialect),
      caller_(std::move(caller)),
      exchange_(std::move(setup), attempt_runner, *this) {}

ExchangeRun::~ExchangeRun() {
  loop_.CancelTimer(deadline_timer_);
  for (const auto& call : std::exchange(calls_, {}))
    call->Cancel();
}

void ExchangeRun::Start() {
  const auto self = shared_from_this();
  if (!std::exchange(started_, true)) {
    deadline_timer_ =
        loop_.AddTimer(exchange_.deadline(), [weak = weak_from_this()] {
          const auto run = weak.lock();
          if (run != nullptr)
            run->exchange_.OnDeadline(run->loop_.now());
        });
  }
  exchange_.Start(loop_.now());
}

void ExchangeRun::StartCall(AttemptNumber attempt,
                            HttpClient& client,
                            const NetAddress& address,
                            std::string bytes,
                            const HttpCallOptions& options,
                            ReplyDecoder decode_reply) {
  calls_.push_back(
      std::make_shared<AttemptCall>(*this, attempt, std::move(decode_reply)));
  calls_.back()->Start(client, address, std::move(bytes), options);
}

void ExchangeRun::DropCall(AttemptNumber attempt) {
  const auto call = FindCall(attempt);
  if (call == nullptr)
    return;
  RemoveCall(attempt);
  call->Drop();
}

void ExchangeRun::PauseCall(AttemptNumber attempt, bool pause) {
  const auto call = FindCall(attempt);
  if (call != nullptr)
    call->Pause(pause);
}

MonotonicTime ExchangeRun::LastReceived(AttemptNumber attempt,
                                        MonotonicTime now) const {
  const auto call = FindCall(attempt);
  return call == nullptr ? now : call->LastReceived(now);
}

std::shared_ptr<ExchangeRun::AttemptCall> ExchangeRun::FindCall(
    AttemptNumber attempt) const {
  const auto found = std::find_if(
      calls_.begin(), calls_.end(),
      [attempt](const auto& call) { return call->attempt() == attempt; });
  return found == calls_.end() ? nullptr : *found;
}

void ExchangeRun::RemoveCall(AttemptNumber attempt) {
  std::erase_if(calls_, [attempt](const auto& call) {
    return call->attempt() == attempt;
  });
}

bool ExchangeRun::CallSent(AttemptNumber attempt) const {
  const auto call = FindCall(attempt);
  return call == nullptr || call->sent();
}

void ExchangeRun::NoteConnection(const ConnectionUse& use) {
  if (!connections_used_.empty())
    connections_used_ += ' ';
  connections_used_ +=
      std::to_string(use.connection.value()) + '#' + std::to_string(use.call);
}

void ExchangeRun::OnCallerGone() {
  exchange_.OnCallerGone(loop_.now());
}

void ExchangeRun::SendWhole(HttpHead head, std::string_view body) {
  caller_->SendCompleteReply(std::move(head), body);
}

void ExchangeRun::BeginStream(HttpHead head) {
  caller_->BeginStream(std::move(head));
}

void ExchangeRun::SendChunk(std::string_view bytes) {
  caller_->SendChunk(bytes);
}

void ExchangeRun::EndStream() {
  caller_->EndStream();
}

void ExchangeRun::Abort() {
  caller_->Abort();
}

ExchangeRun::AttemptCall::AttemptCall(ExchangeRun& run,
                                      AttemptNumber attempt,
                                      ReplyDecoder decode_reply)
    : run_(run), attempt_(attempt), decode_reply_(std::move(decode_reply)) {}

void ExchangeRun::AttemptCall::Start(HttpClient& client,
                                     const NetAddress& address,
                                     std::string bytes,
                                     const HttpCallOptions& options) {
  last_received_ = run_.loop_.now();
  call_ = client.Start(address, std::move(bytes), options, this);
  use_ = call_->use();
}

void ExchangeRun::AttemptCall::Cancel() {
  if (call_ == nullptr)
    return;
  const auto call = std::move(call_);
  call_.reset();
  call->Cancel();
}

void ExchangeRun::AttemptCall::Drop() {
  if (replied_ || call_ == nullptr) {
    Cancel();
    return;
  }
  const auto call = std::move(call_);
  call_.reset();
  call->Abort();
}

void ExchangeRun::AttemptCall::Pause(bool pause) {
  paused_ = pause;
  last_received_ = run_.loop_.now();
  if (call_ != nullptr)
    call_->SetReading(!pause);
}

ReplyDisposition ExchangeRun::AttemptCall::OnReplyHead(const HttpHead& head,
                                                       const HttpMessageInfo&) {
  const auto run = run_.shared_from_this();
  const auto self = shared_from_this();
  last_received_ = run_.loop_.now();
  const ReplyMetadata facts =
      decode_reply_ ? decode_reply_(head) : run_.dialect_.DecodeReply(head);
  const ReplyDisposition disposition =
      run_.exchange_.OnReplyHead(attempt_, head, facts, run_.loop_.now());
  replied_ = replied_ || disposition != ReplyDisposition::kSkip;
  LogReply(head, facts, disposition);
  return disposition;
}

void ExchangeRun::AttemptCall::LogReply(const HttpHead& head,
                                        const ReplyMetadata& facts,
                                        ReplyDisposition disposition) {
  if (use_ == std::nullopt)
    return;
  const std::string& request = run_.exchange_.request().id.value();
  if (disposition == ReplyDisposition::kSkip) {
    LogEvent(LogLevel::kInfo, "late_reply_skipped",
             {{"request", request},
              {"attempt", attempt_.value()},
              {"connection", use_->connection.value()},
              {"call", use_->call},
              {"reply_to", facts.request ? facts.request->value() : ""},
              {"status", head.status}});
    return;
  }
  if (run_.connections_used_.empty()) {
    run_.NoteConnection(*use_);
    return;
  }
  LogEvent(LogLevel::kInfo, "repeat_answered",
           {{"request", request},
            {"attempt", attempt_.value()},
            {"connection", use_->connection.value()},
            {"call", use_->call},
            {"connections_before", run_.connections_used_},
            {"status", head.status},
            {"not_run", facts.not_run}});
  run_.NoteConnection(*use_);
}

void ExchangeRun::AttemptCall::OnReplyBody(std::string_view bytes) {
  const auto run = run_.shared_from_this();
  const auto self = shared_from_this();
  const MonotonicTime now = run_.loop_.now();
  run_.longest_pause_ = std::max(run_.longest_pause_, now - last_received_);
  last_received_ = now;
  run_.exchange_.OnReplyBody(attempt_, bytes, now);
}

void ExchangeRun::AttemptCall::OnReplyEnd() {
  const auto run = run_.shared_from_this();
  const auto self = shared_from_this();
  run_.RemoveCall(attempt_);
  run_.exchange_.OnReplyEnd(attempt_, run_.loop_.now());
}

void ExchangeRun::AttemptCall::OnCallFailed(const CallFailure& failure) {
  const auto run = run_.shared_from_this();
  const auto self = shared_from_this();
  run_.RemoveCall(attempt_);
  run_.exchange_.OnAttemptFailed(attempt_, failure, run_.loop_.now());
}

}  // namespace carobshift
