// Queries about the entry itself: health, readiness, metrics, the state dump
// and the decisions recorded for one request.
//
//   HealthQuery health(context, peer_port);
//   routes.Add("GET", "/healthz", health);

#ifndef CAROBSHIFT_SERVER_QUERIES_STATUS_QUERIES_H_
#define CAROBSHIFT_SERVER_QUERIES_STATUS_QUERIES_H_

#include <atomic>

#include "carobshift/server/entry_context.h"
#include "carobshift/server/http/route_handler.h"

namespace carobshift {

// Answers 200 while the process runs, with the entry's id, its incarnation and
// its peer port.
class HealthQuery : public RouteHandler {
 public:
  HealthQuery(EntryContext& context, const std::atomic<int>& peer_port)
      : context_(context), peer_port_(peer_port) {}
  void Handle(RequestExchange& exchange) override;

 private:
  EntryContext& context_;
  const std::atomic<int>& peer_port_;
};

// Answers 200 if a configuration is in force and the entry is not leaving, else
// 503.
class ReadyQuery : public RouteHandler {
 public:
  ReadyQuery(EntryContext& context, const std::atomic<bool>& leaving)
      : context_(context), leaving_(leaving) {}
  void Handle(RequestExchange& exchange) override;

 private:
  EntryContext& context_;
  const std::atomic<bool>& leaving_;
};

// Metrics in the Prometheus text format.
class MetricsQuery : public RouteHandler {
 public:
  explicit MetricsQuery(EntryContext& context) : context_(context) {}
  void Handle(RequestExchange& exchange) override;

 private:
  EntryContext& context_;
};

// Handles GET /debug/state. Requires the operators' key.
class StateQuery : public RouteHandler {
 public:
  explicit StateQuery(EntryContext& context) : context_(context) {}
  void Handle(RequestExchange& exchange) override;

 private:
  EntryContext& context_;
};

// Handles GET /debug/requests/{id}. Requires the operators' key.
class ExplainQuery : public RouteHandler {
 public:
  explicit ExplainQuery(EntryContext& context) : context_(context) {}
  void Handle(RequestExchange& exchange) override;

 private:
  EntryContext& context_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_QUERIES_STATUS_QUERIES_H_
