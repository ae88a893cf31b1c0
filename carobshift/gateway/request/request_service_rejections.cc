// The part of RequestService that answers requests without an exchange. None of
// them has run.

#include <optional>
#include <utility>

#include "carobshift/gateway/handoff/handoff_codec.h"
#include "carobshift/gateway/request/failure_reply.h"
#include "carobshift/gateway/request/request_service.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr int kUnavailable = 503;
// By this time endpoints have read a good part of the bodies that take up the
// room.
constexpr Milliseconds kRetryAfterWithoutRoom{500};
// By this time the instance, or another one, is expected to be ready.
constexpr Milliseconds kRetryAfterWithoutConfig{300};

// Returns when the caller of a request that was rejected without a look at the
// endpoints may return, if that helps.
std::optional<Milliseconds> RetryAfterRejection(ResultCode code) {
  if (code == ResultCode::kOverloaded)
    return kRetryAfterWithoutRoom;
  if (code == ResultCode::kEntryLeaving)
    return ShutdownSchedule::kRetryAfter;
  if (HttpStatusOf(code) == kUnavailable)
    return kRetryAfterWithoutConfig;
  return std::nullopt;
}

}  // namespace

void RequestService::Reject(HttpServerConnection& connection,
                            const RequestId& id,
                            ResultCode code,
                            const EntryId* from) {
  const int status = HttpStatusOf(code);
  metrics_.Add("carobshift_rejected_total", {{"code", ResultCodeName(code)}},
               1);
  LogEvent(
      LogLevel::kInfo, "request_rejected",
      {{"request", id.value()},
       {"status", status},
       {"code", ResultCodeName(code)},
       {"config", config_ == nullptr ? 0 : config_->config().number.value()}});
  HttpHead head = FailureHead(status, RetryAfterRejection(code));
  if (from != nullptr)
    SetHandoffState(HandoffState::kNotRun, head);
  connection.SendCompleteReply(
      std::move(head), FailureBody(code, RunStateName(RunState::kNotRun)));
}

void RequestService::OnNoRoom(HttpServerConnection& connection,
                              const HttpHead& head) {
  const Result<CallerRequest> decoded = dialect_.DecodeRequest(head);
  Reject(connection, decoded.ok() ? decoded.value().id : RequestId(),
         ResultCode::kOverloaded, /*from=*/nullptr);
}

void RequestService::OnMalformed(int status) {
  metrics_.Add("carobshift_malformed_total", {}, 1);
  LogEvent(LogLevel::kInfo, "request_malformed", {{"status", status}});
}

}  // namespace carobshift
