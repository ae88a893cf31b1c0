#include "carobshift/net/http_client.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace carobshift {
namespace {

constexpr std::string_view kTimeoutParameter = "timeout=";
constexpr int kFirstFinalStatus = 200;
// Bodies up to this size are copied behind their head and leave in one segment
// with it.
constexpr std::size_t kMaxCopiedBody = std::size_t{16} << 10;

// Returns the value of "timeout=N" in a Keep-Alive field.
std::optional<Seconds> KeepAliveTimeout(std::string_view value) {
  const std::size_t at = value.find(kTimeoutParameter);
  if (at == std::string_view::npos)
    return std::nullopt;
  value.remove_prefix(at + kTimeoutParameter.size());
  int seconds = 0;
  const auto parsed =
      std::from_chars(value.data(), value.data() + value.size(), seconds);
  if (parsed.ec != std::errc())
    return std::nullopt;
  return Seconds(seconds);
}

}  // namespace

std::string_view CallFaultName(CallFault fault) {
  switch (fault) {
    case CallFault::kNotConnected:
      return "not_connected";
    case CallFault::kConnectionLimit:
      return "connection_limit";
    case CallFault::kBroken:
      return "connection_broken";
    case CallFault::kMalformed:
      return "malformed_reply";
    case CallFault::kWithdrawn:
      return "withdrawn";
    case CallFault::kSilent:
      return "silent";
  }
  return "unknown";
}

void ClientCall::Cancel() {
  End(&HttpClientConnection::Close);
}

void ClientCall::Abort() {
  End(&HttpClientConnection::Abort);
}

void ClientCall::End(void (HttpClientConnection::*end)()) {
  if (connection_ == nullptr)
    return;
  const auto connection = std::move(connection_);
  connection_.reset();
  (connection.get()->*end)();
}

bool ClientCall::sent() const {
  return connection_ == nullptr || connection_->sent();
}

void ClientCall::SetReading(bool reading) {
  if (connection_ != nullptr)
    connection_->SetReading(reading);
}

HttpClient::HttpClient(EventLoop& loop, const HttpClientOptions& options)
    : loop_(loop), options_(options) {}

HttpClient::~HttpClient() {
  for (auto& [address, peer] : peers_) {
    auto unused = std::exchange(peer.idle, {});
    unused.insert(unused.end(), peer.opening.begin(), peer.opening.end());
    for (const auto& connection : unused)
      connection->Close();
  }
}

void HttpClient::Notify(ObserverEvent event, const NetAddress& address) {
  if (observer_ != nullptr)
    (observer_->*event)(address);
}

bool HttpClient::OpenConnection(const NetAddress& address,
                                Milliseconds connect_timeout) {
  Peer& peer = peers_[address];
  if (peer.limit > 0 && peer.open >= peer.limit)
    return false;
  peer.opening.push_back(CreateConnection(address, peer, connect_timeout));
  return true;
}

std::shared_ptr<HttpClientConnection> HttpClient::CreateConnection(
    const NetAddress& address,
    Peer& peer,
    Milliseconds connect_timeout) {
  ++peer.open;
  ++counters_.connections_opened;
  auto connection = std::make_shared<HttpClientConnection>(
      *this, address, ConnectionNumber(counters_.connections_opened));
  connection->Open(connect_timeout);
  return connection;
}

std::shared_ptr<ClientCall> HttpClient::Start(const NetAddress& address,
                                              std::string bytes,
                                              const HttpCallOptions& options,
                                              HttpCallListener* listener) {
  ++counters_.calls;
  auto call = std::make_shared<ClientCall>();
  Peer& peer = peers_[address];
  std::shared_ptr<HttpClientConnection> connection =
      TakeIdleConnection(peer, options);
  if (connection == nullptr) {
    if (!MakeRoom(peer)) {
      // The call fails in the next iteration, unless its owner has released it
      // by then and this lambda holds the only reference.
      loop_.AddTimer(loop_.now(), [call, listener] {
        if (call.use_count() > 1)
          listener->OnCallFailed(
              {CallFault::kConnectionLimit, /*sent=*/false, false});
      });
      return call;
    }
    connection = CreateConnection(address, peer, options.connect_timeout);
  }
  call->connection_ = connection;
  connection->Begin(std::move(bytes), options, listener, call);
  call->use_ = connection->use();
  return call;
}

