// Engines, three entries with their endpoint views, one of which plans the
// fleet, and an oracle that knows the true state of every engine. See
// fleet_fuzz.cc.
//
//   std::vector<std::string> violations = FleetWorld(seed, options).Run();

#ifndef CAROBSHIFT_FUZZ_FLEET_WORLD_H_
#define CAROBSHIFT_FUZZ_FLEET_WORLD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carobshift/fleet/endpoint_view.h"
#include "carobshift/fleet/fleet_facts.h"
#include "carobshift/fleet/fleet_planner.h"
#include "carobshift/membership/fact_table.h"
#include "fuzz/simulation.h"

namespace carobshift {

struct FleetWorldOptions {
  FleetMutation planner = FleetMutation::kNone;
  EndpointViewMutation view = EndpointViewMutation::kNone;
};

class FleetWorld {
 public:
  FleetWorld(std::uint64_t seed, const FleetWorldOptions& options);

  // Injects faults for some minutes of virtual time, then stops them and
  // requires that the declared state is restored. Returns the violations.
  std::vector<std::string> Run();

 private:
  struct Engine {
    EngineStatus status;
    bool alive = true;
    std::uint64_t loads = 0;
    // When the engine crashed, or first reported itself as leaving.
    std::optional<MonotonicTime> gone_since;
    // When the instance list was told that the engine is leaving.
    std::optional<MonotonicTime> listed_leaving;
    // When an entry first saw the engine leaving, and when its drain began.
    std::optional<MonotonicTime> leaving_seen;
    std::optional<MonotonicTime> drained_since;
    // The last load report, which lags behind the actual load.
    int reported_running = 0;
    MonotonicTime reported_at{};
  };
  struct Entry {
    EndpointView view;
    FactTable facts;
    bool list_outage = false;
  };

  SeededRandom& random() { return simulation_.random(); }
  [[nodiscard]] MonotonicTime now() const { return simulation_.now(); }
  void AddViolation(const std::string& what);

  void AddEngine();
  void MakeLeaseHolder(std::size_t index);
  void RunEntry(std::size_t index);
  void PollList(Entry& entry);
  void PollStatus(Entry& entry, const EndpointId& id, Engine& engine);
  void ReportLoad(Engine& engine);
  void UpdateViewFacts(Entry& entry);
  void Publish(std::size_t from, const Fact& fact);
  void RecordDrain(const Fact& fact);
  void DispatchWork(Entry& entry);
  void CheckDispatch(const EndpointId& id, const Engine& engine);

  void RunPlanner();
  void CheckNewDrains(const FleetPlan& plan);
  void CheckDependencies(const FleetOrder& order);
  void ApplyOrder(const FleetOrder& order);
  void StartLoad(const EndpointId& id, const EngineOrder& order);
  void CheckConcurrentLoads();

  void InjectFault();
  void CheckConverged();

  // Number of replicas that actually serve the service, including those that
  // stopped too recently to be known.
  [[nodiscard]] int Serving(const ServiceSpec& service) const;

  Simulation simulation_;
  FleetWorldOptions options_;
  Declaration declaration_;
  std::map<EndpointId, Engine> engines_;
  std::vector<Entry> entries_;
  std::size_t lease_holder_ = 0;
  FencingNumber fencing_number_{1};
  std::optional<FleetPlanner> planner_;
  DrainFacts drains_;
  std::map<ServiceName, MonotonicTime> last_served_;
  int engines_made_ = 0;
  int weights_ = 1;
  bool faults_off_ = false;
  std::vector<std::string> violations_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_FUZZ_FLEET_WORLD_H_
