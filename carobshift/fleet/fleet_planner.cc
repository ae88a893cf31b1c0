#include "carobshift/fleet/fleet_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace carobshift {
namespace {

// A new lease holder first raises the fencing number on all engines. An engine
// that never reports the new number delays the other work by at most this long.
constexpr Milliseconds kFencingTimeout{5000};

// Delivery bound of an order, equal to the request timeout of the platform's
// clients: an order that has not arrived by then is lost.
constexpr Milliseconds kOrderDeliveryTimeout{2000};

bool HasTakenEffect(const ObservedEndpoint& engine,
                    const PendingOrder& pending) {
  if (!engine.status || engine.status_asked < pending.sent)
    return false;
  const EngineStatus& status = *engine.status;
  if (pending.order.kind == OrderKind::kUnload)
    return status.state == EngineState::kIdle;
  return status.state == EngineState::kReady &&
         status.model == pending.order.model &&
         status.version == pending.order.version &&
         status.adapters == pending.order.adapters &&
         status.role == pending.order.role;
}

// A leaving engine will not show the effect, but an order in flight may still
// make it load.
bool IsObsolete(const ObservedEndpoint& engine, const PendingOrder& pending) {
  return engine.leaving &&
         engine.status_asked >= pending.sent + kOrderDeliveryTimeout;
}

}  // namespace

struct FleetPlanner::Round {
  const Declaration& declaration;
  const std::vector<ObservedEndpoint>& engines;
  FencingNumber number;
  MonotonicTime now;
  FleetSurvey survey;
  FleetPlan plan;
  // Engines that load, drain or are about to. Each takes one of the max_swaps
  // slots.
  std::set<EndpointId> occupied_slots;
  // Engines already handled in this round.
  std::set<EndpointId> handled;
  // Remaining counts after the decisions of this round.
  std::map<ServiceName, int> serving;
  std::map<ServiceName, int> surplus;

  bool ChecksFencing(const ObservedEndpoint& engine) const {
    const PoolSpec* pool = declaration.FindPool(engine.pool);
    return pool != nullptr && pool->checks_fencing;
  }

  void Order(const ObservedEndpoint& engine,
             EngineOrder order,
             const std::string& reason) {
    order.fencing = number;
    plan.orders.push_back({.endpoint = engine.id,
                           .address = engine.address,
                           .checks_fencing = ChecksFencing(engine),
                           .order = std::move(order),
                           .reason = reason});
    handled.insert(engine.id);
    occupied_slots.insert(engine.id);
  }

  void Drain(const ObservedEndpoint& engine, const std::string& reason) {
    plan.drains.push_back({.endpoint = engine.id, .reason = reason});
    handled.insert(engine.id);
    occupied_slots.insert(engine.id);
  }

  void Wait(const ServiceSpec& service, const std::string& reason) {
    plan.waits.push_back({.service = service.name, .reason = reason});
  }
};

void FleetPlanner::BeginLeaseTerm(MonotonicTime now) {
  term_start_ = now;
  pending_.clear();
  last_roles_.clear();
}

FleetPlan FleetPlanner::Plan(const Declaration& declaration,
                             const std::vector<ObservedEndpoint>& engines,
                             const std::vector<ObservedEndpoint>& plain,
                             FencingNumber number,
                             MonotonicTime now) {
  SettlePending(engines, now);
  Round round{.declaration = declaration,
              .engines = engines,
              .number = number,
              .now = now,
              .survey = FleetSurvey(declaration, engines, plain, pending_,
                                    last_roles_, now),
              .plan = {},
              .occupied_slots = {},
              .handled = {},
              .serving = {},
              .surplus = {}};
  round.occupied_slots = round.survey.Loading();
  for (const ServiceSpec& service : declaration.services) {
    const FleetSurvey::ServiceState& state = round.survey.StateOf(service.name);
    round.serving[service.name] = state.serving;
    round.surplus[service.name] =
        static_cast<int>(state.assigned.size()) - service.replicas;
  }
  if (RaiseFencing(round))
    return std::move(round.plan);
  ContinueDrains(round);
  const bool by_dependency =
      options_.mutation != FleetMutation::kIgnoreDependencies;
  const auto services = OrderServices(declaration, by_dependency);
  for (const ServiceSpec* service : services) {
    if (service->kind == ServiceKind::kModel)
      RestoreService(round, *service);
  }
  for (const ServiceSpec* service : services) {
    if (service->kind == ServiceKind::kModel)
      ChangeService(round, *service);
  }
  FreeUndeclared(round);
  return std::move(round.plan);
}

void FleetPlanner::OnOrderSent(const FleetOrder& order, MonotonicTime now) {
  if (order.order.kind != OrderKind::kSetRole)
    pending_[order.endpoint] = {.order = order.order, .sent = now};
}

