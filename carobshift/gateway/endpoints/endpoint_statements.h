// Applies what endpoints state about themselves in their replies to the tables
// that decide by it: rate limits, cold times, rejection limits, that the
// endpoint leaves, and that it wants no requests for a time.
//
//   EndpointStatements statements(registry, limits, rejections, stated,
//                                 metrics);
//   statements.SetOnColdTime(...);
//   statements.OnReply({.service = service, .endpoint = endpoint, .sent =
//   sent},
//                      reply, now);
//
// A statement belongs to one incarnation of an endpoint. A misdirected reply
// states nothing: it may come from an endpoint of another service. Nor does the
// reply of an endpoint that has taken over the address of another one. A
// statement that can't be read is logged.
//
// Holds no statements itself. Thread-compatible. The tables must outlive it.

#ifndef CAROBSHIFT_GATEWAY_ENDPOINTS_ENDPOINT_STATEMENTS_H_
#define CAROBSHIFT_GATEWAY_ENDPOINTS_ENDPOINT_STATEMENTS_H_

#include <functional>
#include <string_view>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/endpoints/endpoint_registry.h"
#include "carobshift/gateway/endpoints/rate_limits.h"
#include "carobshift/gateway/endpoints/rejection_limits.h"
#include "carobshift/gateway/endpoints/stated_availability.h"
#include "carobshift/gateway/request/caller_request.h"
#include "carobshift/telemetry/metrics.h"

namespace carobshift {

// The attempt that a reply answers.
struct AnsweredAttempt {
  ServiceName service;
  EndpointIncarnation endpoint;
  // When the attempt began.
  MonotonicTime sent{};
};

class EndpointStatements {
 public:
  EndpointStatements(const EndpointRegistry& registry,
                     RateLimits& limits,
                     RejectionLimits& rejections,
                     StatedAvailability& stated,
                     Metrics& metrics)
      : registry_(registry),
        limits_(limits),
        rejections_(rejections),
        stated_(stated),
        metrics_(metrics) {}

  // Called with each cold time that an endpoint states, to apply it and to
  // announce it to the other instances.
  using OnColdTime =
      std::function<void(const EndpointRecord&, Milliseconds remaining)>;
  void SetOnColdTime(OnColdTime on_cold_time) {
    on_cold_time_ = std::move(on_cold_time);
  }
  // Called with each change of a rejection limit and each rejection at one, to
  // announce them to the other instances.
  void SetOnRejectionNews(std::function<void()> on_rejection_news) {
    on_rejection_news_ = std::move(on_rejection_news);
  }

  void OnReply(const AnsweredAttempt& attempt,
               const ReplyMetadata& reply,
               MonotonicTime now);
  // The same for a reply that another instance has relayed. Only what the
  // endpoint states to all instances counts.
  void OnRelayedReply(const ReplyMetadata& reply, MonotonicTime now);

 private:
  void NoteLeaving(const EndpointIncarnation& endpoint,
                   const ReplyMetadata& reply,
                   MonotonicTime now);
  void NotePause(const AnsweredAttempt& attempt,
                 const ReplyMetadata& reply,
                 MonotonicTime now);
  void NoteRateLimit(const AnsweredAttempt& attempt,
                     const ReplyMetadata& reply,
                     MonotonicTime now);
  void NoteColdTime(const AnsweredAttempt& attempt, const ReplyMetadata& reply);
  void NoteRejectionLimit(const AnsweredAttempt& attempt,
                          const ReplyMetadata& reply,
                          MonotonicTime now);
  void NoteRejection(const AnsweredAttempt& attempt, MonotonicTime now);
  // Returns the endpoint's record; null if it has none or has started again.
  [[nodiscard]] const EndpointRecord* RecordOf(
      const AnsweredAttempt& attempt) const;

  const EndpointRegistry& registry_;
  RateLimits& limits_;
  RejectionLimits& rejections_;
  StatedAvailability& stated_;
  Metrics& metrics_;
  OnColdTime on_cold_time_;
  std::function<void()> on_rejection_news_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINTS_ENDPOINT_STATEMENTS_H_
