// HttpClient makes HTTP/1.1 calls in the event loop over persistent
// connections.
//
//   HttpClient client(loop, options);
//   std::shared_ptr<ClientCall> call =
//       client.Start(address, bytes, {}, listener);
//   call->Cancel();
//
// A connection carries one call at a time. It is kept open only if its last
// call completed and both sides want to keep it.
//
// Failures and how they are handled:
//
// - An idle connection has died unnoticed; the next call on it is lost with an
//   unknown outcome. HttpCallOptions::max_idle limits the idle time of the
//   connection used for a call, and CallFailure reports whether bytes were
//   sent.
// - An idle connection was closed by its peer, and the loop has not seen it
//   yet, for example as the process was busy. Each idle connection is looked at
//   before a call is sent on it.
// - A late reply to an earlier call arrives in place of this call's reply. The
//   listener examines each reply's head and skips replies to other calls.
// - A late copy of the reply to an earlier attempt of the same request arrives
//   in place of this attempt's reply. It bears the same id, so no listener can
//   tell; HttpCallOptions::reply_key keeps the attempt off the connections on
//   which such a copy may be due.
// - The reason for a call ends while its connection is being established:
//   HttpCallOptions::may_send is asked then.
// - Bytes arrive after a complete reply or on an idle connection. They belong
//   to no call; the connection is closed.
// - A peer in trouble sends bytes without end: interim replies, a reply that is
//   skipped, or the body of a reply that is no answer. Each has a limit, at
//   which the call fails as kMalformed and the connection is reset.
// - The reply is complete before the whole request has been sent. The peer
//   would read the rest of the request as the next one, so the connection is
//   closed.

#ifndef CAROBSHIFT_NET_HTTP_CLIENT_H_
#define CAROBSHIFT_NET_HTTP_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/byte_budget.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/shared_bytes.h"
#include "carobshift/base/strong_type.h"
#include "carobshift/net/event_loop.h"
#include "carobshift/net/http_parser.h"
#include "carobshift/net/tcp_connection.h"

namespace carobshift {

enum class CallFault {
  // No connection was established; nothing was sent.
  kNotConnected,
  // The address is at its connection limit; nothing was sent.
  kConnectionLimit,
  // The connection was closed or reset before the reply was complete.
  kBroken,
  // The bytes received are not a valid HTTP reply.
  kMalformed,
  // The call was withdrawn by this side before a reply began.
  kWithdrawn,
  // The call was given up by this side because the peer sent nothing for too
  // long on a connection that was still open.
  kSilent,
};

// Returns the name of the fault for logs.
[[nodiscard]] std::string_view CallFaultName(CallFault fault);

struct CallFailure {
  CallFault fault = CallFault::kBroken;
  // Whether any byte of the call may have reached the peer.
  bool sent = true;
  // Whether the connection had served an earlier call.
  bool reused = false;
};

enum class ReplyDisposition {
  kAccept,
  // The reply belongs to another call.
  kSkip,
  // The reply is no answer. Its body is delivered, up to kMaxShortReplyBytes.
  kAcceptShort,
};

// Receives the events of one call. The last event is either OnReplyEnd or
// OnCallFailed; a cancelled call gets neither.
class HttpCallListener {
 public:
  virtual ~HttpCallListener() = default;
  virtual ReplyDisposition OnReplyHead(const HttpHead& head,
                                       const HttpMessageInfo& info) = 0;
  virtual void OnReplyBody(std::string_view bytes) = 0;
  virtual void OnReplyEnd() = 0;
  virtual void OnCallFailed(const CallFailure& failure) = 0;
};

// Receives the events of all connections of a client, by peer address. Each
// OnConnectStarted is followed by one of OnConnected, OnConnectFailed and
// OnConnectAbandoned, each OnRequestSent by OnRequestEnded. Must not call the
// client.
class HttpClientObserver {
 public:
  virtual ~HttpClientObserver() = default;
  virtual void OnConnectStarted(const NetAddress& address) = 0;
  virtual void OnConnected(const NetAddress& address) = 0;
  // The connection was refused, or took longer than its time limit.
  virtual void OnConnectFailed(const NetAddress& address) = 0;
  // The attempt was ended by this side, with unknown outcome.
  virtual void OnConnectAbandoned(const NetAddress& address) = 0;
  virtual void OnRequestSent(const NetAddress& address) = 0;
  virtual void OnRequestEnded(const NetAddress& address) = 0;
  virtual void OnBytesReceived(const NetAddress& address) = 0;
  // An established connection was reset or timed out.
  virtual void OnConnectionBroken(const NetAddress& address) = 0;
};

// A digest of the id by which a peer's reply names the request that it answers.
// Calls with the same key have replies that can't be told apart.
using ReplyKey = StrongType<struct ReplyKeyTag, std::uint64_t>;

struct HttpCallOptions {
  Milliseconds connect_timeout{1000};
  // Maximum idle time of a connection that is reused for this call.
  Milliseconds max_idle{60000};
  bool is_head_request = false;
  // If set, the call doesn't use a connection that has lately carried one with
  // the same key.
  std::optional<ReplyKey> reply_key{};
  // Sent behind the bytes of the call.
  SharedBytes body{};
  // Asked right before the first byte is sent on a connection that the call had
  // to wait for; the call fails as kWithdrawn if it returns false. May be null.
  std::function<bool()> may_send{};
};

class HttpClientConnection;
class HttpClient;

// Counts the connections that a client has opened, from 1 on.
using ConnectionNumber = StrongType<struct ConnectionNumberTag, std::uint64_t>;

// Which call of which connection a call is, for logs.
struct ConnectionUse {
  ConnectionNumber connection;
  // Counts the calls of the connection, from 1 on.
  std::uint64_t call = 0;
};

// A call in progress.
class ClientCall {
 public:
  // Cancels the call and closes its connection. No listener call follows. Bytes
  // of the request that are on their way still arrive, after seconds if a
  // partition holds them back.
  void Cancel();
  // The same, but resets the connection: such bytes are dropped.
  void Abort();
  // Stops or resumes reading the reply.
  void SetReading(bool reading);
  [[nodiscard]] bool active() const { return connection_ != nullptr; }
  // Returns whether any byte of the call may have reached the peer.
  [[nodiscard]] bool sent() const;
  // Returns the connection that the call has been given, if any. Stays valid
  // after the call's end.
  [[nodiscard]] const std::optional<ConnectionUse>& use() const { return use_; }

