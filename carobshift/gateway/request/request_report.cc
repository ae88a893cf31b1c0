#include "carobshift/gateway/request/request_report.h"

#include <utility>

#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr int kFirstNotSuccess = 300;
constexpr int kUnavailable = 503;

std::int64_t ToMilliseconds(Microseconds time) {
  return std::chrono::duration_cast<Milliseconds>(time).count();
}

void Count(const Exchange& exchange,
           const RequestTrace& trace,
           MonotonicTime now,
           Metrics& metrics) {
  const ExchangeSetup& setup = exchange.setup();
  metrics.Add("carobshift_requests_total",
              {{"service", setup.service.value()},
               {"code", ResultCodeName(exchange.summary().code)}},
              1);
  metrics.Observe("carobshift_request_seconds",
                  {{"service", setup.service.value()}}, now - setup.arrived);
  if (!exchange.request().prompt)
    return;
  metrics.Add("carobshift_prompts_total",
              {{"route", setup.route->name},
               {"size", SizeBandName(trace.size)},
               {"outcome", PromptOutcome(exchange.summary(), setup)}},
              1);
}

}  // namespace

std::string_view PromptOutcome(const ExchangeSummary& summary,
                               const ExchangeSetup& setup) {
  if (summary.status == kUnavailable)
    return "refused";
  if (summary.code == ResultCode::kCancelled)
    return "cancelled";
  if (!summary.completed || !summary.first_byte ||
      summary.status >= kFirstNotSuccess)
    return "failed";
  return *summary.first_byte - setup.arrived <= setup.route->latency_target
             ? "in_target"
             : "late";
}

void ReportEnd(const Exchange& exchange,
               const RequestTrace& trace,
               MonotonicTime now,
               Metrics& metrics) {
  Count(exchange, trace, now, metrics);
  const ExchangeSummary& summary = exchange.summary();
  const ExchangeSetup& setup = exchange.setup();
  const AttemptTrace& attempt = trace.attempt;
  nlohmann::json fields = {{"request", setup.request.id.value()},
                           {"route", setup.route->name},
                           {"status", summary.status},
                           {"code", ResultCodeName(summary.code)},
                           {"endpoint", summary.last_endpoint.value()},
                           {"attempts", summary.attempts},
                           {"ms", ToMilliseconds(now - setup.arrived)},
                           {"config", setup.config->config().number.value()},
                           {"registry", trace.registry_revision}};
  if (!attempt.software.value().empty())
    fields["software"] = attempt.software.value();
  if (attempt.weights)
    fields["weights"] = attempt.weights->value();
  if (attempt.cost > 0) {
    fields["cost"] = static_cast<std::int64_t>(attempt.cost);
    fields["ahead"] = static_cast<std::int64_t>(attempt.ahead.Total());
    fields["to_read"] = static_cast<std::int64_t>(attempt.tokens_to_prefill);
    fields["sources"] = attempt.sources;
    fields["saves"] = attempt.saves;
    fields["asked"] = trace.loads_requested;
    fields["told"] = trace.loads_reported;
    fields["pause_ms"] = ToMilliseconds(trace.longest_pause);
  }
  if (exchange.request().prompt) {
    fields["tokens"] = trace.tokens;
    fields["size"] = SizeBandName(trace.size);
  }
  if (summary.replacements > 0)
    fields["replacements"] = summary.replacements;
  if (summary.resumes > 0)
    fields["resumes"] = summary.resumes;
  if (summary.suspensions > 0)
    fields["suspensions"] = summary.suspensions;
  if (summary.first_byte)
    fields["first_ms"] = ToMilliseconds(*summary.first_byte - setup.arrived);
  if (summary.code == ResultCode::kDeadlineExceeded)
    fields["late_ms"] = ToMilliseconds(now - exchange.deadline());
  if (trace.arrived_after_stop)
    fields["stop_ms"] = trace.arrived_after_stop->count();
  if (setup.account != nullptr)
    fields["account"] = setup.account->name.value();
  LogEvent(LogLevel::kInfo, "request_done", std::move(fields));
}

}  // namespace carobshift
