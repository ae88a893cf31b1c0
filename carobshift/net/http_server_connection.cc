#include "carobshift/net/http_server_connection.h"

#include <array>
#include <charconv>
#include <utility>

namespace carobshift {
namespace {

constexpr int kRequestTimeout = 408;
constexpr int kUnavailable = 503;
constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace

std::string_view ConnectionEndName(ConnectionEnd end) {
  switch (end) {
    case ConnectionEnd::kIdle:
      return "idle";
    case ConnectionEnd::kAfterReply:
      return "after_reply";
    case ConnectionEnd::kAborted:
      return "aborted";
    case ConnectionEnd::kCallerEnded:
      return "caller_ended";
    case ConnectionEnd::kFailed:
      return "failed";
  }
  return "unknown";
}

void HttpServerHandler::OnNoRoom(HttpServerConnection& connection,
                                 const HttpHead&) {
  HttpHead reply;
  reply.status = kUnavailable;
  connection.SendCompleteReply(std::move(reply), "");
}

HttpServerConnection::HttpServerConnection(EventLoop& loop,
                                           const HttpServerLimits& limits,
                                           HttpServerHandler& handler)
    : loop_(loop),
      limits_(limits),
      handler_(&handler),
      parser_(HttpParser::Kind::kRequest,
              {.head_bytes = limits.head_bytes},
              *this),
      unsent_reserved_(limits.caller_budget, ByteImportance::kOptional),
      unparsed_reserved_(limits.caller_budget, ByteImportance::kOptional) {}

std::shared_ptr<HttpServerConnection> HttpServerConnection::Open(
    EventLoop& loop,
    const Poco::Net::StreamSocket& socket,
    const HttpServerLimits& limits,
    const TcpOptions& tcp,
    HttpServerHandler& handler) {
  std::shared_ptr<ConnectionSlot> slot;
  if (limits.quota != nullptr) {
    slot = limits.quota->Admit(loop.now());
    if (slot == nullptr) {
      Poco::Net::StreamSocket(socket).close();
      return nullptr;
    }
  }
  std::shared_ptr<HttpServerConnection> connection(
      new HttpServerConnection(loop, limits, handler));
  connection->tcp_ = TcpConnection::Accept(loop, socket, tcp, connection.get());
  if (slot != nullptr) {
    slot->Attach(connection, connection->tcp_);
    connection->tcp_->HoldSlot(slot);
    connection->slot_ = std::move(slot);
  }
  connection->BeginIdlePeriod();
  return connection;
}

void HttpServerConnection::SetLimits(const HttpServerLimits& limits) {
  limits_ = limits;
  parser_.SetLimits({.head_bytes = limits.head_bytes});
  const MonotonicTime idle_until = idle_since_ + limits.idle_timeout;
  const bool idle = !ended_ && !ending_ && !serving_ && !parser_.begun();
  if (!idle || idle_until <= idle_until_)
    return;
  idle_until_ = idle_until;
  ArmTimer(idle_until_, false);
}

void HttpServerConnection::BeginIdlePeriod() {
  idle_since_ = loop_.now();
  idle_until_ = idle_since_ + limits_.idle_timeout;
  ArmTimer(idle_until_, false);
}

void HttpServerConnection::ArmTimer(MonotonicTime at, bool reading_request) {
  loop_.CancelTimer(timer_);
  timer_ = loop_.AddTimer(at, [weak = weak_from_this(), reading_request] {
    const auto self = weak.lock();
    if (self == nullptr || self->ended_ || self->serving_)
      return;
    // An idle connection is closed without a reply; a caller that stopped
    // in the middle of a request gets an error reply.
    if (reading_request)
      self->Reject(kRequestTimeout);
    else if (self->tcp_->undelivered() > 0)
      self->BeginIdlePeriod();
    else
      self->EndIdle();
  });
}

void HttpServerConnection::AddConnectionFields(HttpHead& head) {
  if (close_after_reply_)
    keep_alive_ = false;
  if (!keep_alive_)
    head.fields.push_back({"Connection", "close"});
}

void HttpServerConnection::SendCompleteReply(HttpHead head,
                                             std::string_view body) {
  if (ended_)
    return;
  AddConnectionFields(head);
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  const bool bodyless =
      head.status == kNoContent || head.status == kNotModified;
  if (!bodyless)
    head.fields.push_back({"Content-Length", std::to_string(body.size())});
  std::string bytes = SerializeReplyHead(head);
  if (!bodyless && !reply_to_head_)
    bytes.append(body);
  tcp_->Send(bytes);
  FinishReply();
}

void HttpServerConnection::BeginStream(HttpHead head) {
  if (ended_)
    return;
  // HTTP/1.0 has no chunked encoding; the end of the connection ends the reply.
  chunked_ = !http_1_0_;
  AddConnectionFields(head);
  if (chunked_)
    head.fields.push_back({"Transfer-Encoding", "chunked"});
  tcp_->Send(SerializeReplyHead(head));
}

void HttpServerConnection::SendChunk(std::string_view bytes) {
  if (ended_ || bytes.empty() || reply_to_head_)
    return;
  if (!chunked_) {
    tcp_->Send(bytes);
  } else {
    constexpr int kHex = 16;
    std::array<char, 20> size;
    const auto end = std::to_chars(size.data(), size.data() + size.size(),
                                   bytes.size(), kHex)
                         .ptr;
    std::string chunk(size.data(), end);
    chunk += "\r\n";
    chunk += bytes;
    chunk += "\r\n";
    tcp_->Send(chunk);
  }
  CheckBackpressure();
}

void HttpServerConnection::EndStream() {
  if (ended_)
    return;
  if (chunked_ && !reply_to_head_)
    tcp_->Send(kLastChunk);
  FinishReply();
}

void HttpServerConnection::FinishReply() {
  serving_ = false;
  paused_ = false;
  if (ended_)
    return;
  if (!keep_alive_) {
    idle_since_ = loop_.now();
    EndWhenSent();
    return;
  }
  (void)ReserveUnsent();
  BeginIdlePeriod();
  ReadOn();
}

void HttpServerConnection::ReadOn() {
  // Otherwise a caller that sends requests and takes no replies fills the
  // memory.
  awaits_flush_ = tcp_->unsent() > 0;
  if (discards_ && !awaits_flush_) {
    EndWhenSent();
    return;
  }
  tcp_->SetReading(discards_ || !awaits_flush_);
  if (awaits_flush_) {
    if (!discards_ &&
        !unparsed_reserved_.GrowTo(unparsed_.size() + kMaxKernelUnreadBytes))
      DiscardInput();
    return;
  }
  // Pipelined requests are parsed in the next iteration of the loop rather than
  // within the handler's call.
  if (!unparsed_.empty()) {
    loop_.AddTimer(loop_.now(), [weak = weak_from_this()] {
      if (const auto self = weak.lock())
        self->ParseKept();
    });
    return;
  }
  // The head of a stream that began before the shutdown lacks "Connection:
  // close".
  if (close_after_reply_)
    EndIdle();
}

void HttpServerConnection::Abort() {
  if (ended_)
    return;
  MarkEnded(ConnectionEnd::kAborted);
  tcp_->Abort();
  handler_->OnConnectionEnd(*this);
}

void HttpServerConnection::CloseWhenIdle() {
  close_after_reply_ = true;
  if (ended_ || ending_ || serving_ || parser_.begun() || !unparsed_.empty())
    return;
  EndIdle();
}

void HttpServerConnection::RefuseUnfinished() {
  if (!ending_ && !serving_ && parser_.begun())
    Reject(kRequestTimeout);
}

ConnectionActivity HttpServerConnection::activity() const {
  if (serving_)
    return {.state = ConnectionState::kServing};
  if (ending_ || awaits_flush_)
    return {.state = ConnectionState::kSending, .since = idle_since_};
  if (!parser_.begun() && unparsed_.empty())
    return {.state = ConnectionState::kIdle, .since = idle_since_};
  return {.state = ConnectionState::kReading,
          .since = request_began_,
          .bytes_per_second = arrival_rate_.BytesPerSecond(loop_.now())};
}

void HttpServerConnection::Reclaim() {
  const auto self = shared_from_this();
  switch (activity().state) {
    case ConnectionState::kServing:
      return;
    case ConnectionState::kSending:
      Abort();
      return;
    case ConnectionState::kReading:
      Reject(kRequestTimeout);
      return;
    case ConnectionState::kIdle:
      EndIdle();
      return;
  }
}

void HttpServerConnection::EndIdle() {
  // The request is read in the next iteration of the loop; its reply announces
  // the close.
  close_after_reply_ = true;
  if (tcp_->HasInput())
    return;
  if (tcp_->undelivered() > 0) {
    loop_.CancelTimer(delivery_timer_);
    delivery_timer_ = loop_.AddTimer(loop_.now() + kDeliveryCheckInterval,
                                     [weak = weak_from_this()] {
                                       if (const auto self = weak.lock())
                                         self->CloseWhenIdle();
                                     });
    return;
  }
  MarkEnded(ConnectionEnd::kIdle);
  tcp_->CloseUnread();
  handler_->OnConnectionEnd(*this);
}

void HttpServerConnection::EndWhenSent() {
  if (tcp_->unsent() == 0) {
    End();
    return;
  }
  ending_ = true;
  loop_.CancelTimer(timer_);
  tcp_->SetReading(true);
}

void HttpServerConnection::End() {
  if (ended_)
    return;
  MarkEnded(ConnectionEnd::kAfterReply);
  const bool refuses_body = too_large_ || no_room_;
  tcp_->CloseAfterFlush(refuses_body ? kMaxDiscardTime
                                     : TcpConnection::kLinger);
  handler_->OnConnectionEnd(*this);
}

void HttpServerConnection::MarkEnded(ConnectionEnd end) {
  ended_ = true;
  end_ = end;
  left_unread_ = tcp_->HasInput();
  if (slot_ != nullptr)
    slot_->OnEnded(loop_.now());
  slot_.reset();
  loop_.CancelTimer(timer_);
  loop_.CancelTimer(delivery_timer_);
}

bool HttpServerConnection::ReserveUnsent() {
  const std::size_t unsent = tcp_->unsent();
  if (unsent > 0)
    return unsent_reserved_.GrowTo(unsent);
  unsent_reserved_.Release();
  return true;
}

void HttpServerConnection::CheckBackpressure() {
  const bool has_room = ReserveUnsent();
  const std::size_t unsent = tcp_->unsent();
  const bool is_slow = !has_room || unsent >= limits_.high_water;
  // Once paused, the source waits until all is sent.
  const bool pause = paused_ ? unsent > 0 : is_slow;
  if (pause == paused_)
    return;
  paused_ = pause;
  handler_->OnBackpressure(*this, pause);
}

void HttpServerConnection::OnFlushed() {
  if (ending_) {
    const auto self = shared_from_this();
    End();
    return;
  }
  if (awaits_flush_) {
    unsent_reserved_.Release();
    ReadOn();
    return;
  }
  CheckBackpressure();
}

void HttpServerConnection::OnClosed(CloseReason reason) {
  const auto self = shared_from_this();
  if (ended_)
    return;
  MarkEnded(reason == CloseReason::kPeerEnded ? ConnectionEnd::kCallerEnded
                                              : ConnectionEnd::kFailed);
  if (serving_)
    handler_->OnCallerDisconnected(*this);
  handler_->OnConnectionEnd(*this);
}

}  // namespace carobshift