 private:
  friend class HttpClientConnection;
  friend class HttpClient;
  void End(void (HttpClientConnection::*end)());

  std::shared_ptr<HttpClientConnection> connection_;
  std::optional<ConnectionUse> use_;
};

struct HttpClientOptions {
  TcpOptions tcp;
  // Idle connections are closed this long before the peer's announced
  // keep-alive timeout. The peer announces it in whole seconds; one second
  // covers the rounding and the network delay.
  Milliseconds idle_margin{1000};
  // Idle timeout for a peer that announces none.
  Milliseconds default_idle{4000};
  std::size_t max_head_bytes = std::size_t{64} << 10;
  // Bounds what listeners hold of the replies to all calls of this client and
  // of others with the same budget: HttpFetch by itself, others by
  // reply_budget(). Must outlive the calls. Null for no bound.
  ByteBudget* reply_budget = nullptr;

  // Interim replies (1xx) to one call.
  static constexpr int kMaxInterimReplies = 16;
  // Body bytes of one call's replies that are skipped or no answer.
  static constexpr std::size_t kMaxShortReplyBytes = std::size_t{1} << 20;
};

struct HttpClientCounters {
  std::uint64_t calls = 0;
  std::uint64_t connections_opened = 0;
  std::uint64_t unsolicited_replies = 0;
};

class HttpClient {
 public:
  HttpClient(EventLoop& loop, const HttpClientOptions& options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends `bytes`, a complete request unless its body is in the options. The
  // listener must live until its last event or Cancel(). No listener call is
  // made before this function returns.
  std::shared_ptr<ClientCall> Start(const NetAddress& address,
                                    std::string bytes,
                                    const HttpCallOptions& options,
                                    HttpCallListener* listener);

  // Opens a connection that the next call to the address uses. Returns false if
  // the address is at its connection limit.
  bool OpenConnection(const NetAddress& address, Milliseconds connect_timeout);
  // The observer must live until it is replaced. Null for none.
  void SetObserver(HttpClientObserver* observer) { observer_ = observer; }

  // Limits the number of connections to the address, including idle ones. 0
  // means no limit.
  void SetConnectionLimit(const NetAddress& address, int limit);
  // Closes the idle connections to the address and removes its state if no call
  // is in progress.
  void RemoveAddress(const NetAddress& address);
  // Closes connections past their idle timeout; call about once per second.
  void CloseIdle(MonotonicTime now);

  [[nodiscard]] const HttpClientCounters& counters() const { return counters_; }
  [[nodiscard]] ByteBudget* reply_budget() const {
    return options_.reply_budget;
  }
  [[nodiscard]] int OpenConnections(const NetAddress& address) const;
  // Returns whether a call to the address would get a connection now.
  [[nodiscard]] bool HasFreeConnection(const NetAddress& address) const;

 private:
  friend class HttpClientConnection;
  struct Peer {
    int open = 0;
    int limit = 0;
    // Most recently used connection last.
    std::vector<std::shared_ptr<HttpClientConnection>> idle;
    // Connections that are being opened without a call.
    std::vector<std::shared_ptr<HttpClientConnection>> opening;
  };
  using ObserverEvent = void (HttpClientObserver::*)(const NetAddress&);

  // Starts to open a connection, which counts as open from now on.
  [[nodiscard]] std::shared_ptr<HttpClientConnection> CreateConnection(
      const NetAddress& address,
      Peer& peer,
      Milliseconds connect_timeout);
  // Returns the most recently used idle connection that may carry the call, or
  // null.
  [[nodiscard]] std::shared_ptr<HttpClientConnection> TakeIdleConnection(
      Peer& peer,
      const HttpCallOptions& options);
  // Makes room for a new connection, if the address is at its limit, by closing
  // an idle one that may not carry the call. Returns false if there is none.
  [[nodiscard]] static bool MakeRoom(Peer& peer);
  void OnConnectionIdle(
      const std::shared_ptr<HttpClientConnection>& connection);
  void OnConnectionClosed(HttpClientConnection* connection);
  void Notify(ObserverEvent event, const NetAddress& address);

  EventLoop& loop_;
  HttpClientOptions options_;
  HttpClientCounters counters_;
  std::map<NetAddress, Peer> peers_;
  HttpClientObserver* observer_ = nullptr;
};

// A connection to a peer. Used by HttpClient only.
class HttpClientConnection
    : public TcpConnectionHandler,
      private HttpSink,
      public std::enable_shared_from_this<HttpClientConnection> {
 public:
  HttpClientConnection(HttpClient& client,
                       const NetAddress& address,
                       ConnectionNumber number);

  void Open(Milliseconds connect_timeout);
  void Begin(std::string bytes,
             const HttpCallOptions& options,
             HttpCallListener* listener,
             const std::shared_ptr<ClientCall>& call);
  // Close the connection without notifying the listener.
  void Close() { End(&TcpConnection::Close); }
  void Abort() { End(&TcpConnection::Abort); }
  void SetReading(bool reading);

  [[nodiscard]] const NetAddress& address() const { return address_; }
  // The current call.
  [[nodiscard]] ConnectionUse use() const { return {number_, calls_}; }
  [[nodiscard]] MonotonicTime idle_since() const { return idle_since_; }
  [[nodiscard]] Milliseconds idle_limit() const { return idle_limit_; }
  [[nodiscard]] bool sent() const { return sent_; }
  [[nodiscard]] bool alive() const { return tcp_ && !tcp_->closed(); }
  // Whether an idle connection may carry a call: neither its end nor bytes that
  // belong to no call have arrived.
  [[nodiscard]] bool reusable() const { return alive() && !tcp_->HasInput(); }
  // Whether one of the last kRememberedCalls calls had this key, so that a copy
  // of its reply may still arrive.
  [[nodiscard]] bool HasCarried(ReplyKey key) const;

  void OnConnected() override;
  void OnData(std::string_view bytes) override;
  void OnClosed(CloseReason reason) override;

 private:
  void OnHead(HttpHead head, const HttpMessageInfo& info) override;
  void OnBody(std::string_view bytes) override;
  // A copy arrives where the next reply is due. The rest covers peers that send
  // several copies, or hold them back for longer.
  static constexpr std::size_t kRememberedCalls = 32;

  void OnMessageEnd();
  void Fail(CallFault fault);
  // Whether the peer has sent more than the call bears beside an answer.
  [[nodiscard]] bool ExceedsLimits() const;
  void End(void (TcpConnection::*close)());
  void BecomeIdle();
  void OnRequestSent();
  void SendRequest(std::string bytes, const SharedBytes& body);
  void Remember(const std::optional<ReplyKey>& key);
  // Reports the end of the attempt to connect, if one is in progress.
  void EndConnecting(HttpClient::ObserverEvent outcome);
  void UpdateKeepAlive(const HttpHead& head, const HttpMessageInfo& info);
  // Ends the association with the call and returns its listener, which gets no
  // further events from this connection.
  HttpCallListener* DetachListener();

  HttpClient& client_;
  NetAddress address_;
  ConnectionNumber number_;
  std::uint64_t calls_ = 0;
  // The keys of the last calls that had one, the oldest first.
  std::deque<ReplyKey> carried_;
  std::shared_ptr<TcpConnection> tcp_;
  HttpParser parser_;
  HttpCallListener* listener_ = nullptr;
  std::shared_ptr<ClientCall> call_;
  std::string unsent_request_;
  SharedBytes unsent_body_;
  std::function<bool()> may_send_;
  TimerId connect_timer_;
  bool connecting_ = false;
  bool request_open_ = false;
  bool is_head_request_ = false;
  bool sent_ = false;
  bool reused_ = false;
  bool skipping_reply_ = false;
  bool interim_reply_ = false;
  bool short_reply_ = false;
  int interim_replies_ = 0;
  std::size_t short_reply_bytes_ = 0;
  bool keep_connection_ = true;
  MonotonicTime idle_since_{};
  Milliseconds idle_limit_{0};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_HTTP_CLIENT_H_
