#include "carobshift/server/queries/status_queries.h"

#include "carobshift/server/commands/caller_identity.h"
#include "carobshift/server/http/caller_error.h"

namespace carobshift {
namespace {

void SendForbidden(RequestExchange& exchange) {
  SendError(exchange.response, exchange.id,
            NotRun(ResultCode::kForbidden,
                   "this route needs the operators' "
                   "key"));
}

}  // namespace

void HealthQuery::Handle(RequestExchange& exchange) {
  SendJson(exchange.response, 200,
           {{"ok", true},
            {"entry", context_.settings.entry.value()},
            {"incarnation", context_.incarnation.value()},
            {"peer_port", peer_port_.load()}});
}

void ReadyQuery::Handle(RequestExchange& exchange) {
  const auto config = context_.config.current();
  const bool ready = config != nullptr && !leaving_;
  SendJson(exchange.response, ready ? 200 : 503,
           {{"ready", ready},
            {"leaving", leaving_.load()},
            {"config_version",
             config ? nlohmann::json(config->version.value()) : nullptr}});
}

void MetricsQuery::Handle(RequestExchange& exchange) {
  SendText(exchange.response, 200, "text/plain; version=0.0.4",
           context_.metrics.PrometheusText());
}

void StateQuery::Handle(RequestExchange& exchange) {
  if (!IsOperator(context_, exchange)) {
    SendForbidden(exchange);
    return;
  }
  nlohmann::json state = context_.state_dump.Collect();
  state["entry"] = {{"id", context_.settings.entry.value()},
                    {"zone", context_.settings.zone.value()},
                    {"incarnation", context_.incarnation.value()}};
  SendJson(exchange.response, 200, state);
}

void ExplainQuery::Handle(RequestExchange& exchange) {
  if (!IsOperator(context_, exchange)) {
    SendForbidden(exchange);
    return;
  }
  const auto record =
      context_.journal.Explain(RequestId(exchange.path_arguments.at(0)));
  if (record) {
    SendJson(exchange.response, 200, *record);
    return;
  }
  SendError(exchange.response, exchange.id,
            NotRun(ResultCode::kUnknownOutcome,
                   "this entry has no record of that request"));
}

}  // namespace carobshift
