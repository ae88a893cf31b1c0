#include "carobshift/net/blocking_http_call.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace carobshift {
namespace {

constexpr int kFirstFinalStatus = 200;
constexpr std::size_t kMaxSendBytes = std::size_t{1} << 20;

Poco::Timespan ToTimespan(Milliseconds time) {
  return Poco::Timespan(Microseconds(time).count());
}

}  // namespace

BlockingHttpCall::BlockingHttpCall(Poco::Net::StreamSocket& socket,
                                   Method method)
    : socket_(socket),
      method_(method),
      parser_(HttpParser::Kind::kReply, {.head_bytes = kMaxHeadBytes}, *this) {
  parser_.Reset(method_ == Method::kHead);
}

void BlockingHttpCall::Send(std::string_view request) {
  try {
    while (!request.empty()) {
      const std::size_t size = std::min(request.size(), kMaxSendBytes);
      const int sent = socket_.sendBytes(request.data(), static_cast<int>(size),
                                         MSG_NOSIGNAL);
      request.remove_prefix(static_cast<std::size_t>(std::max(sent, 0)));
    }
  } catch (const Poco::IOException&) {
    send_failed_ = true;
  }
}

const HttpHead& BlockingHttpCall::ReadHead() {
  while (!has_head_)
    Advance();
  return head_;
}

bool BlockingHttpCall::ReadBody(std::string& body) {
  while (pending_.empty() && !complete_)
    Advance();
  body += pending_;
  return !std::exchange(pending_, {}).empty();
}

bool BlockingHttpCall::reusable() const {
  return complete_ && info_.keep_alive && !info_.http_1_0 &&
         info_.framing != HttpBodyFraming::kUntilClose && unread_.empty() &&
         !send_failed_;
}

void BlockingHttpCall::Advance() {
  if (unread_.empty() && !Receive()) {
    OnConnectionEnd();
    return;
  }
  const HttpParser::Progress progress = parser_.Feed(unread_);
  unread_.remove_prefix(progress.consumed);
  switch (progress.state) {
    case HttpParser::State::kPartial:
      return;
    case HttpParser::State::kComplete:
      OnMessageComplete();
      return;
    case HttpParser::State::kMalformed:
      throw Poco::Net::MessageException("malformed reply");
    case HttpParser::State::kHeadTooLarge:
      throw Poco::Net::MessageException("head of the reply too large");
  }
}

bool BlockingHttpCall::Receive() {
  if (MonotonicNow() > deadline_)
    throw Poco::TimeoutException("reply took too long");
  const int received =
      socket_.receiveBytes(buffer_.data(), static_cast<int>(buffer_.size()));
  unread_ = {buffer_.data(), static_cast<std::size_t>(std::max(received, 0))};
  return !unread_.empty();
}

void BlockingHttpCall::OnHead(HttpHead head, const HttpMessageInfo& info) {
  if (head.status < kFirstFinalStatus)
    return;
  has_head_ = true;
  head_ = std::move(head);
  info_ = info;
}

void BlockingHttpCall::OnMessageComplete() {
  if (has_head_) {
    complete_ = true;
    return;
  }
  if (++interim_replies_ > kMaxInterimReplies)
    throw Poco::Net::MessageException("too many interim replies");
  parser_.Reset(method_ == Method::kHead);
}

void BlockingHttpCall::OnConnectionEnd() {
  // A failed send has taken the socket's error, so that a reset looks like a
  // normal end.
  const bool complete = !send_failed_ && has_head_ &&
                        parser_.FeedEnd() == HttpParser::State::kComplete;
  if (!complete)
    throw Poco::Net::ConnectionResetException("closed within the reply");
  complete_ = true;
}

Poco::Net::StreamSocket ConnectBlocking(const NetAddress& address,
                                        Milliseconds connect_timeout,
                                        Milliseconds io_timeout) {
  Poco::Net::StreamSocket socket;
  socket.connect(Poco::Net::SocketAddress(address.host, address.port),
                 ToTimespan(connect_timeout));
  socket.setNoDelay(true);
  socket.setReceiveTimeout(ToTimespan(io_timeout));
  socket.setSendTimeout(ToTimespan(io_timeout));
  return socket;
}

BlockingHttpReply FetchBlocking(const NetAddress& address,
                                HttpHead request,
                                std::string_view body,
                                Milliseconds timeout,
                                std::size_t max_body) {
  request.Set("Host", address.ToString());
  request.Set("Connection", "close");
  request.Set("Content-Length", std::to_string(body.size()));
  Poco::Net::StreamSocket socket = ConnectBlocking(address, timeout, timeout);
  BlockingHttpCall call(socket, request.method == "HEAD"
                                    ? BlockingHttpCall::Method::kHead
                                    : BlockingHttpCall::Method::kOther);
  call.Send(SerializeRequestHead(request).append(body));
  BlockingHttpReply reply{.head = call.ReadHead(), .body = {}};
  while (call.ReadBody(reply.body)) {
    if (reply.body.size() > max_body)
      throw Poco::DataException("reply too large");
  }
  return reply;
}

}  // namespace carobshift
