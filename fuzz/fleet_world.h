// Engines, three entries with their endpoint views, one of them planning, and
// an oracle that knows the truth about every engine. See fleet_fuzz.cc.
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

  // Faults for some minutes of virtual time, then a quiet time in which the
  // declared whole must come back.
  std::vector<std::string> Run();

 private:
  struct Engine {
    EngineStatus status;
    bool alive = true;
    std::uint64_t loads = 0;
    // When it died, or began to say itself that it leaves.
    std::optional<MonotonicTime> gone_since;
    // When the list was told that it leaves.
    std::optional<MonotonicTime> listed_leaving;
    // First time that an entry saw it leaving, and when its drain began.
    std::optional<MonotonicTime> leaving_seen;
    std::optional<MonotonicTime> drained_since;
    // Lagging load report.
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
  void Violation(const std::string& what);

  void AddEngine();
  void BecomeHolder(std::size_t index);
  void RunEntry(std::size_t index);
  void PollList(Entry& entry);
  void PollStatus(Entry& entry, const EndpointId& id, Engine& engine);
  void ReportLoad(Engine& engine);
  void TakeFacts(Entry& entry);
  void Publish(std::size_t from, const Fact& fact);
  void NoteDrain(const Fact& fact);
  void SendWork(Entry& entry);
  void CheckWork(const EndpointId& id, const Engine& engine);

  void RunPlanner();
  void CheckNewDrains(const FleetPlan& plan);
  void CheckDependencies(const FleetOrder& order);
  void Obey(const FleetOrder& order);
  void StartLoad(const EndpointId& id, const EngineOrder& order);
  void CheckLoads();

  void Fault();
  void CheckWhole();

  // Replicas that really serve the service, those included that stopped so
  // lately that nobody can know.
  [[nodiscard]] int Serving(const ServiceSpec& service) const;

  Simulation simulation_;
  FleetWorldOptions options_;
  Declaration declaration_;
  std::map<EndpointId, Engine> engines_;
  std::vector<Entry> entries_;
  std::size_t holder_ = 0;
  FencingNumber number_{1};
  std::optional<FleetPlanner> planner_;
  DrainFacts drains_;
  std::map<ServiceName, MonotonicTime> last_served_;
  int engines_made_ = 0;
  int weights_ = 1;
  bool quiet_ = false;
  std::vector<std::string> violations_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_FUZZ_FLEET_WORLD_H_
