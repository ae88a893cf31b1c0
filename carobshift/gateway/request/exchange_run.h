// Connects an Exchange to the caller's connection, the calls of its attempts
// and its deadline timer. The class forwards events and holds no policy.

#ifndef CAROBSHIFT_GATEWAY_REQUEST_EXCHANGE_RUN_H_
#define CAROBSHIFT_GATEWAY_REQUEST_EXCHANGE_RUN_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/request/exchange.h"
#include "carobshift/net/http_client.h"
#include "carobshift/net/http_server_connection.h"

namespace carobshift {

using ReplyDecoder = std::function<ReplyMetadata(const HttpHead&)>;

class ExchangeRun : private CallerReply,
                    public std::enable_shared_from_this<ExchangeRun> {
 public:
  ExchangeRun(EventLoop& loop,
              const RequestDialect& dialect,
              std::shared_ptr<HttpServerConnection> caller,
              ExchangeSetup setup,
              AttemptRunner& attempt_runner);
  ~ExchangeRun() override;

  // May be called again while the request waits for room at an endpoint.
  void Start();
  // For AttemptRunner. `decode_reply` is the dialect's function if it is null.
  void StartCall(AttemptNumber attempt,
                 HttpClient& client,
                 const NetAddress& address,
                 std::string bytes,
                 const HttpCallOptions& options,
                 ReplyDecoder decode_reply = nullptr);
  void DropCall(AttemptNumber attempt);
  void PauseCall(AttemptNumber attempt, bool pause);
  // Returns whether the peer may have received bytes of the call.
  [[nodiscard]] bool CallSent(AttemptNumber attempt) const;

  void OnCallerGone();
  void OnCallerSlow(bool slow) { exchange_.OnCallerSlow(slow); }

  [[nodiscard]] Exchange& exchange() { return exchange_; }
  // When the endpoint of the attempt last sent data, or when the request was
  // sent to it if it hasn't sent any. A paused call may have received data, so
  // the time is `now`.
  [[nodiscard]] MonotonicTime LastReceived(AttemptNumber attempt,
                                           MonotonicTime now) const;
  // The longest pause between two pieces of the answer.
  [[nodiscard]] Microseconds longest_pause() const { return longest_pause_; }

 private:
  void SendWhole(HttpHead head, std::string_view body) override;
  void BeginStream(HttpHead head) override;
  void SendChunk(std::string_view bytes) override;
  void EndStream() override;
  void Abort() override;

  // The call of one attempt.
  class AttemptCall : public HttpCallListener,
                      public std::enable_shared_from_this<AttemptCall> {
   public:
    AttemptCall(ExchangeRun& run,
                AttemptNumber attempt,
                ReplyDecoder decode_reply);

    void Start(HttpClient& client,
               const NetAddress& address,
               std::string bytes,
               const HttpCallOptions& options);
    void Cancel();
    // Cancels the call. Without a reply the endpoint may not have the request
    // yet, and is not to get it any more.
    void Drop();
    void Pause(bool pause);
    [[nodiscard]] AttemptNumber attempt() const { return attempt_; }
    [[nodiscard]] bool sent() const {
      return call_ == nullptr || call_->sent();
    }
    [[nodiscard]] MonotonicTime LastReceived(MonotonicTime now) const {
      return paused_ ? now : last_received_;
    }

   private:
    ReplyDisposition OnReplyHead(const HttpHead& head,
                                 const HttpMessageInfo& info) override;
    void OnReplyBody(std::string_view bytes) override;
    void OnReplyEnd() override;
    void OnCallFailed(const CallFailure& failure) override;

    ExchangeRun& run_;
    AttemptNumber attempt_;
    ReplyDecoder decode_reply_;
    // Logs a reply if it may show that a late copy was taken for an answer.
    void LogReply(const HttpHead& head,
                  const ReplyMetadata& facts,
                  ReplyDisposition disposition);

    std::shared_ptr<ClientCall> call_;
    std::optional<ConnectionUse> use_;
    MonotonicTime last_received_{};
    bool paused_ = false;
    bool replied_ = false;
  };

  [[nodiscard]] std::shared_ptr<AttemptCall> FindCall(
      AttemptNumber attempt) const;
  void RemoveCall(AttemptNumber attempt);
  void NoteConnection(const ConnectionUse& use);

  EventLoop& loop_;
  const RequestDialect& dialect_;
  std::shared_ptr<HttpServerConnection> caller_;
  Exchange exchange_;
  // At most two; see Exchange.
  std::vector<std::shared_ptr<AttemptCall>> calls_;
  // The connections of the attempts before, for logs: "connection#call".
  std::string connections_used_;
  TimerId deadline_timer_;
  bool started_ = false;
  Microseconds longest_pause_{0};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_EXCHANGE_RUN_H_
