#include "carobshift/net/http_fetch.h"

#include <algorithm>
#include <utility>

#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr std::string_view kTooLarge = "reply too large";
constexpr std::string_view kOverBudget = "replies over budget";

}  // namespace

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
  address_ = address;
  status_ = 0;
  std::string().swap(body_);
  held_ = ByteReservation(client.reply_budget(), options.importance);
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
  std::string().swap(body_);
  held_.Release();
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
                                        const HttpMessageInfo& info) {
  status_ = head.status;
  stall_deadline_ = loop_->now() + options_.stall_timeout;
  reply_deadline_ = loop_->now() + options_.max_reply_time;
  loop_->CancelTimer(timer_);
  ArmTimer();
  if (info.framing == HttpBodyFraming::kLength &&
      info.length > options_.max_body)
    GiveUp(kTooLarge);
  return ReplyDisposition::kAccept;
}

void HttpFetch::OnReplyBody(std::string_view bytes) {
  stall_deadline_ = loop_->now() + options_.stall_timeout;
  const std::string_view refusal = Reserve(body_.size() + bytes.size());
  if (refusal.empty())
    body_.append(bytes);
  else
    GiveUp(refusal);
}

std::string_view HttpFetch::Reserve(std::size_t size) {
  if (size > options_.max_body)
    return kTooLarge;
  if (size <= body_.capacity())
    return {};
  const std::size_t capacity =
      std::min(std::max(size, 2 * body_.capacity()), options_.max_body);
  if (!held_.GrowTo(capacity))
    return kOverBudget;
  body_.reserve(capacity);
  return {};
}

void HttpFetch::GiveUp(std::string_view reason) {
  const std::size_t received = body_.size();
  LogEvent(LogLevel::kWarning, "reply_given_up",
           {{"peer", address_.ToString()},
            {"reason", reason},
            {"received", received},
            {"most", options_.max_body}});
  call_->Abort();
  Finish({.status = std::nullopt,
          .body = {},
          .sent = true,
          .received = received,
          .reason = reason});
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
  std::string().swap(body_);
  // Until the callback has read the reply.
  const ByteReservation held = std::move(held_);
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