// Drops the pending order of an engine that is gone, so that it frees its slot,
// and of an engine that shows no effect in time, so that the order is repeated.
void FleetPlanner::SettlePending(const std::vector<ObservedEndpoint>& engines,
                                 MonotonicTime now) {
  std::map<EndpointId, PendingOrder> kept;
  std::map<EndpointId, ServiceName> roles;
  for (const ObservedEndpoint& engine : engines) {
    if (engine.status)
      roles[engine.id] = engine.status->state == EngineState::kIdle
                             ? ServiceName()
                             : engine.status->role;
    else if (const auto last = last_roles_.find(engine.id);
             last != last_roles_.end())
      roles.insert(*last);
    const auto pending = pending_.find(engine.id);
    const bool lost = FleetSurvey::IsLost(engine, now);
    if (pending == pending_.end() || lost ||
        IsObsolete(engine, pending->second) ||
        now - pending->second.sent >= options_.order_retry_interval ||
        HasTakenEffect(engine, pending->second))
      continue;
    kept.insert(*pending);
  }
  pending_ = std::move(kept);
  last_roles_ = std::move(roles);
}

// At the start of a lease term, orders of the previous holder may still be in
// flight. An order that changes nothing raises the fencing number that the
// engine has seen, so the engine rejects late orders. All other decisions wait
// until this is done, until every status is newer than the start of the term,
// and until the previous holder's last drains and withdrawals have arrived
// here.
bool FleetPlanner::RaiseFencing(Round& round) const {
  bool waits = round.now - term_start_ < kDrainSettle;
  for (const ObservedEndpoint& engine : round.engines) {
    if (!engine.status || engine.leaving)
      continue;
    const bool stale = engine.status_asked < term_start_;
    const bool has_old_fencing =
        round.ChecksFencing(engine) && engine.status->fencing < round.number;
    if (!stale && !has_old_fencing)
      continue;
    waits = true;
    if (stale)
      continue;
    round.plan.orders.push_back(
        {.endpoint = engine.id,
         .address = engine.address,
         .checks_fencing = true,
         .order = {.fencing = round.number,
                   .kind = OrderKind::kSetRole,
                   .model = engine.status->model,
                   .version = engine.status->version,
                   .adapters = engine.status->adapters,
                   .role = engine.status->role},
         .reason = "raise the fencing number so that a former holder's late "
                   "orders are refused"});
  }
  if (!waits || round.now - term_start_ >= kFencingTimeout) {
    round.plan.orders.clear();
    return false;
  }
  round.plan.keep_drains = true;
  return true;
}

void FleetPlanner::ContinueDrains(Round& round) const {
  for (const ObservedEndpoint& engine : round.engines) {
    // A drain of an engine that is gone would occupy its slot forever.
    if (!engine.draining_since || engine.leaving ||
        FleetSurvey::IsLost(engine, round.now))
      continue;
    const bool order_in_flight = round.survey.Loading().contains(engine.id) ||
                                 pending_.contains(engine.id);
    if (order_in_flight || !engine.status) {
      round.Drain(engine, "order under way");
      continue;
    }
    if (engine.status->state != EngineState::kReady)
      continue;
    const ServiceSpec* service =
        round.declaration.FindService(engine.status->role);
    const bool declared = service != nullptr && service->pool == engine.pool;
    int* surplus = declared ? &round.surplus[service->name] : nullptr;
    const bool should_free = !declared || *surplus > 0;
    // The drain ends. The engine counts as serving from the next round on.
    if (!should_free && RunsDeclared(*engine.status, *service))
      continue;
    if (const char* reason =
            declared ? DrainAbortReason(round, *service, should_free)
                     : nullptr) {
      round.Wait(*service,
                 "drain of " + engine.id.value() + " given up: " + reason);
      round.handled.insert(engine.id);
      continue;
    }
    if (surplus != nullptr && *surplus > 0)
      --*surplus;
    round.Drain(engine, should_free ? "drained to be freed"
                                    : "drained for a weight swap");
    if (!IsDrained(engine, round.now))
      continue;
    if (should_free) {
      EngineOrder unload;
      unload.kind = OrderKind::kUnload;
      round.Order(engine, unload,
                  "its running work has ended and no service needs it");
    } else {
      Load(round, *service, engine, "weight swap: its running work has ended");
    }
  }
}

// Aborts a drain if replicas of the service, or of one it depends on, have
// failed since the drain began: the engine's capacity is then worth more than
// the change.
const char* FleetPlanner::DrainAbortReason(const Round& round,
                                           const ServiceSpec& service,
                                           bool should_free) const {
  if (round.serving.at(service.name) < service.floor &&
      options_.mutation != FleetMutation::kIgnoreFloor)
    return "fewer replicas than the floor";
  if (!should_free && !round.survey.DependenciesServe(service) &&
      options_.mutation != FleetMutation::kIgnoreDependencies)
    return "what it depends on does not serve";
  return nullptr;
}