std::shared_ptr<HttpClientConnection> HttpClient::TakeIdleConnection(
    Peer& peer,
    const HttpCallOptions& options) {
  for (std::size_t i = peer.idle.size(); i-- > 0;) {
    const auto connection = peer.idle[i];
    const auto idle = loop_.now() - connection->idle_since();
    // The remaining connections have been idle for longer.
    if (idle > options.max_idle)
      return nullptr;
    const bool usable =
        idle < connection->idle_limit() && connection->reusable();
    if (usable && options.reply_key &&
        connection->HasCarried(*options.reply_key))
      continue;
    peer.idle.erase(peer.idle.begin() + static_cast<std::ptrdiff_t>(i));
    if (usable)
      return connection;
    connection->Close();
  }
  return nullptr;
}

bool HttpClient::MakeRoom(Peer& peer) {
  if (peer.limit <= 0 || peer.open < peer.limit)
    return true;
  if (peer.idle.empty())
    return false;
  const auto oldest = peer.idle.front();
  peer.idle.erase(peer.idle.begin());
  oldest->Close();
  return peer.open < peer.limit;
}

void HttpClient::SetConnectionLimit(const NetAddress& address, int limit) {
  peers_[address].limit = limit;
}

void HttpClient::RemoveAddress(const NetAddress& address) {
  const auto found = peers_.find(address);
  if (found == peers_.end())
    return;
  auto unused = std::exchange(found->second.idle, {});
  const auto& opening = found->second.opening;
  unused.insert(unused.end(), opening.begin(), opening.end());
  for (const auto& connection : unused)
    connection->Close();
  if (found->second.open == 0)
    peers_.erase(found);
}

void HttpClient::CloseIdle(MonotonicTime now) {
  std::vector<std::shared_ptr<HttpClientConnection>> expired;
  for (auto& [address, peer] : peers_) {
    std::erase_if(peer.idle, [&](const auto& connection) {
      const bool is_expired =
          now - connection->idle_since() >= connection->idle_limit();
      if (is_expired)
        expired.push_back(connection);
      return is_expired;
    });
  }
  for (const auto& connection : expired)
    connection->Close();
}

int HttpClient::OpenConnections(const NetAddress& address) const {
  const auto found = peers_.find(address);
  return found == peers_.end() ? 0 : found->second.open;
}

bool HttpClient::HasFreeConnection(const NetAddress& address) const {
  const auto found = peers_.find(address);
  if (found == peers_.end())
    return true;
  const Peer& peer = found->second;
  return peer.limit <= 0 || peer.open < peer.limit || !peer.idle.empty();
}

void HttpClient::OnConnectionIdle(
    const std::shared_ptr<HttpClientConnection>& connection) {
  Peer& peer = peers_[connection->address()];
  std::erase(peer.opening, connection);
  peer.idle.push_back(connection);
}

void HttpClient::OnConnectionClosed(HttpClientConnection* connection) {
  const auto found = peers_.find(connection->address());
  if (found == peers_.end())
    return;
  Peer& peer = found->second;
  --peer.open;
  const auto is_closed = [connection](const auto& unused) {
    return unused.get() == connection;
  };
  std::erase_if(peer.idle, is_closed);
  std::erase_if(peer.opening, is_closed);
}

HttpClientConnection::HttpClientConnection(HttpClient& client,
                                           const NetAddress& address,
                                           ConnectionNumber number)
    : client_(client),
      address_(address),
      number_(number),
      parser_(HttpParser::Kind::kReply,
              {.head_bytes = client.options_.max_head_bytes},
              *this) {}

void HttpClientConnection::Open(Milliseconds connect_timeout) {
  tcp_ = TcpConnection::Connect(client_.loop_, address_, client_.options_.tcp,
                                this);
  connect_timer_ = client_.loop_.AddTimer(
      MonotonicNow() + connect_timeout,
      [self = shared_from_this()] { self->Fail(CallFault::kNotConnected); });
  connecting_ = true;
  client_.Notify(&HttpClientObserver::OnConnectStarted, address_);
}

