#include "carobshift/server/tasks/fleet_task.h"

#include <array>
#include <chrono>
#include <utility>

#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

std::string_view OrderName(OrderKind kind) {
  static constexpr std::array<std::string_view, 4> kNames = {
      "load", "unload", "set_role", "drain"};
  return kNames[static_cast<std::size_t>(kind)];
}

}  // namespace

Milliseconds FleetTask::RunOnce(MonotonicTime now) {
  if (leaving_) {
    // No order is in flight, because this thread sends them all.
    context_.lease.Resign();
  }
  const auto config = context_.config.current();
  const auto number = context_.lease.MayOrder(true, now);
  if (!number || !config) {
    tenure_.reset();
    drains_.clear();
    return context_.settings.status_poll_interval;
  }
  if (tenure_ != number) {
    tenure_ = number;
    planner_.BeginLeaseTerm(now);
    RecordDecision(LogLevel::kInfo, "fleet_tenure",
                   {{"number", number->value()},
                    {"reason", "this entry holds the lease"}});
  }
  PlanAndOrder(config->declaration, *number, now);
  return context_.settings.status_poll_interval;
}

void FleetTask::PlanAndOrder(const Declaration& declaration,
                             FencingNumber number,
                             MonotonicTime now) {
  const FleetPlan plan = planner_.Plan(
      declaration, context_.endpoints.Observed(InstanceKind::kEngine),
      context_.endpoints.Observed(InstanceKind::kPlainService), number, now);
  if (!plan.keep_drains)
    PublishDrains(plan, number, now);
  for (const FleetOrder& order : plan.orders)
    Send(order);
  LogWaits(plan);
}

void FleetTask::PublishDrains(const FleetPlan& plan,
                              FencingNumber number,
                              MonotonicTime now) {
  std::map<EndpointId, std::string> drains;
  for (const FleetDrain& drain : plan.drains) {
    drains[drain.endpoint] = drain.reason;
    if (!drains_.contains(drain.endpoint))
      RecordDecision(
          LogLevel::kInfo, "drain_begun",
          {{"endpoint", drain.endpoint.value()}, {"reason", drain.reason}});
  }
  for (const auto& [endpoint, reason] : drains_) {
    if (!drains.contains(endpoint))
      RecordDecision(
          LogLevel::kInfo, "drain_ended",
          {{"endpoint", endpoint.value()},
           {"reason", "its state was read back, or the drain given up"}});
  }
  drains_ = std::move(drains);
  const auto active =
      context_.membership.Subjects(FactKind::kEndpointDraining, now);
  context_.membership.PublishFacts(
      drain_facts_.Update(plan.drains, active, number), now);
}

void FleetTask::Send(const FleetOrder& order) {
  // Checked again just before sending, because the process may have been paused
  // since planning and the lease may have expired.
  const MonotonicTime now = MonotonicNow();
  const auto number = context_.lease.MayOrder(order.checks_fencing, now);
  nlohmann::json fields = {{"endpoint", order.endpoint.value()},
                           {"order", OrderName(order.order.kind)},
                           {"service", order.order.role.value()},
                           {"version", order.order.version.value()},
                           {"number", order.order.fencing.value()},
                           {"reason", order.reason}};
  if (number != order.order.fencing) {
    fields["withheld"] = "the lease does not last for it";
    RecordDecision(LogLevel::kWarning, "order_withheld", std::move(fields));
    return;
  }
  planner_.OnOrderSent(order, now);
  const Status status =
      context_.platform.orders.Order(order.address, order.order);
  fields["outcome"] = status.ok() ? "taken" : status.error().message;
  fields["took_ms"] =
      std::chrono::duration_cast<Milliseconds>(MonotonicNow() - now).count();
  RecordDecision(LogLevel::kInfo, "order", std::move(fields));
}

void FleetTask::LogWaits(const FleetPlan& plan) {
  std::map<ServiceName, std::string> waits;
  for (const FleetWait& wait : plan.waits) {
    waits[wait.service] = wait.reason;
    const auto known = waits_.find(wait.service);
    if (known == waits_.end() || known->second != wait.reason)
      RecordDecision(
          LogLevel::kInfo, "fleet_waits",
          {{"service", wait.service.value()}, {"reason", wait.reason}});
  }
  waits_ = std::move(waits);
}

void FleetTask::RecordDecision(LogLevel level,
                               std::string_view event,
                               nlohmann::json fields) {
  LogEvent(level, event, fields);
  fields["event"] = event;
  const std::lock_guard lock(mutex_);
  decisions_.push_back(std::move(fields));
  if (decisions_.size() > kMaxDecisions)
    decisions_.pop_front();
}

nlohmann::json FleetTask::DumpState() const {
  const std::lock_guard lock(mutex_);
  return {{"decisions", decisions_}};
}

}  // namespace carobshift
