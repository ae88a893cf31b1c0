// Connects an Exchange to the caller's connection, the call of its current
// attempt and its deadline timer. The class forwards events and holds no
// policy.

#ifndef CAROBSHIFT_GATEWAY_REQUEST_EXCHANGE_RUN_H_
#define CAROBSHIFT_GATEWAY_REQUEST_EXCHANGE_RUN_H_

#include <memory>
#include <string_view>

#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/request/exchange.h"
#include "carobshift/net/http_client.h"
#include "carobshift/net/http_server_connection.h"

namespace carobshift {

class ExchangeRun : private CallerReply,
                    private HttpCallListener,
                    public std::enable_shared_from_this<ExchangeRun> {
 public:
  ExchangeRun(EventLoop& loop,
              const RequestDialect& dialect,
              std::shared_ptr<HttpServerConnection> caller,
              ExchangeSetup setup,
              AttemptRunner& attempt_runner);
  ~ExchangeRun() override;

  void Start();
  // For AttemptRunner.
  void StartCall(HttpClient& client,
                 const NetAddress& address,
                 std::string bytes,
                 const HttpCallOptions& options);
  void DropCall();
  void PauseCall(bool pause);

  void OnCallerGone();
  void OnCallerSlow(bool slow) { exchange_.OnCallerSlow(slow); }

  [[nodiscard]] Exchange& exchange() { return exchange_; }
  // When the endpoint of the attempt last sent data, or when the request was
  // sent to it if it hasn't sent any.
  [[nodiscard]] MonotonicTime last_received() const { return last_received_; }
  // The longest pause between two pieces of the answer.
  [[nodiscard]] Microseconds longest_pause() const { return longest_pause_; }
  [[nodiscard]] const ReplyMetadata& reply_facts() const { return facts_; }

 private:
  void SendWhole(HttpHead head, std::string_view body) override;
  void BeginStream(HttpHead head) override;
  void SendChunk(std::string_view bytes) override;
  void EndStream() override;
  void Abort() override;

  ReplyDisposition OnReplyHead(const HttpHead& head,
                               const HttpMessageInfo& info) override;
  void OnReplyBody(std::string_view bytes) override;
  void OnReplyEnd() override;
  void OnCallFailed(const CallFailure& failure) override;

  EventLoop& loop_;
  const RequestDialect& dialect_;
  std::shared_ptr<HttpServerConnection> caller_;
  Exchange exchange_;
  std::shared_ptr<ClientCall> call_;
  TimerId deadline_timer_;
  MonotonicTime last_received_{};
  Microseconds longest_pause_{0};
  ReplyMetadata facts_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_EXCHANGE_RUN_H_