void HttpClientConnection::EndConnecting(HttpClient::ObserverEvent outcome) {
  if (std::exchange(connecting_, false))
    client_.Notify(outcome, address_);
}

void HttpClientConnection::OnRequestSent() {
  sent_ = true;
  request_open_ = true;
  client_.Notify(&HttpClientObserver::OnRequestSent, address_);
}

void HttpClientConnection::Begin(std::string bytes,
                                 const HttpCallOptions& options,
                                 HttpCallListener* listener,
                                 const std::shared_ptr<ClientCall>& call) {
  ++calls_;
  Remember(options.reply_key);
  listener_ = listener;
  call_ = call;
  is_head_request_ = options.is_head_request;
  skipping_reply_ = interim_reply_ = short_reply_ = false;
  interim_replies_ = 0;
  short_reply_bytes_ = 0;
  keep_connection_ = true;
  parser_.Reset(is_head_request_);
  if (tcp_->connected()) {
    OnRequestSent();
    SendRequest(bytes, options.body);
  } else {
    sent_ = false;
    unsent_request_ = std::move(bytes);
    unsent_body_ = options.body;
    may_send_ = options.may_send;
  }
}

void HttpClientConnection::SendRequest(std::string bytes,
                                       const SharedBytes& body) {
  const bool copies_body = body.size() <= kMaxCopiedBody;
  if (copies_body)
    bytes += body.view();
  tcp_->Send(bytes);
  if (!copies_body)
    tcp_->SendShared(body);
}

void HttpClientConnection::Remember(const std::optional<ReplyKey>& key) {
  if (!key)
    return;
  carried_.push_back(*key);
  if (carried_.size() > kRememberedCalls)
    carried_.pop_front();
}

bool HttpClientConnection::HasCarried(ReplyKey key) const {
  return std::find(carried_.begin(), carried_.end(), key) != carried_.end();
}

void HttpClientConnection::OnConnected() {
  const auto self = shared_from_this();
  client_.loop_.CancelTimer(connect_timer_);
  EndConnecting(&HttpClientObserver::OnConnected);
  if (listener_ == nullptr) {
    idle_limit_ = client_.options_.default_idle;
    BecomeIdle();
    return;
  }
  if (may_send_ && !may_send_()) {
    Fail(CallFault::kWithdrawn);
    return;
  }
  OnRequestSent();
  SendRequest(std::exchange(unsent_request_, {}),
              std::exchange(unsent_body_, {}));
}

void HttpClientConnection::SetReading(bool reading) {
  if (alive())
    tcp_->SetReading(reading);
}

void HttpClientConnection::BecomeIdle() {
  idle_since_ = client_.loop_.now();
  tcp_->SetReading(true);
  client_.OnConnectionIdle(shared_from_this());
}

void HttpClientConnection::End(void (TcpConnection::*close)()) {
  const auto self = shared_from_this();
  client_.loop_.CancelTimer(connect_timer_);
  EndConnecting(&HttpClientObserver::OnConnectAbandoned);
  DetachListener();
  if (tcp_ == nullptr)
    return;
  const auto tcp = std::move(tcp_);
  tcp_.reset();
  (tcp.get()->*close)();
  client_.OnConnectionClosed(this);
}

HttpCallListener* HttpClientConnection::DetachListener() {
  if (call_ != nullptr)
    call_->connection_.reset();
  call_.reset();
  if (std::exchange(request_open_, false))
    client_.Notify(&HttpClientObserver::OnRequestEnded, address_);
  return std::exchange(listener_, nullptr);
}

void HttpClientConnection::Fail(CallFault fault) {
  const auto self = shared_from_this();
  EndConnecting(&HttpClientObserver::OnConnectFailed);
  const CallFailure failure{fault, sent_, reused_};
  HttpCallListener* const listener = DetachListener();
  // A peer that sends no answer may go on doing so.
  if (fault == CallFault::kMalformed)
    Abort();
  else
    Close();
  if (listener != nullptr)
    listener->OnCallFailed(failure);
}

