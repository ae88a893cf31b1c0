#include "carobshift/fleet/fleet_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace carobshift {
namespace {

// A new holder raises the fencing number everywhere first, but an engine that
// never shows it does not hold up the rest for longer.
constexpr Milliseconds kFencingPatience{5000};

// An order that was sent has reached its engine by then or never will: the
// request timeout of the platform's clients.
constexpr Milliseconds kOrderArrives{2000};

bool ShowsEffect(const ObservedEndpoint& engine, const PendingOrder& pending) {
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

// An engine that leaves will not come back with the effect, but an order on
// its way may still have it load.
bool IsMoot(const ObservedEndpoint& engine, const PendingOrder& pending) {
  return engine.leaving && engine.status_asked >= pending.sent + kOrderArrives;
}

}  // namespace

struct FleetPlanner::Round {
  const Declaration& declaration;
  const std::vector<ObservedEndpoint>& engines;
  FencingNumber number;
  MonotonicTime now;
  FleetSurvey survey;
  FleetPlan plan;
  // Engines that load, drain or are about to.
  std::set<EndpointId> places;
  // Engines for which this round has decided.
  std::set<EndpointId> decided;
  // What is left after the decisions of this round.
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
    decided.insert(engine.id);
    places.insert(engine.id);
  }

  void Drain(const ObservedEndpoint& engine, const std::string& reason) {
    plan.drains.push_back({.endpoint = engine.id, .reason = reason});
    decided.insert(engine.id);
    places.insert(engine.id);
  }

  void Wait(const ServiceSpec& service, const std::string& reason) {
    plan.waits.push_back({.service = service.name, .reason = reason});
  }
};

void FleetPlanner::BeginTenure(MonotonicTime now) {
  tenure_began_ = now;
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
              .places = {},
              .decided = {},
              .serving = {},
              .surplus = {}};
  round.places = round.survey.Loading();
  for (const ServiceSpec& service : declaration.services) {
    const FleetSurvey::ServiceState& state = round.survey.Of(service.name);
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

// A pending order whose engine is gone must not keep its place, and one that
// never shows its effect is given again.
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
    if (pending == pending_.end() || lost || IsMoot(engine, pending->second) ||
        now - pending->second.sent >= options_.order_patience ||
        ShowsEffect(engine, pending->second))
      continue;
    kept.insert(*pending);
  }
  pending_ = std::move(kept);
  last_roles_ = std::move(roles);
}

