// FleetPlanner compares the declared configuration with the observed endpoints
// and returns orders, each with a reason. It restores replicas in dependency
// order, swaps weights and frees surplus replicas.
//
//   FleetPlanner planner(options);
//   planner.BeginLeaseTerm(now);                       // lease acquired
//   FleetPlan plan = planner.Plan(declaration, engines, plain, number, now);
//   // unless plan.keep_drains: publish plan.drains, withdraw other drains
//   // send plan.orders
//   planner.OnOrderSent(order, now);
//
// A planned change of a replica takes these steps: no instance sends it new
// work (a drain spread by gossip), its running work ends, the order is sent,
// the state is read back, and the replica takes new work again. The plan is
// recomputed each round from the observed state, so a successor of the lease
// holder continues the drains and orders it finds.
//
// Load pattern: a weight swap takes 1 to 2 s, and longer when more than two run
// at once. Swaps also happen at peak load, and a rack may fail during one.
// Unlimited swaps would remove most of a service's capacity; a swap below the
// floor would remove its last replicas; a swap without a drain cuts off
// streams. Loads that restore a replica share the two slots with swaps and take
// priority.
//
// kDrainSettle is the two seconds within which every instance learns of a
// drain. Engines report their load with a lag, so only a report of no work that
// was requested at least kLoadReportLag after that proves that no work is left.

#ifndef CAROBSHIFT_FLEET_FLEET_PLANNER_H_
#define CAROBSHIFT_FLEET_FLEET_PLANNER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/units.h"
#include "carobshift/config/declaration.h"
#include "carobshift/external/engine.h"
#include "carobshift/fleet/endpoint.h"
#include "carobshift/fleet/fleet_survey.h"

namespace carobshift {

// Disables one mechanism, to show that the fuzz test detects its absence. For
// tests only.
enum class FleetMutation {
  kNone,
  kIgnoreFloor,
  kIgnoreSwapLimit,
  // Sends orders before running work has ended.
  kNoWaitForWork,
  // Sends orders before every instance has learned of the drain.
  kNoDrainSettle,
  kIgnoreDependencies,
};

struct FleetOptions {
  int max_swaps = 2;
  // An order that shows no effect is repeated after this long, far above the
  // two seconds of a load.
  Milliseconds order_retry_interval{15'000};
  // For tests only.
  FleetMutation mutation = FleetMutation::kNone;
};

struct FleetOrder {
  EndpointId endpoint{};
  NetAddress address{};
  bool checks_fencing = false;
  EngineOrder order{};
  std::string reason{};
};

// An endpoint to which no instance may send new work.
struct FleetDrain {
  EndpointId endpoint{};
  std::string reason{};
};

// A change that is blocked at present, reported to operators.
struct FleetWait {
  ServiceName service{};
  std::string reason{};
};

struct FleetPlan {
  // If true, the drains in the current facts stay unchanged: they are neither
  // repeated nor withdrawn.
  bool keep_drains = false;
  // All endpoints to drain; every other endpoint is admitted again.
  std::vector<FleetDrain> drains;
  std::vector<FleetOrder> orders;
  std::vector<FleetWait> waits;
};

// Thread-compatible. State is bounded by the number of endpoints given.
class FleetPlanner {
 public:
  static constexpr Milliseconds kDrainSettle{2000};
  static constexpr Milliseconds kLoadReportLag{1000};

  explicit FleetPlanner(const FleetOptions& options) : options_(options) {}

  // Starts a lease term and discards the state of the previous one. Statuses
  // requested before `now` are not trusted, since another holder may have sent
  // orders since.
  void BeginLeaseTerm(MonotonicTime now);

  // Computes the plan of this round. Orders carry the fencing number `number`.
  [[nodiscard]] FleetPlan Plan(const Declaration& declaration,
                               const std::vector<ObservedEndpoint>& engines,
                               const std::vector<ObservedEndpoint>& plain,
                               FencingNumber number,
                               MonotonicTime now);

  // Call for each order that was sent, even if its outcome is unknown.
  void OnOrderSent(const FleetOrder& order, MonotonicTime now);

 private:
  struct Round;

  void SettlePending(const std::vector<ObservedEndpoint>& engines,
                     MonotonicTime now);
  bool RaiseFencing(Round& round) const;
  void ContinueDrains(Round& round) const;
  // Returns why the drain must be aborted; null if it continues.
  [[nodiscard]] const char* DrainAbortReason(const Round& round,
                                             const ServiceSpec& service,
                                             bool should_free) const;
  void RestoreService(Round& round, const ServiceSpec& service) const;
  void ChangeService(Round& round, const ServiceSpec& service) const;
  void FreeUndeclared(Round& round) const;
  void BeginDrain(Round& round,
                  const ObservedEndpoint& engine,
                  const ServiceName& service,
                  const std::string& reason) const;
  void Load(Round& round,
            const ServiceSpec& service,
            const ObservedEndpoint& engine,
            const std::string& reason) const;
  [[nodiscard]] bool HasFreeSlot(const Round& round) const;
  [[nodiscard]] bool CanLoseReplica(const Round& round,
                                    const ServiceSpec& service) const;
  [[nodiscard]] bool IsDrained(const ObservedEndpoint& engine,
                               MonotonicTime now) const;

  FleetOptions options_;
  MonotonicTime term_start_{};
  std::map<EndpointId, PendingOrder> pending_;
  std::map<EndpointId, ServiceName> last_roles_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_FLEET_FLEET_PLANNER_H_
