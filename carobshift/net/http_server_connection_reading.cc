// The part of HttpServerConnection that reads requests: what is kept of them,
// and when they are refused.

#include <string>
#include <utility>

#include "carobshift/net/http_server_connection.h"

namespace carobshift {
namespace {

constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kUnavailable = 503;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
// Maximum number of bytes buffered beyond the request being served. Reading
// stops above it.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{64} << 10;

}  // namespace

void HttpServerConnection::OnData(std::string_view bytes) {
  const auto self = shared_from_this();
  if (ended_ || ending_ || discards_)
    return;
  if (serving_ || awaits_flush_ || !unparsed_.empty())
    Keep(bytes);
  else
    Parse(bytes);
}

void HttpServerConnection::Keep(std::string_view bytes) {
  const std::size_t size = unparsed_.size() + bytes.size();
  const bool pauses = size > kMaxUnparsedBytes;
  if (!unparsed_reserved_.GrowTo(size + (pauses ? kMaxKernelUnreadBytes : 0))) {
    DiscardInput();
    return;
  }
  unparsed_.append(bytes);
  if (pauses)
    tcp_->SetReading(false);
}

void HttpServerConnection::DiscardInput() {
  if (limits_.quota != nullptr)
    limits_.quota->CountDiscarded();
  discards_ = true;
  keep_alive_ = false;
  std::string().swap(unparsed_);
  unparsed_reserved_.Release();
  tcp_->SetReading(true);
}

void HttpServerConnection::ParseKept() {
  if (ended_ || ending_ || serving_ || awaits_flush_)
    return;
  const std::string input = std::exchange(unparsed_, {});
  unparsed_reserved_.Release();
  if (!input.empty())
    Parse(input);
}

void HttpServerConnection::Parse(std::string_view input) {
  const bool is_first_byte = !parser_.begun();
  const bool head_was_done = parser_.head_done();
  if (is_first_byte) {
    request_began_ = loop_.now();
    arrival_rate_ = ArrivalRate(request_began_);
  }
  const HttpParser::Progress progress = parser_.Feed(input);
  input.remove_prefix(progress.consumed);
  arrival_rate_.OnBytes(kept_bytes(), loop_.now());
  if (too_large_) {
    Reject(kPayloadTooLarge);
    return;
  }
  if (no_room_) {
    RefuseForRoom();
    return;
  }
  switch (progress.state) {
    case HttpParser::State::kPartial:
      if (!parser_.head_done() && !ReserveRequest(parser_.head_capacity()))
        Reject(kUnavailable);
      else if (is_first_byte || head_was_done || parser_.head_done())
        // The loop may have stood still since its iteration began.
        ArmTimer(MonotonicNow() + limits_.head_timeout, true);
      return;
    case HttpParser::State::kMalformed:
      Reject(kBadRequest);
      return;
    case HttpParser::State::kHeadTooLarge:
      Reject(kHeadTooLarge);
      return;
    case HttpParser::State::kComplete:
      Deliver(input);
      return;
  }
}

void HttpServerConnection::Deliver(std::string_view rest) {
  loop_.CancelTimer(timer_);
  serving_ = true;
  parser_.Reset();
  if (!rest.empty())
    Keep(rest);
  handler_->OnRequest(shared_from_this(), std::exchange(request_, {}));
}

bool HttpServerConnection::ReserveRequest(std::size_t size) {
  if (request_.reserved.size() == 0) {
    request_.reserved =
        ByteReservation(limits_.caller_budget, ByteImportance::kRequest);
  }
  if (limits_.quota == nullptr)
    return request_.reserved.GrowTo(size);
  return limits_.quota->Grow(request_.reserved, size, this, loop_.now());
}

void HttpServerConnection::OnHead(HttpHead head, const HttpMessageInfo& info) {
  http_1_0_ = info.http_1_0;
  keep_alive_ = info.keep_alive && !info.http_1_0;
  reply_to_head_ = head.method == "HEAD";
  std::size_t length = 0;
  if (info.framing == HttpBodyFraming::kLength) {
    too_large_ = info.length > limits_.body_bytes;
    length = too_large_ ? 0 : info.length;
  }
  no_room_ = !too_large_ && !ReserveRequest(head.capacity() + length);
  if (!no_room_)
    request_.body.reserve(length);
  const auto expect = head.Find("Expect");
  if (expect && EqualsIgnoringCase(*expect, "100-continue") &&
      info.framing != HttpBodyFraming::kNone && !too_large_ && !no_room_)
    tcp_->Send(kContinue);
  request_.head = std::move(head);
}

void HttpServerConnection::OnBody(std::string_view bytes) {
  if (request_.body.size() + bytes.size() > limits_.body_bytes)
    too_large_ = true;
  if (too_large_ || no_room_)
    return;
  request_.body.append(bytes);
  // Grows only for a body that came without its length.
  no_room_ =
      !ReserveRequest(request_.head.capacity() + request_.body.capacity());
}

void HttpServerConnection::Reject(int status) {
  if (ended_)
    return;
  request_ = {};
  parser_.Reset();
  handler_->OnMalformed(status);
  HttpHead head;
  head.status = status;
  serving_ = true;
  keep_alive_ = false;
  SendCompleteReply(std::move(head), "");
}

void HttpServerConnection::RefuseForRoom() {
  const HttpHead head = std::exchange(request_, {}).head;
  parser_.Reset();
  serving_ = true;
  keep_alive_ = false;
  handler_->OnNoRoom(*this, head);
}

}  // namespace carobshift