bool FleetPlanner::IsDrained(const ObservedEndpoint& engine,
                             MonotonicTime now) const {
  const bool no_settle = options_.mutation == FleetMutation::kNoDrainSettle;
  // The previous holder may have withdrawn a drain that is found at the start
  // of a lease term, without this instance receiving the withdrawal. Such a
  // drain counts from when this holder repeats it.
  const MonotonicTime since = std::max(*engine.draining_since, term_start_);
  const MonotonicTime settled =
      since + (no_settle ? Milliseconds(0) : kDrainSettle);
  const bool reported =
      engine.status_asked >=
      settled + (no_settle ? Milliseconds(0) : kLoadReportLag);
  const bool no_work =
      engine.status->running == 0 && engine.status->queued == 0;
  if (options_.mutation == FleetMutation::kNoWaitForWork)
    return now >= settled;
  return now >= settled && reported && no_work;
}

bool FleetPlanner::HasFreeSlot(const Round& round) const {
  return static_cast<int>(round.occupied_slots.size()) < options_.max_swaps ||
         options_.mutation == FleetMutation::kIgnoreSwapLimit;
}

bool FleetPlanner::CanLoseReplica(const Round& round,
                                  const ServiceSpec& service) const {
  return round.serving.at(service.name) - 1 >= service.floor ||
         options_.mutation == FleetMutation::kIgnoreFloor;
}

void FleetPlanner::Load(Round& round,
                        const ServiceSpec& service,
                        const ObservedEndpoint& engine,
                        const std::string& reason) const {
  round.Order(engine,
              {.fencing = {},
               .kind = OrderKind::kLoad,
               .model = service.model,
               .version = service.weights,
               .adapters = service.adapters,
               .role = service.name},
              reason);
}

void FleetPlanner::RestoreService(Round& round,
                                  const ServiceSpec& service) const {
  const FleetSurvey::ServiceState& state = round.survey.StateOf(service.name);
  int missing = service.replicas - static_cast<int>(state.assigned.size());
  if (missing <= 0)
    return;
  if (!round.survey.DependenciesServe(service) &&
      options_.mutation != FleetMutation::kIgnoreDependencies)
    return round.Wait(service, "what it depends on does not serve yet");
  std::map<ZoneName, int> per_zone = state.per_zone;
  for (; missing > 0; --missing) {
    if (!HasFreeSlot(round))
      return round.Wait(service, "two engines load or drain already");
    const ObservedEndpoint* chosen = nullptr;
    for (const ObservedEndpoint* idle : round.survey.Idle(service.pool)) {
      if (round.handled.contains(idle->id))
        continue;
      if (chosen == nullptr ||
          std::tuple(per_zone[idle->zone], idle->id) <
              std::tuple(per_zone[chosen->zone], chosen->id))
        chosen = idle;
    }
    if (chosen == nullptr)
      return round.Wait(service, "no idle engine left in its pool");
    ++per_zone[chosen->zone];
    Load(round, service, *chosen,
         "fewer replicas than declared; this is the free engine in the zone "
         "with the fewest");
  }
}

void FleetPlanner::ChangeService(Round& round,
                                 const ServiceSpec& service) const {
  const FleetSurvey::ServiceState& state = round.survey.StateOf(service.name);
  int& surplus = round.surplus[service.name];
  if (state.outdated.empty() && surplus <= 0)
    return;
  if (!round.survey.DependenciesSettled(service) &&
      options_.mutation != FleetMutation::kIgnoreDependencies)
    return round.Wait(service, "what it depends on is not settled yet");
  std::vector<const ObservedEndpoint*> candidates = state.outdated;
  for (const ObservedEndpoint* engine : state.assigned) {
    if (surplus > 0 && engine->status &&
        engine->status->state == EngineState::kReady &&
        RunsDeclared(*engine->status, service))
      candidates.push_back(engine);
  }
  for (const ObservedEndpoint* engine : candidates) {
    const bool outdated = !RunsDeclared(*engine->status, service);
    if (round.handled.contains(engine->id) || engine->draining_since ||
        round.survey.Loading().contains(engine->id) ||
        (!outdated && surplus <= 0))
      continue;
    if (!HasFreeSlot(round))
      return round.Wait(service, "two engines load or drain already");
    if (!CanLoseReplica(round, service)) {
      const auto& idle = round.survey.Idle(service.pool);
      const bool surge = outdated && surplus <= 0 && !idle.empty() &&
                         !round.handled.contains((*idle.begin())->id);
      if (!surge)
        return round.Wait(service, "a change would go below the floor");
      return Load(round, service, **idle.begin(),
                  "an extra replica, so that a weight swap stays above the "
                  "floor");
    }
    BeginDrain(round, *engine, service.name,
               surplus > 0 ? "more replicas than declared"
                           : "runs other weights than declared");
    --surplus;
  }
}

void FleetPlanner::BeginDrain(Round& round,
                              const ObservedEndpoint& engine,
                              const ServiceName& service,
                              const std::string& reason) const {
  round.Drain(engine, reason);
  --round.serving[service];
}

void FleetPlanner::FreeUndeclared(Round& round) const {
  for (const ObservedEndpoint* engine : round.survey.Undeclared()) {
    if (round.handled.contains(engine->id) ||
        engine->status->state != EngineState::kReady)
      continue;
    if (!HasFreeSlot(round))
      return;
    BeginDrain(round, *engine, engine->status->role,
               "no service of the declaration has its role");
  }
}

}  // namespace carobshift
