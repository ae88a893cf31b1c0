#include "carobshift/net/http_fetch.h"

#include <algorithm>
#include <utility>

namespace carobshift {

HttpFetch::~HttpFetch() {
  Cancel();
}

void HttpFetch::Start(HttpClient& client,
                      EventLoop& loop,
                      const NetAddress& address,
                      std::string bytes,
                      const FetchOptions& options,
                      Done done) {
  Cancel();
  loop_ = &loop;
  options_ = options;
  done_ = std::move(done);
  status_ = 0;
  body_.clear();
  // The process may have stood still since the loop's iteration began.
  stall_deadline_ = MonotonicNow() + options.timeout;
  reply_deadline_.reset();
  ArmTimer();
  call_ = client.Start(address, std::move(bytes), options.call, this);
}

void HttpFetch::Cancel() {
  if (done_ == nullptr)
    return;
  done_ = nullptr;
  loop_->CancelTimer(timer_);
  call_->Cancel();
  call_.reset();
}

void HttpFetch::ArmTimer() {
  const MonotonicTime at = reply_deadline_
                               ? std::min(stall_deadline_, *reply_deadline_)
                               : stall_deadline_;
  timer_ = loop_->AddTimer(at, [this] { OnTimer(); });
}

void HttpFetch::OnTimer() {
  const MonotonicTime now = loop_->now();
  if (now < stall_deadline_ && (!reply_deadline_ || now < *reply_deadline_)) {
    ArmTimer();
    return;
  }
  call_->Cancel();
  Finish({.status = std::nullopt,
          .body = {},
          .sent = true,
          .received = body_.size(),
          .reason = "timeout"});
}

ReplyDisposition HttpFetch::OnReplyHead(const HttpHead& head,
                                        const HttpMessageInfo&) {
  status_ = head.status;
  stall_deadline_ = loop_->now() + options_.stall_timeout;
  reply_deadline_ = loop_->now() + options_.max_reply_time;
  loop_->CancelTimer(timer_);
  ArmTimer();
  return ReplyDisposition::kAccept;
}

void HttpFetch::OnReplyBody(std::string_view bytes) {
  stall_deadline_ = loop_->now() + options_.stall_timeout;
  if (body_.size() + bytes.size() <= options_.max_body) {
    body_.append(bytes);
    return;
  }
  call_->Cancel();
  Finish({.status = std::nullopt,
          .body = {},
          .sent = true,
          .received = body_.size(),
          .reason = "reply too large"});
}

void HttpFetch::OnReplyEnd() {
  const std::size_t received = body_.size();
  Finish({.status = status_,
          .body = std::move(body_),
          .sent = true,
          .received = received,
          .reason = {}});
}

void HttpFetch::OnCallFailed(const CallFailure& failure) {
  Finish({.status = std::nullopt,
          .body = {},
          .sent = failure.sent,
          .received = body_.size(),
          .reason = CallFaultName(failure.fault)});
}

void HttpFetch::Finish(FetchOutcome outcome) {
  loop_->CancelTimer(timer_);
  call_.reset();
  // The callback may start another call with this object.
  const Done done = std::exchange(done_, nullptr);
  if (done != nullptr)
    done(outcome);
}

std::string SerializeRequest(HttpHead head,
                             const NetAddress& address,
                             std::string_view body) {
  head.Set("Host", address.ToString());
  if (!body.empty() || head.method == "POST")
    head.Set("Content-Length", std::to_string(body.size()));
  std::string bytes = SerializeRequestHead(head);
  bytes.append(body);
  return bytes;
}

}  // namespace carobshift
