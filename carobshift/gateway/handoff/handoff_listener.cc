#include "carobshift/gateway/handoff/handoff_listener.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "carobshift/gateway/connection_options.h"
#include "carobshift/gateway/request/failure_reply.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

// Tells the other instance that the request has not run.
void SendRefusal(HttpServerConnection& connection, ResultCode code) {
  HttpHead head = FailureHead(HttpStatusOf(code), std::nullopt);
  SetHandoffState(HandoffState::kNotRun, head);
  connection.SendCompleteReply(
      std::move(head), FailureBody(code, RunStateName(RunState::kNotRun)));
}

}  // namespace

HandoffListener::HandoffListener(EventLoop& loop,
                                 RequestService& requests,
                                 Metrics& metrics,
                                 HandoffIdentity identity)
    : loop_(loop),
      requests_(requests),
      metrics_(metrics),
      identity_(std::move(identity)) {}

HandoffListener::~HandoffListener() {
  Close();
}

Status HandoffListener::Listen(const NetAddress& address) {
  auto opened = TcpListener::Open(
      loop_, address,
      [this](const Poco::Net::StreamSocket& socket) { Accept(socket); });
  if (!opened.ok())
    return opened.error();
  listener_ = opened.value();
  return {};
}

void HandoffListener::Accept(const Poco::Net::StreamSocket& socket) {
  const auto connection = HttpServerConnection::Open(
      loop_, socket, ConnectionLimits(), kCallerTcp, *this);
  if (connection == nullptr)
    return;
  connections_[connection.get()] = connection;
  if (stopping_)
    connection->CloseAfterReply();
}

HttpServerLimits HandoffListener::ConnectionLimits() const {
  HttpServerLimits limits = requests_.CallerConnectionLimits();
  limits.head_bytes += kSealBytes;
  limits.idle_timeout = kIdleTimeout;
  return limits;
}

void HandoffListener::OnTick() {
  const HttpServerLimits limits = ConnectionLimits();
  for (const auto& [key, connection] : connections_)
    connection->SetLimits(limits);
}

void HandoffListener::BeginStop() {
  stopping_ = true;
  CloseIdleConnections();
}

std::vector<std::shared_ptr<HttpServerConnection>>
HandoffListener::Connections() const {
  std::vector<std::shared_ptr<HttpServerConnection>> all;
  for (const auto& [key, connection] : connections_)
    all.push_back(connection);
  return all;
}

void HandoffListener::CloseIdleConnections() {
  for (const auto& connection : Connections())
    connection->CloseWhenIdle();
}

void HandoffListener::RefuseUnfinished() {
  for (const auto& connection : Connections())
    connection->RefuseUnfinished();
}

void HandoffListener::Close() {
  if (listener_ != nullptr)
    listener_->Close();
}

bool HandoffListener::busy() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& entry) { return entry.second->busy(); });
}

void HandoffListener::Abort() {
  Close();
  for (const auto& connection : Connections())
    connection->Abort();
}

void HandoffListener::OnRequest(
    const std::shared_ptr<HttpServerConnection>& connection,
    HttpServerRequest request) {
  const OpenedHandoff opened =
      OpenHandoff(request.body, identity_.self, identity_.incarnation,
                  identity_.secret, request.head);
  if (opened.rejection != HandoffRejection::kNone) {
    Reject(*connection, opened.rejection);
    return;
  }
  metrics_.Add("carobshift_handoffs_accepted_total", {}, 1);
  requests_.ServePeer(connection, std::move(request), opened.from);
}

void HandoffListener::Reject(HttpServerConnection& connection,
                             HandoffRejection reason) {
  const std::string_view name = HandoffRejectionName(reason);
  metrics_.Add("carobshift_handoffs_rejected_total", {{"reason", name}}, 1);
  LogEvent(LogLevel::kWarning, "handoff_rejected", {{"reason", name}});
  SendRefusal(connection, ResultCode::kPeerRejected);
}

void HandoffListener::OnCallerDisconnected(HttpServerConnection& connection) {
  requests_.connection_handler().OnCallerDisconnected(connection);
}

void HandoffListener::OnBackpressure(HttpServerConnection& connection,
                                     bool pause) {
  requests_.connection_handler().OnBackpressure(connection, pause);
}

void HandoffListener::OnConnectionEnd(HttpServerConnection& connection) {
  connections_.erase(&connection);
}

void HandoffListener::OnNoRoom(HttpServerConnection& connection,
                               const HttpHead&) {
  metrics_.Add("carobshift_handoffs_rejected_total", {{"reason", "no_room"}},
               1);
  LogEvent(LogLevel::kWarning, "handoff_rejected", {{"reason", "no_room"}});
  SendRefusal(connection, ResultCode::kOverloaded);
}

void HandoffListener::OnMalformed(int status) {
  requests_.connection_handler().OnMalformed(status);
}

}  // namespace carobshift
