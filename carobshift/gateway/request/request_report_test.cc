#include "carobshift/gateway/request/request_report.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};

TEST_CASE(
    "a prompt is served in target or late, refused, cancelled or failed") {
  Route route;
  route.latency_target = Milliseconds(800);
  ExchangeSetup setup;
  setup.route = &route;
  setup.arrived = kStart;
  const auto outcome = [&setup](int status, bool completed, ResultCode code,
                                std::optional<Milliseconds> first) {
    ExchangeSummary summary;
    summary.status = status;
    summary.completed = completed;
    summary.code = code;
    if (first)
      summary.first_byte = kStart + *first;
    return PromptOutcome(summary, setup);
  };
  CHECK(outcome(200, true, ResultCode::kOk, Milliseconds(800)) == "in_target");
  CHECK(outcome(200, true, ResultCode::kOk, Milliseconds(801)) == "late");
  CHECK(outcome(503, false, ResultCode::kOverloaded, {}) == "refused");
  CHECK(outcome(0, false, ResultCode::kCancelled, {}) == "cancelled");
  CHECK(outcome(504, false, ResultCode::kDeadlineExceeded, {}) == "failed");
  // The endpoint's own failure, delivered completely.
  CHECK(outcome(500, true, ResultCode::kOk, Milliseconds(9)) == "failed");
  // Broken connection after the first event.
  CHECK(outcome(200, false, ResultCode::kEndpointFailed, Milliseconds(9)) ==
        "failed");
}

}  // namespace
}  // namespace carobshift