// At the begin of a tenure the former holder's orders may still be on their
// way. An order that changes nothing raises the number that the engine has
// seen, and it refuses the late ones. Until then, until every status is newer
// than the tenure and until its last drains and withdrawals have arrived here,
// nothing else is decided.
bool FleetPlanner::RaiseFencing(Round& round) const {
  bool waits = round.now - tenure_began_ < kDrainSettle;
  for (const ObservedEndpoint& engine : round.engines) {
    if (!engine.status || engine.leaving)
      continue;
    const bool stale = engine.status_asked < tenure_began_;
    const bool low =
        round.ChecksFencing(engine) && engine.status->fencing < round.number;
    if (!stale && !low)
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
  if (!waits || round.now - tenure_began_ >= kFencingPatience) {
    round.plan.orders.clear();
    return false;
  }
  round.plan.keep_drains = true;
  return true;
}

void FleetPlanner::ContinueDrains(Round& round) const {
  for (const ObservedEndpoint& engine : round.engines) {
    // A drain of an engine that is gone would keep its place for ever.
    if (!engine.draining_since || engine.leaving ||
        FleetSurvey::IsLost(engine, round.now))
      continue;
    const bool under_way = round.survey.Loading().contains(engine.id) ||
                           pending_.contains(engine.id);
    if (under_way || !engine.status) {
      round.Drain(engine, "order under way");
      continue;
    }
    if (engine.status->state != EngineState::kReady)
      continue;
    const ServiceSpec* service =
        round.declaration.FindService(engine.status->role);
    const bool declared = service != nullptr && service->pool == engine.pool;
    int* surplus = declared ? &round.surplus[service->name] : nullptr;
    const bool free_it = !declared || *surplus > 0;
    // Admitted again. It counts as serving from the next round on.
    if (!free_it && RunsDeclared(*engine.status, *service))
      continue;
    if (const char* reason =
            declared ? WhyGivenUp(round, *service, free_it) : nullptr) {
      round.Wait(*service,
                 "drain of " + engine.id.value() + " given up: " + reason);
      round.decided.insert(engine.id);
      continue;
    }
    if (surplus != nullptr && *surplus > 0)
      --*surplus;
    round.Drain(engine,
                free_it ? "drained to be freed" : "drained for a weight swap");
    if (!IsDrained(engine, round.now))
      continue;
    if (free_it) {
      EngineOrder unload;
      unload.kind = OrderKind::kUnload;
      round.Order(engine, unload,
                  "its running work has ended and no service needs it");
    } else {
      Load(round, *service, engine, "weight swap: its running work has ended");
    }
  }
}

// Replicas of the service, or of one that it depends on, failed since the
// drain began: the work that the engine could take is worth more than the
// change.
const char* FleetPlanner::WhyGivenUp(const Round& round,
                                     const ServiceSpec& service,
                                     bool free_it) const {
  if (round.serving.at(service.name) < service.floor &&
      options_.mutation != FleetMutation::kIgnoreFloor)
    return "fewer replicas than the floor";
  if (!free_it && !round.survey.DependenciesServe(service) &&
      options_.mutation != FleetMutation::kIgnoreDependencies)
    return "what it depends on does not serve";
  return nullptr;
}

bool FleetPlanner::IsDrained(const ObservedEndpoint& engine,
                             MonotonicTime now) const {
  const bool no_settle = options_.mutation == FleetMutation::kNoDrainSettle;
  // A drain found at the begin of a tenure may have been withdrawn by the
  // former holder, unheard here: it counts from when this holder repeats it.
  const MonotonicTime since = std::max(*engine.draining_since, tenure_began_);
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

bool FleetPlanner::HasPlace(const Round& round) const {
  return static_cast<int>(round.places.size()) < options_.max_swaps ||
         options_.mutation == FleetMutation::kIgnoreSwapLimit;
}

bool FleetPlanner::MayLoseOne(const Round& round,
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
  const FleetSurvey::ServiceState& state = round.survey.Of(service.name);
  int missing = service.replicas - static_cast<int>(state.assigned.size());
  if (missing <= 0)
    return;
  if (!round.survey.DependenciesServe(service) &&
      options_.mutation != FleetMutation::kIgnoreDependencies)
    return round.Wait(service, "what it depends on does not serve yet");
  std::map<ZoneName, int> per_zone = state.per_zone;
  for (; missing > 0; --missing) {
    if (!HasPlace(round))
      return round.Wait(service, "two engines load or drain already");
    const ObservedEndpoint* chosen = nullptr;
    for (const ObservedEndpoint* idle : round.survey.Idle(service.pool)) {
      if (round.decided.contains(idle->id))
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
  const FleetSurvey::ServiceState& state = round.survey.Of(service.name);
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
    if (round.decided.contains(engine->id) || engine->draining_since ||
        round.survey.Loading().contains(engine->id) ||
        (!outdated && surplus <= 0))
      continue;
    if (!HasPlace(round))
      return round.Wait(service, "two engines load or drain already");
    if (!MayLoseOne(round, service)) {
      const auto& idle = round.survey.Idle(service.pool);
      const bool surge = outdated && surplus <= 0 && !idle.empty() &&
                         !round.decided.contains((*idle.begin())->id);
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
    if (round.decided.contains(engine->id) ||
        engine->status->state != EngineState::kReady)
      continue;
    if (!HasPlace(round))
      return;
    BeginDrain(round, *engine, engine->status->role,
               "no service of the declaration has its role");
  }
}

}  // namespace carobshift
