#include "carobshift/gateway/query_service.h"

#include <utility>

#include "carobshift/gateway/connection_options.h"

namespace carobshift {
namespace {

// Questions have no body.
constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 10;

}  // namespace

Status QueryService::Listen(const NetAddress& address) {
  auto listener = TcpListener::Open(
      loop_, address, [this](const Poco::Net::StreamSocket& socket) {
        HttpServerLimits limits{.body_bytes = kMaxBodyBytes, .quota = quota_};
        if (quota_ != nullptr)
          limits.caller_budget = &quota_->budget();
        const auto connection =
            HttpServerConnection::Open(loop_, socket, limits, kQueryTcp, *this);
        if (connection != nullptr)
          connections_[connection.get()] = connection;
      });
  if (!listener.ok())
    return listener.error();
  listener_ = listener.value();
  return {};
}

void QueryService::Close() {
  if (listener_ != nullptr)
    listener_->Close();
}

void QueryService::OnRequest(
    const std::shared_ptr<HttpServerConnection>& connection,
    HttpServerRequest request) {
  QueryAnswer answer = answer_(request.head);
  HttpHead head;
  head.status = answer.status;
  if (!answer.content_type.empty())
    head.fields.push_back({"Content-Type", std::move(answer.content_type)});
  bytes_sent_ += answer.body.size();
  connection->SendCompleteReply(std::move(head), answer.body);
}

}  // namespace carobshift
