#include "carobshift/gateway/endpoints/endpoint_statements.h"

#include "carobshift/telemetry/event_log.h"

namespace carobshift {
void EndpointStatements::OnReply(const AnsweredAttempt& attempt,
                                 const ReplyMetadata& reply,
                                 MonotonicTime now) {
  if (reply.misdirected ||
      (reply.endpoint && *reply.endpoint != attempt.endpoint.id))
    return;
  NoteLeaving(attempt.endpoint, reply, now);
  NotePause(attempt, reply, now);
  NoteRateLimit(attempt, reply, now);
  NoteColdTime(attempt, reply);
  NoteRejectionLimit(attempt, reply, now);
  if (reply.not_run)
    NoteRejection(attempt, now);
}

void EndpointStatements::OnRelayedReply(const ReplyMetadata& reply,
                                        MonotonicTime now) {
  const EndpointRecord* const record =
      reply.endpoint ? registry_.Find(*reply.endpoint) : nullptr;
  if (record != nullptr)
    NoteLeaving(EndpointIncarnation::Of(*record), reply, now);
}

void EndpointStatements::NoteLeaving(const EndpointIncarnation& endpoint,
                                     const ReplyMetadata& reply,
                                     MonotonicTime now) {
  if (reply.bad_leaving) {
    LogEvent(LogLevel::kWarning, "endpoint_leaving_unreadable",
             {{"endpoint", endpoint.id.value()}});
    return;
  }
  if (!reply.leaving || !stated_.OnLeaving(endpoint, now))
    return;
  metrics_.Add("carobshift_endpoint_statements_total",
               {{"statement", "leaving"}}, 1);
  LogEvent(LogLevel::kInfo, "endpoint_states_leaving",
           {{"endpoint", endpoint.id.value()},
            {"born", endpoint.start_time.value()}});
}

void EndpointStatements::NotePause(const AnsweredAttempt& attempt,
                                   const ReplyMetadata& reply,
                                   MonotonicTime now) {
  const EndpointIncarnation& endpoint = attempt.endpoint;
  if (!reply.pause && !reply.bad_pause) {
    if (!reply.not_run)
      stated_.OnRun(endpoint, attempt.sent);
    return;
  }
  const Milliseconds pause =
      reply.pause.value_or(StatedAvailability::kUnreadablePause);
  if (reply.bad_pause || pause > StatedAvailability::kMaxPause) {
    LogEvent(
        LogLevel::kWarning, "endpoint_pause_unusable",
        {{"endpoint", endpoint.id.value()}, {"readable", !reply.bad_pause}});
  }
  if (!stated_.OnPause(endpoint, pause, now))
    return;
  metrics_.Add("carobshift_endpoint_statements_total", {{"statement", "pause"}},
               1);
  LogEvent(LogLevel::kInfo, "endpoint_states_pause",
           {{"endpoint", endpoint.id.value()},
            {"born", endpoint.start_time.value()},
            {"pause_ms", pause.count()}});
}

const EndpointRecord* EndpointStatements::RecordOf(
    const AnsweredAttempt& attempt) const {
  const EndpointRecord* const record = registry_.Find(attempt.endpoint.id);
  if (record == nullptr || record->start_time != attempt.endpoint.start_time)
    return nullptr;
  return record;
}

void EndpointStatements::NoteRateLimit(const AnsweredAttempt& attempt,
                                       const ReplyMetadata& reply,
                                       MonotonicTime now) {
  if (reply.bad_rate_limit) {
    LogEvent(LogLevel::kWarning, "endpoint_limit_unreadable",
             {{"endpoint", attempt.endpoint.id.value()}});
    return;
  }
  // An endpoint that did not run the request doesn't always state its limit.
  if (reply.not_run && !reply.rate_limit)
    return;
  const LimitStatement statement{reply.rate_limit, attempt.sent};
  if (!limits_.OnAnswer(attempt.endpoint, statement, now))
    return;
  LogEvent(LogLevel::kInfo, "endpoint_limit",
           {{"endpoint", attempt.endpoint.id.value()},
            {"limited", reply.rate_limit.has_value()},
            {"per_second", reply.rate_limit.value_or(RequestRate(0)).value()}});
}

void EndpointStatements::NoteColdTime(const AnsweredAttempt& attempt,
                                      const ReplyMetadata& reply) {
  if (reply.bad_cold_time) {
    LogEvent(LogLevel::kWarning, "endpoint_cold_time_unreadable",
             {{"endpoint", attempt.endpoint.id.value()}});
    return;
  }
  const EndpointRecord* const record = RecordOf(attempt);
  if (reply.cold_remaining && record != nullptr && on_cold_time_)
    on_cold_time_(*record, *reply.cold_remaining);
}

void EndpointStatements::NoteRejectionLimit(const AnsweredAttempt& attempt,
                                            const ReplyMetadata& reply,
                                            MonotonicTime now) {
  if (reply.bad_rejection_limit) {
    LogEvent(LogLevel::kWarning, "rejection_limit_unreadable",
             {{"endpoint", attempt.endpoint.id.value()}});
    return;
  }
  const RejectionStatement statement{.limit = reply.rejection_limit,
                                     .ran = !reply.not_run,
                                     .sent = attempt.sent};
  if (!rejections_.OnAnswer(attempt.service, statement, now))
    return;
  LogEvent(
      LogLevel::kInfo, "rejection_limit",
      {{"service", attempt.service.value()},
       {"endpoint", attempt.endpoint.id.value()},
       {"limited", reply.rejection_limit.has_value()},
       {"per_second", reply.rejection_limit.value_or(RequestRate(0)).value()}});
  if (on_rejection_news_)
    on_rejection_news_();
}

void EndpointStatements::NoteRejection(const AnsweredAttempt& attempt,
                                       MonotonicTime now) {
  const EndpointRecord* const record = RecordOf(attempt);
  if (record == nullptr || !rejections_.OnRejection(*record, now))
    return;
  metrics_.Add("carobshift_rejections_at_limit_total", {}, 1);
  LogEvent(LogLevel::kWarning, "endpoint_rejection",
           {{"endpoint", attempt.endpoint.id.value()},
            {"service", record->service.value()},
            {"share", rejections_.ShareOf(*record, now)}});
  if (on_rejection_news_)
    on_rejection_news_();
}

}  // namespace carobshift
