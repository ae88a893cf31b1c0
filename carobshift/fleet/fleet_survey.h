// FleetSurvey counts and classifies the endpoints of a declaration. The planner
// builds one per planning round.
//
//   FleetSurvey survey(declaration, engines, plain, pending, last_roles, now);
//   int serving = survey.StateOf(service.name).serving;
//
// The cost is linear in the number of endpoints plus services.

#ifndef CAROBSHIFT_FLEET_FLEET_SURVEY_H_
#define CAROBSHIFT_FLEET_FLEET_SURVEY_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/config/declaration.h"
#include "carobshift/fleet/endpoint.h"

namespace carobshift {

// An order whose effect has not been read back yet.
struct PendingOrder {
  EngineOrder order;
  MonotonicTime sent{};
};

// Returns whether the engine runs the model, weights and adapters that the
// service declares.
[[nodiscard]] bool RunsDeclared(const EngineStatus& status,
                                const ServiceSpec& service);

// Returns the services so that each follows all its dependencies or, without
// `by_dependency`, in declaration order. The declaration has no cycles.
[[nodiscard]] std::vector<const ServiceSpec*> OrderServices(
    const Declaration& declaration,
    bool by_dependency);

// Holds pointers into its constructor arguments, which must outlive it.
class FleetSurvey {
 public:
  // An engine that has not answered for this long counts as lost and is
  // replaced.
  static constexpr Milliseconds kLostAfter{3000};
  [[nodiscard]] static bool IsLost(const ObservedEndpoint& engine,
                                   MonotonicTime now);

  FleetSurvey(const Declaration& declaration,
              const std::vector<ObservedEndpoint>& engines,
              const std::vector<ObservedEndpoint>& plain,
              const std::map<EndpointId, PendingOrder>& pending,
              const std::map<EndpointId, ServiceName>& last_roles,
              MonotonicTime now);

  struct ServiceState {
    // Engines that run, load or are ordered to load the service, including
    // those that have only recently stopped answering; excludes leaving and
    // lost engines.
    std::vector<const ObservedEndpoint*> assigned;
    // The engines of `assigned` that are ready with a model, version or
    // adapters other than declared.
    std::vector<const ObservedEndpoint*> outdated;
    // Number of endpoints that take new work now.
    int serving = 0;
    std::map<ZoneName, int> per_zone;
  };

  [[nodiscard]] const ServiceState& StateOf(const ServiceName& service) const;
  // Idle engines of a pool.
  [[nodiscard]] const std::set<const ObservedEndpoint*>& Idle(
      const PoolName& pool) const;
  // Engines whose role no service of their pool declares.
  [[nodiscard]] const std::vector<const ObservedEndpoint*>& Undeclared() const {
    return undeclared_;
  }
  // Engines that load now or are ordered to.
  [[nodiscard]] const std::set<EndpointId>& Loading() const { return loading_; }

  // Returns whether every dependency of the service serves at its floor, and
  // with at least one replica.
  [[nodiscard]] bool DependenciesServe(const ServiceSpec& service) const;
  // Returns whether, in addition, no dependency has outdated weights.
  [[nodiscard]] bool DependenciesSettled(const ServiceSpec& service) const;

 private:
  void AddEngine(const ObservedEndpoint& engine,
                 const std::map<EndpointId, PendingOrder>& pending,
                 const std::map<EndpointId, ServiceName>& last_roles,
                 MonotonicTime now);
  void AddAssigned(const ObservedEndpoint& engine, const ServiceSpec& service);

  const Declaration& declaration_;
  std::map<ServiceName, ServiceState> services_;
  std::map<PoolName, std::set<const ObservedEndpoint*>> idle_;
  std::vector<const ObservedEndpoint*> undeclared_;
  std::set<EndpointId> loading_;
  // Returned for names that the declaration does not contain.
  ServiceState empty_state_;
  std::set<const ObservedEndpoint*> empty_engines_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_FLEET_FLEET_SURVEY_H_
