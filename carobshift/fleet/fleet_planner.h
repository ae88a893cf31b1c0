// From the declared whole and the observed endpoints to orders, each with a
// reason: replicas are restored in dependency order, weights are swapped, and
// surplus replicas are freed.
//
//   FleetPlanner planner(options);
//   planner.BeginTenure(now);                       // lease acquired
//   FleetPlan plan = planner.Plan(declaration, engines, plain, number, now);
//   // unless plan.keep_drains: publish plan.drains, withdraw other drains
//   // send plan.orders
//   planner.OnOrderSent(order, now);
//
// A planned change of a replica is: it gets no new work from any entry (a
// drain that the gossip spreads), its running work ends, the order, the state
// read back, then new work again. The plan is made anew each round from what
// is observed, so that a successor of the lease holder goes on with the drains
// and orders that it finds.
//
// Load pattern: a weight swap takes 1 to 2 s, longer when more than two run at
// once, and comes at the busiest hour as well; a rack is lost while one is
// under way. Swaps without a bound would take most of a service away; a swap
// below the floor does so to its last replicas; a swap without a drain cuts
// off streams. Loads that restore a replica and swaps share the two places;
// restoring comes first.
//
// kDrainSettle is the two seconds within which every entry knows of a drain.
// Engines report their load with a lag: only a report of no work that was asked
// for kLoadReportLag later than that proves that none is left.

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

// Removes one mechanism, to show that the fuzz test notices. For tests only.
enum class FleetMutation {
  kNone,
  kIgnoreFloor,
  kIgnoreSwapLimit,
  // Orders go out before running work has ended.
  kNoWaitForWork,
  // Orders go out before every entry knows of the drain.
  kNoDrainSettle,
  kIgnoreDependencies,
};

struct FleetOptions {
  int max_swaps = 2;
  // An order that shows no effect is repeated after this long; far above the
  // two seconds of a load.
  Milliseconds order_patience{15'000};
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

// An endpoint to be kept free of new work, by every entry.
struct FleetDrain {
  EndpointId endpoint{};
  std::string reason{};
};

// What can't be done now, for the operators.
struct FleetWait {
  ServiceName service{};
  std::string reason{};
};

struct FleetPlan {
  // The drains that facts now hold are to stay as they are: neither repeated
  // nor withdrawn.
  bool keep_drains = false;
  // All endpoints to be drained; any other one is to be admitted again.
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

  // Forgets what a former tenure knew. Statuses asked for before are not
  // trusted: another holder may have ordered since.
  void BeginTenure(MonotonicTime now);

  // `number` is put into the orders.
  [[nodiscard]] FleetPlan Plan(const Declaration& declaration,
                               const std::vector<ObservedEndpoint>& engines,
                               const std::vector<ObservedEndpoint>& plain,
                               FencingNumber number,
                               MonotonicTime now);

  // Call for each order that was sent, also if its outcome is not known.
  void OnOrderSent(const FleetOrder& order, MonotonicTime now);

 private:
  struct Round;

  void SettlePending(const std::vector<ObservedEndpoint>& engines,
                     MonotonicTime now);
  bool RaiseFencing(Round& round) const;
  void ContinueDrains(Round& round) const;
  // Null if the drain goes on.
  [[nodiscard]] const char* WhyGivenUp(const Round& round,
                                       const ServiceSpec& service,
                                       bool free_it) const;
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
  [[nodiscard]] bool HasPlace(const Round& round) const;
  [[nodiscard]] bool MayLoseOne(const Round& round,
                                const ServiceSpec& service) const;
  [[nodiscard]] bool IsDrained(const ObservedEndpoint& engine,
                               MonotonicTime now) const;

  FleetOptions options_;
  MonotonicTime tenure_began_{};
  std::map<EndpointId, PendingOrder> pending_;
  std::map<EndpointId, ServiceName> last_roles_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_FLEET_FLEET_PLANNER_H_
