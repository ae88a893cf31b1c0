// Counts and classes of the endpoints of a declared whole, taken once per
// planning round.
//
//   FleetSurvey survey(declaration, engines, plain, pending, now);
//   int serving = survey.Serving(service);
//
// Its cost is linear in endpoints plus services.

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

// An order that was sent and whose effect has not been read back.
struct PendingOrder {
  EngineOrder order;
  MonotonicTime sent{};
};

// True if the engine runs what the service declares.
[[nodiscard]] bool RunsDeclared(const EngineStatus& status,
                                const ServiceSpec& service);

// Each service after all that it depends on, or in the order of the text. The
// declaration has no cycles.
[[nodiscard]] std::vector<const ServiceSpec*> OrderServices(
    const Declaration& declaration,
    bool by_dependency);

// Points into what it was made from, which must outlive it.
class FleetSurvey {
 public:
  // An engine silent for longer counts as lost and is replaced.
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
    // Engines that have, load or are ordered to load the service, the briefly
    // silent ones included; leaving and lost ones not.
    std::vector<const ObservedEndpoint*> assigned;
    // Those of `assigned` that are ready with another model, version or
    // adapters than declared.
    std::vector<const ObservedEndpoint*> outdated;
    // Endpoints that take new work now.
    int serving = 0;
    std::map<ZoneName, int> per_zone;
  };

  [[nodiscard]] const ServiceState& Of(const ServiceName& service) const;
  // Free engines of a pool, by id.
  [[nodiscard]] const std::set<const ObservedEndpoint*>& Idle(
      const PoolName& pool) const;
  // Engines whose role no service of their pool declares.
  [[nodiscard]] const std::vector<const ObservedEndpoint*>& Undeclared() const {
    return undeclared_;
  }
  // Engines that load now or are ordered to.
  [[nodiscard]] const std::set<EndpointId>& Loading() const { return loading_; }

  // True if all that the service depends on serves at its floor, and at least
  // one replica of it.
  [[nodiscard]] bool DependenciesServe(const ServiceSpec& service) const;
  // True if in addition none of them waits for a weight swap.
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
  // For names that the declaration does not know.
  ServiceState no_state_;
  std::set<const ObservedEndpoint*> no_engines_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_FLEET_FLEET_SURVEY_H_
