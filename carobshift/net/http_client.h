// HTTP/1.1 calls in the event loop, over kept connections.
//
//   HttpClient client(loop, options);
//   std::shared_ptr<ClientCall> call = client.Start(address, bytes, {},
//   listener); call->Cancel();
//
// One call at a time runs on a connection. A connection is kept only if its
// last call ended whole and both sides want to keep it.
//
// What can go wrong, and what is done:
// - A kept connection has died unnoticed; the next call on it is lost and its
//   outcome open. HttpCallOptions::max_idle bounds how long a connection may
//   have been idle for this call, and the failure says whether bytes were sent.
// - A late answer to an earlier call arrives where this call's is expected. The
//   listener looks at each reply's head and skips what isn't its own.
// - Bytes follow a whole reply, or arrive on an idle connection. They belong to
//   no call; the connection is closed.
// - The reply is complete before the request was sent whole. The rest of the
//   request would be read as the next one, so the connection is not kept.

#ifndef CAROBSHIFT_NET_HTTP_CLIENT_H_
#define CAROBSHIFT_NET_HTTP_CLIENT_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/net_address.h"
#include "carobshift/net/event_loop.h"
#include "carobshift/net/http_parser.h"
#include "carobshift/net/tcp_connection.h"

namespace carobshift {

enum class CallFault {
  // No connection came about; nothing was sent.
  kNotConnected,
  // The address has as many connections as it may; nothing was sent.
  kConnectionLimit,
  // The connection ended, in order or not, before the reply was whole.
  kBroken,
  // What came is no reply.
  kMalformed,
  // The caller's own side took it back before a reply began.
  kWithdrawn,
};

// For logs.
[[nodiscard]] std::string_view CallFaultName(CallFault fault);

struct CallFailure {
  CallFault fault = CallFault::kBroken;
  // Whether some byte of the call may have reached the peer.
  bool sent = true;
  // Whether the connection had served an earlier call.
  bool reused = false;
};

enum class ReplyVerdict { kTake, kSkip };

// Exactly one of OnReplyEnd and OnCallFailed is the last call made, unless the
// call was cancelled; after it no other is made.
class HttpCallListener {
 public:
  virtual ~HttpCallListener() = default;
  // kSkip if the reply belongs to another call.
  virtual ReplyVerdict OnReplyHead(const HttpHead& head,
                                   const HttpMessageInfo& info) = 0;
  virtual void OnReplyBody(std::string_view bytes) = 0;
  virtual void OnReplyEnd() = 0;
  virtual void OnCallFailed(const CallFailure& failure) = 0;
};

struct HttpCallOptions {
  Milliseconds connect_timeout{1000};
  // A kept connection is used only if it was idle for at most this.
  Milliseconds max_idle{60000};
  bool is_head_request = false;
};

class HttpClientConnection;
class HttpClient;

// A call in progress.
class ClientCall {
 public:
  // Ends the call and its connection. No listener call follows.
  void Cancel();
  // Stops or resumes reading the reply.
  void SetReading(bool reading);
  [[nodiscard]] bool active() const { return connection_ != nullptr; }

 private:
  friend class HttpClientConnection;
  friend class HttpClient;
  std::shared_ptr<HttpClientConnection> connection_;
};

struct HttpClientOptions {
  TcpOptions tcp;
  // Idle connections are closed before the peer does, which says in whole
  // seconds how long it keeps them; a second's margin covers the rounding and
  // the way.
  Milliseconds idle_margin{1000};
  // For a peer that says nothing.
  Milliseconds default_idle{4000};
  std::size_t max_head_bytes = std::size_t{64} << 10;
};

struct HttpClientCounters {
  std::uint64_t calls = 0;
  std::uint64_t connections_opened = 0;
  std::uint64_t stray_replies = 0;
};

class HttpClient {
 public:
  HttpClient(EventLoop& loop, const HttpClientOptions& options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends `bytes`, a whole request. The listener must live until its last call
  // or Cancel(). No listener call is made before this returns.
  std::shared_ptr<ClientCall> Start(const NetAddress& address,
                                    std::string bytes,
                                    const HttpCallOptions& options,
                                    HttpCallListener* listener);

  // At most this many connections to the address, idle ones included.
  void SetConnectionLimit(const NetAddress& address, int limit);
  // Closes idle connections to addresses for which `keep` is false.
  void ForgetAddress(const NetAddress& address);
  // Closes connections that were idle for too long; call about once a second.
  void CloseIdle(MonotonicTime now);

  [[nodiscard]] const HttpClientCounters& counters() const { return counters_; }
  [[nodiscard]] int OpenConnections(const NetAddress& address) const;
  // Whether a call to the address would get a connection now.
  [[nodiscard]] bool HasRoom(const NetAddress& address) const;

 private:
  friend class HttpClientConnection;
  struct Peer {
    int open = 0;
    int limit = 0;
    // The one used last is at the back.
    std::vector<std::shared_ptr<HttpClientConnection>> idle;
  };

  [[nodiscard]] std::shared_ptr<HttpClientConnection> TakeIdle(
      Peer& peer,
      Milliseconds max_idle);
  void OnConnectionIdle(
      const std::shared_ptr<HttpClientConnection>& connection);
  void OnConnectionGone(HttpClientConnection* connection);

  EventLoop& loop_;
  HttpClientOptions options_;
  HttpClientCounters counters_;
  std::map<NetAddress, Peer> peers_;
};

// One connection to a peer. Used by HttpClient only.
class HttpClientConnection
    : public TcpConnectionHandler,
      private HttpSink,
      public std::enable_shared_from_this<HttpClientConnection> {
 public:
  HttpClientConnection(HttpClient& client, const NetAddress& address);

  void Open(Milliseconds connect_timeout);
  void Begin(std::string bytes,
             const HttpCallOptions& options,
             HttpCallListener* listener,
             const std::shared_ptr<ClientCall>& call);
  // Ends the connection without telling the listener.
  void Close();
  void SetReading(bool reading);

  [[nodiscard]] const NetAddress& address() const { return address_; }
  [[nodiscard]] MonotonicTime idle_since() const { return idle_since_; }
  [[nodiscard]] Milliseconds idle_limit() const { return idle_limit_; }
  [[nodiscard]] bool alive() const { return tcp_ && !tcp_->closed(); }

  void OnConnected() override;
  void OnData(std::string_view bytes) override;
  void OnClosed(CloseReason reason) override;

 private:
  void OnHead(HttpHead head, const HttpMessageInfo& info) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd();
  void Fail(CallFault fault);
  void NoteKeepAlive(const HttpHead& head, const HttpMessageInfo& info);
  // Gives the call back; nothing more is told to its listener.
  HttpCallListener* TakeListener();

  HttpClient& client_;
  NetAddress address_;
  std::shared_ptr<TcpConnection> tcp_;
  HttpParser parser_;
  HttpCallListener* listener_ = nullptr;
  std::shared_ptr<ClientCall> call_;
  std::string waiting_bytes_;
  TimerId connect_timer_;
  bool is_head_request_ = false;
  bool sent_ = false;
  bool used_before_ = false;
  bool skipping_ = false;
  bool interim_ = false;
  bool keep_ = true;
  MonotonicTime idle_since_{};
  Milliseconds idle_limit_{0};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_HTTP_CLIENT_H_
