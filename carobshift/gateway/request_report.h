// What is logged and counted of a request that has ended.
//
//   RequestTrace trace;
//   trace.attempt.cost = plan.cost;
//   ReportEnd(exchange, trace, now, metrics);

#ifndef CAROBSHIFT_GATEWAY_REQUEST_REPORT_H_
#define CAROBSHIFT_GATEWAY_REQUEST_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "carobshift/gateway/exchange.h"
#include "carobshift/gateway/prompt_sizes.h"
#include "carobshift/gateway/queue_ahead.h"
#include "carobshift/telemetry/metrics.h"

namespace carobshift {

// How a request was placed the last time.
struct AttemptTrace {
  // That the attempt names to its endpoint; nothing if they aren't known.
  std::optional<WeightNumber> weights;
  double cost = 0;
  QueueAhead ahead;
  // Tokens that the endpoint was thought to have to read when it got the
  // prompt.
  double to_read = 0;
  // Parts for which a holder was named to fetch them from, or to keep them.
  int sources = 0;
  int saves = 0;
};

struct RequestTrace {
  AttemptTrace attempt;
  // Endpoints whose load was asked for, and those that were told of.
  std::size_t asked = 0;
  std::size_t told = 0;
  // Of a prompt: what it may take of an engine's memory, and its place in its
  // kind.
  Tokens tokens = 0;
  SizeBand size = SizeBand::kSmall;
  Microseconds longest_pause{0};
  std::uint64_t registry_revision = 0;
};

// What came of a prompt: "in_target" and "late" by the first event of an
// answer, "refused", "cancelled" by its caller, or "failed".
[[nodiscard]] std::string_view PromptOutcome(const ExchangeSummary& summary,
                                             const ExchangeSetup& setup);

// Writes request_done, and counts the request by its code and a prompt by its
// size and by what came of it.
void ReportEnd(const Exchange& exchange,
               const RequestTrace& trace,
               MonotonicTime now,
               Metrics& metrics);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_REPORT_H_