void HttpClientConnection::OnData(std::string_view bytes) {
  const auto self = shared_from_this();
  client_.Notify(&HttpClientObserver::OnBytesReceived, address_);
  if (listener_ == nullptr) {
    ++client_.counters_.unsolicited_replies;
    Close();
    return;
  }
  while (!bytes.empty() && listener_ != nullptr) {
    const HttpParser::Progress progress = parser_.Feed(bytes);
    // The listener may have cancelled the call.
    if (listener_ == nullptr)
      return;
    bytes.remove_prefix(progress.consumed);
    const bool partial = progress.state == HttpParser::State::kPartial;
    if (partial && !ExceedsLimits())
      return;
    if (progress.state != HttpParser::State::kComplete || ExceedsLimits()) {
      Fail(CallFault::kMalformed);
      return;
    }
    if (!bytes.empty() && !skipping_reply_ && !interim_reply_) {
      ++client_.counters_.unsolicited_replies;
      keep_connection_ = false;
    }
    OnMessageEnd();
  }
}

bool HttpClientConnection::ExceedsLimits() const {
  return interim_replies_ > HttpClientOptions::kMaxInterimReplies ||
         short_reply_bytes_ > HttpClientOptions::kMaxShortReplyBytes;
}

void HttpClientConnection::OnHead(HttpHead head, const HttpMessageInfo& info) {
  if (listener_ == nullptr)
    return;
  interim_reply_ = head.status < kFirstFinalStatus;
  if (interim_reply_) {
    ++interim_replies_;
    return;
  }
  const ReplyDisposition disposition = listener_->OnReplyHead(head, info);
  skipping_reply_ = disposition == ReplyDisposition::kSkip;
  short_reply_ = disposition == ReplyDisposition::kAcceptShort;
  if (skipping_reply_) {
    ++client_.counters_.unsolicited_replies;
    // Without a length, the skipped reply ends only with the connection.
    if (info.framing == HttpBodyFraming::kUntilClose)
      keep_connection_ = false;
    return;
  }
  UpdateKeepAlive(head, info);
}

void HttpClientConnection::UpdateKeepAlive(const HttpHead& head,
                                           const HttpMessageInfo& info) {
  keep_connection_ = keep_connection_ && info.keep_alive && !info.http_1_0 &&
                     info.framing != HttpBodyFraming::kUntilClose;
  idle_limit_ = client_.options_.default_idle;
  const auto field = head.Find("Keep-Alive");
  if (!field)
    return;
  if (const auto timeout = KeepAliveTimeout(*field)) {
    idle_limit_ = std::max<Milliseconds>(
        Milliseconds(0), *timeout - client_.options_.idle_margin);
  }
}

void HttpClientConnection::OnBody(std::string_view bytes) {
  if (skipping_reply_ || short_reply_)
    short_reply_bytes_ += bytes.size();
  if (listener_ != nullptr && !skipping_reply_ && !ExceedsLimits())
    listener_->OnReplyBody(bytes);
}

void HttpClientConnection::OnMessageEnd() {
  if (skipping_reply_ || interim_reply_) {
    skipping_reply_ = interim_reply_ = false;
    parser_.Reset(is_head_request_);
    return;
  }
  const auto self = shared_from_this();
  HttpCallListener* const listener = DetachListener();
  reused_ = true;
  if (keep_connection_ && alive() && tcp_->unsent() == 0) {
    BecomeIdle();
  } else {
    Close();
  }
  listener->OnReplyEnd();
}

void HttpClientConnection::OnClosed(CloseReason reason) {
  const auto self = shared_from_this();
  if (connecting_)
    EndConnecting(&HttpClientObserver::OnConnectFailed);
  else if (reason == CloseReason::kFailed)
    client_.Notify(&HttpClientObserver::OnConnectionBroken, address_);
  // A peer that ends its side while it still gets the request may have failed
  // within a reply that has no length.
  const bool ended = reason == CloseReason::kPeerEnded &&
                     !tcp_->ended_early() && listener_ != nullptr &&
                     !skipping_reply_ && parser_.head_done() &&
                     parser_.FeedEnd() == HttpParser::State::kComplete;
  if (listener_ == nullptr && call_ == nullptr) {
    Close();
    return;
  }
  if (ended && listener_ != nullptr) {
    keep_connection_ = false;
    OnMessageEnd();
    return;
  }
  Fail(sent_ ? CallFault::kBroken : CallFault::kNotConnected);
}

}  // namespace carobshift
