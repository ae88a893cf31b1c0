// A call of which only the whole reply matters.
//
//   fetch_.Start(client, loop, address, bytes, options,
//                [this](const FetchOutcome& outcome) { ... });
//
// One call at a time; starting another, or destroying it, cancels the first.
//
// A call is given up when the peer is silent, not when its reply is long: a
// reply that is cut off for its length is asked for again from its first byte,
// and over a small link it would never be whole.

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
  // From the start to the reply's head.
  Milliseconds timeout{2000};
  // From the head on, between two pieces of the reply.
  Milliseconds stall{1000};
  // From the head to the end: a peer that sends byte by byte must not hold a
  // call for ever.
  Milliseconds longest{15000};
  std::size_t max_body = std::size_t{8} << 20;
};

struct FetchOutcome {
  // Nothing if there was no whole reply.
  std::optional<int> status;
  std::string body;
  // False if no byte of the call can have reached the peer.
  bool sent = true;
  // Bytes of the reply's body that came, also where it isn't whole.
  std::size_t received = 0;
  // Of the failure, for logs.
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
  // A reply with a body is on its way.
  [[nodiscard]] bool receiving() const { return active() && !body_.empty(); }

 private:
  ReplyVerdict OnReplyHead(const HttpHead& head,
                           const HttpMessageInfo& info) override;
  void OnReplyBody(std::string_view bytes) override;
  void OnReplyEnd() override;
  void OnCallFailed(const CallFailure& failure) override;
  void ArmTimer();
  void OnTimer();
  void Finish(FetchOutcome outcome);

  EventLoop* loop_ = nullptr;
  std::shared_ptr<ClientCall> call_;
  TimerId timer_;
  FetchOptions options_;
  // Without another piece of the reply, or in any case, it is given up then.
  MonotonicTime quiet_until_{};
  std::optional<MonotonicTime> ends_;
  Done done_;
  int status_ = 0;
  std::string body_;
};

// The bytes of a request with a body and the length that belongs to it.
[[nodiscard]] std::string SerializeRequest(HttpHead head,
                                           const NetAddress& address,
                                           std::string_view body);

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_HTTP_FETCH_H_
