// HttpFetch makes an HTTP call and delivers the complete reply to a callback.
//
//   fetch_.Start(client, loop, address, bytes, options,
//                [this](const FetchOutcome& outcome) { ... });
//
// Each object runs one call at a time; starting another one or destroying the
// object cancels it.
//
// The timeout of a reply applies to the time between two of its pieces rather
// than to its total length. If a long reply over a slow link were cut off at a
// fixed time, each retry would start again at its first byte, and the reply
// would never complete.
//
// A peer in trouble may send a reply that is no answer, without end. What one
// reply may hold is FetchOptions::max_body, and what all replies hold in sum
// the client's HttpClientOptions::reply_budget. A call whose reply exceeds
// either fails like a broken one; its connection is reset, and
// `reply_given_up` is logged.

#ifndef CAROBSHIFT_NET_HTTP_FETCH_H_
#define CAROBSHIFT_NET_HTTP_FETCH_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "carobshift/net/http_client.h"

namespace carobshift {

struct FetchOptions {
  HttpCallOptions call;
  // From the start of the call to the reply's head.
  Milliseconds timeout{2000};
  // Between two pieces of the reply, starting at its head.
  Milliseconds stall_timeout{1000};
  // From the reply's head to its end. Bounds a call to a peer that sends one
  // byte at a time.
  Milliseconds max_reply_time{15000};
  // Enough for a reply that is neither a list nor records.
  std::size_t max_body = std::size_t{64} << 10;
  // Optional replies are given up first when the client's budget is scarce.
  ByteImportance importance = ByteImportance::kRequired;
};

struct FetchOutcome {
  // HTTP status; nullopt if there was no complete reply.
  std::optional<int> status;
  std::string body;
  // False if no byte of the call can have reached the peer.
  bool sent = true;
  // Bytes of the reply's body received, even if the reply is incomplete.
  std::size_t received = 0;
  // Reason of the failure, for logs.
  std::string_view reason;
};

class HttpFetch : private HttpCallListener {
 public:
  using Done = std::function<void(const FetchOutcome&)>;

  HttpFetch() = default;
  ~HttpFetch() override;
  HttpFetch(const HttpFetch&) = delete;
  HttpFetch& operator=(const HttpFetch&) = delete;

  void Start(HttpClient& client,
             EventLoop& loop,
             const NetAddress& address,
             std::string bytes,
             const FetchOptions& options,
             Done done);
  void Cancel();
  [[nodiscard]] bool active() const { return done_ != nullptr; }
  // Returns whether part of a reply's body has been received.
  [[nodiscard]] bool receiving() const { return active() && !body_.empty(); }

 private:
  ReplyDisposition OnReplyHead(const HttpHead& head,
                               const HttpMessageInfo& info) override;
  void OnReplyBody(std::string_view bytes) override;
  void OnReplyEnd() override;
  void OnCallFailed(const CallFailure& failure) override;
  void ArmTimer();
  void OnTimer();
  // Makes room for `size` bytes of body altogether. Returns the reason why
  // there is none, or an empty text.
  [[nodiscard]] std::string_view Reserve(std::size_t size);
  void GiveUp(std::string_view reason);
  void Finish(FetchOutcome outcome);

  EventLoop* loop_ = nullptr;
  std::shared_ptr<ClientCall> call_;
  TimerId timer_;
  FetchOptions options_;
  // Times at which the call is abandoned: `stall_deadline_` moves with each
  // piece of the reply, `reply_deadline_` is fixed when the reply's head
  // arrives.
  MonotonicTime stall_deadline_{};
  std::optional<MonotonicTime> reply_deadline_;
  Done done_;
  NetAddress address_;
  int status_ = 0;
  std::string body_;
  // Of the capacity of `body_`.
  ByteReservation held_;
};

// Serializes a request with Host, Content-Length and the body.
[[nodiscard]] std::string SerializeRequest(HttpHead head,
                                           const NetAddress& address,
                                           std::string_view body);

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_HTTP_FETCH_H_
