#include "carobshift/gateway/request/exchange_run.h"

#include <algorithm>
#include <utility>

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
  DropCall();
}

void ExchangeRun::Start() {
  const auto self = shared_from_this();
  deadline_timer_ =
      loop_.AddTimer(exchange_.deadline(), [weak = weak_from_this()] {
        const auto run = weak.lock();
        if (run != nullptr)
          run->exchange_.OnDeadline(run->loop_.now());
      });
  exchange_.Start(loop_.now());
}

void ExchangeRun::StartCall(HttpClient& client,
                            const NetAddress& address,
                            std::string bytes,
                            const HttpCallOptions& options) {
  last_received_ = loop_.now();
  call_ = client.Start(address, std::move(bytes), options, this);
}

void ExchangeRun::DropCall() {
  if (call_ == nullptr)
    return;
  const auto call = std::move(call_);
  call_.reset();
  call->Cancel();
}

void ExchangeRun::PauseCall(bool pause) {
  if (call_ != nullptr)
    call_->SetReading(!pause);
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

ReplyDisposition ExchangeRun::OnReplyHead(const HttpHead& head,
                                          const HttpMessageInfo&) {
  const auto self = shared_from_this();
  last_received_ = loop_.now();
  facts_ = dialect_.DecodeReply(head);
  return exchange_.OnReplyHead(head, facts_, loop_.now());
}

void ExchangeRun::OnReplyBody(std::string_view bytes) {
  const auto self = shared_from_this();
  longest_pause_ = std::max(longest_pause_, loop_.now() - last_received_);
  last_received_ = loop_.now();
  exchange_.OnReplyBody(bytes, loop_.now());
}

void ExchangeRun::OnReplyEnd() {
  const auto self = shared_from_this();
  call_.reset();
  exchange_.OnReplyEnd(loop_.now());
}

void ExchangeRun::OnCallFailed(const CallFailure& failure) {
  const auto self = shared_from_this();
  call_.reset();
  exchange_.OnAttemptFailed(failure, loop_.now());
}

}  // namespace carobshift
