// Logs and counts a completed request.
//
//   RequestTrace trace;
//   trace.attempt.cost = plan.cost;
//   ReportEnd(exchange, trace, now, metrics);

#ifndef CAROBSHIFT_GATEWAY_REQUEST_REQUEST_REPORT_H_
#define CAROBSHIFT_GATEWAY_REQUEST_REQUEST_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "carobshift/gateway/placement/prompt_sizes.h"
#include "carobshift/gateway/placement/queue_ahead.h"
#include "carobshift/gateway/request/exchange.h"
#include "carobshift/telemetry/metrics.h"

namespace carobshift {

// How the last attempt of a request was placed.
struct AttemptTrace {
  // As stated in the record of the endpoint.
  SoftwareVersion software;
  // The weights that the attempt names to its endpoint; nullopt if unknown.
  std::optional<WeightNumber> weights;
  double cost = 0;
  QueueAhead ahead;
  // Estimated number of prompt tokens that the endpoint had to prefill.
  double tokens_to_prefill = 0;
  // Number of parts for which the attempt named a store to fetch from, and to
  // save to.
  int sources = 0;
  int saves = 0;
};

struct RequestTrace {
  AttemptTrace attempt;
  // Number of endpoints whose load was requested, and number whose load was
  // reported.
  std::size_t loads_requested = 0;
  std::size_t loads_reported = 0;
  // For a prompt: its estimated use of engine memory, and its size band among
  // the prompts of its route.
  Tokens tokens = 0;
  SizeBand size = SizeBand::kSmall;
  Microseconds longest_pause{0};
  std::uint64_t registry_revision = 0;
  // Time from the beginning of a planned stop to the arrival of the request;
  // negative if it arrived before.
  std::optional<Milliseconds> arrived_after_stop;
};

// Returns the outcome of a prompt: "in_target" or "late", by the time of the
// answer's first event; "refused"; "cancelled" if the caller cancelled it; or
// "failed".
[[nodiscard]] std::string_view PromptOutcome(const ExchangeSummary& summary,
                                             const ExchangeSetup& setup);

// Writes the log event request_done. Counts the request by its result code, and
// a prompt also by its size and outcome.
void ReportEnd(const Exchange& exchange,
               const RequestTrace& trace,
               MonotonicTime now,
               Metrics& metrics);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_REQUEST_REPORT_H_
