#include "carobshift/fleet/fleet_survey.h"

#include <algorithm>
#include <functional>

namespace carobshift {
namespace {

// Returns the service that the engine runs, loads or is ordered to load.
ServiceName RoleOf(const ObservedEndpoint& engine,
                   const std::map<EndpointId, PendingOrder>& pending,
                   const std::map<EndpointId, ServiceName>& last_roles) {
  const auto order = pending.find(engine.id);
  if (order != pending.end())
    return order->second.order.role;
  if (engine.status) {
    return engine.status->state == EngineState::kIdle ? ServiceName()
                                                      : engine.status->role;
  }
  const auto last = last_roles.find(engine.id);
  return last == last_roles.end() ? ServiceName() : last->second;
}

}  // namespace

std::vector<const ServiceSpec*> OrderServices(const Declaration& declaration,
                                              bool by_dependency) {
  std::vector<const ServiceSpec*> ordered;
  std::set<ServiceName> visited;
  const std::function<void(const ServiceSpec&)> visit =
      [&](const ServiceSpec& service) {
        if (!visited.insert(service.name).second)
          return;
        for (const ServiceName& name : service.depends_on) {
          const ServiceSpec* dependency = declaration.FindService(name);
          if (dependency != nullptr && by_dependency)
            visit(*dependency);
        }
        ordered.push_back(&service);
      };
  for (const ServiceSpec& service : declaration.services)
    visit(service);
  return ordered;
}

bool FleetSurvey::IsLost(const ObservedEndpoint& engine, MonotonicTime now) {
  if (engine.status)
    return false;
  return !engine.silent_since || now - *engine.silent_since >= kLostAfter;
}

bool RunsDeclared(const EngineStatus& status, const ServiceSpec& service) {
  return status.model == service.model && status.version == service.weights &&
         status.adapters == service.adapters;
}

FleetSurvey::FleetSurvey(const Declaration& declaration,
                         const std::vector<ObservedEndpoint>& engines,
                         const std::vector<ObservedEndpoint>& plain,
                         const std::map<EndpointId, PendingOrder>& pending,
                         const std::map<EndpointId, ServiceName>& last_roles,
                         MonotonicTime now)
    : declaration_(declaration) {
  for (const ServiceSpec& service : declaration.services)
    services_[service.name];
  for (const PoolSpec& pool : declaration.pools)
    idle_[pool.name];
  for (const ObservedEndpoint& engine : engines)
    AddEngine(engine, pending, last_roles, now);
  for (const ObservedEndpoint& endpoint : plain) {
    for (const ServiceSpec& service : declaration.services) {
      if (service.kind == ServiceKind::kPlain &&
          service.pool == endpoint.pool && !endpoint.leaving &&
          endpoint.failures == 0)
        ++services_[service.name].serving;
    }
  }
}

void FleetSurvey::AddEngine(const ObservedEndpoint& engine,
                            const std::map<EndpointId, PendingOrder>& pending,
                            const std::map<EndpointId, ServiceName>& last_roles,
                            MonotonicTime now) {
  const bool loads =
      engine.status && engine.status->state == EngineState::kLoading;
  const auto order = pending.find(engine.id);
  const bool ordered_load =
      order != pending.end() && order->second.order.kind == OrderKind::kLoad;
  if (loads || ordered_load)
    loading_.insert(engine.id);
  if (engine.leaving || IsLost(engine, now))
    return;
  const ServiceName role = RoleOf(engine, pending, last_roles);
  if (role.value().empty()) {
    const bool free = engine.status && !engine.draining_since &&
                      order == pending.end() && !loads &&
                      idle_.contains(engine.pool);
    if (free)
      idle_[engine.pool].insert(&engine);
    return;
  }
  const ServiceSpec* service = declaration_.FindService(role);
  if (service == nullptr || service->pool != engine.pool) {
    if (engine.status)
      undeclared_.push_back(&engine);
    return;
  }
  AddAssigned(engine, *service);
}

void FleetSurvey::AddAssigned(const ObservedEndpoint& engine,
                              const ServiceSpec& service) {
  ServiceState& state = services_[service.name];
  state.assigned.push_back(&engine);
  ++state.per_zone[engine.zone];
  const bool ready = engine.status &&
                     engine.status->state == EngineState::kReady &&
                     engine.status->role == service.name;
  if (!ready || loading_.contains(engine.id))
    return;
  if (!RunsDeclared(*engine.status, service))
    state.outdated.push_back(&engine);
  if (!engine.draining_since)
    ++state.serving;
}

const FleetSurvey::ServiceState& FleetSurvey::StateOf(
    const ServiceName& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? empty_state_ : it->second;
}

const std::set<const ObservedEndpoint*>& FleetSurvey::Idle(
    const PoolName& pool) const {
  const auto it = idle_.find(pool);
  return it == idle_.end() ? empty_engines_ : it->second;
}

bool FleetSurvey::DependenciesServe(const ServiceSpec& service) const {
  return std::all_of(
      service.depends_on.begin(), service.depends_on.end(),
      [this](const ServiceName& name) {
        const ServiceSpec* dependency = declaration_.FindService(name);
        if (dependency == nullptr)
          return true;
        const int required =
            std::max(dependency->floor, std::min(1, dependency->replicas));
        return StateOf(name).serving >= required;
      });
}

bool FleetSurvey::DependenciesSettled(const ServiceSpec& service) const {
  return DependenciesServe(service) &&
         std::all_of(service.depends_on.begin(), service.depends_on.end(),
                     [this](const ServiceName& name) {
                       return StateOf(name).outdated.empty();
                     });
}

}  // namespace carobshift
