// The instances that this entry knows, shared by its threads. Guards the view
// of fleet/endpoint_view.h with a mutex.
//
//   for (const EndpointInfo& endpoint : table.Candidates(service)) ...
//
// Thread-safe. Returns copies. Bounded by EndpointView::kMaxEndpoints.

#ifndef CAROBSHIFT_SERVER_TABLES_ENDPOINT_TABLE_H_
#define CAROBSHIFT_SERVER_TABLES_ENDPOINT_TABLE_H_

#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/config/declaration.h"
#include "carobshift/external/engine.h"
#include "carobshift/external/instance_list.h"
#include "carobshift/fleet/endpoint_view.h"
#include "carobshift/telemetry/state_source.h"

namespace carobshift {

struct EndpointInfo {
  EndpointId id;
  InstanceKind kind = InstanceKind::kEngine;
  PoolName pool;
  ZoneName zone;
  NetAddress address;
  bool leaving = false;
  // An engine's last status and the time of that poll. Empty for plain services
  // and for engines that have not answered since they were last considered
  // lost.
  std::optional<EngineStatus> status;
  MonotonicTime status_time;
};

class EndpointTable : public StateSource {
 public:
  void ReplaceList(const std::vector<ListedInstance>& instances,
                   MonotonicTime now);

  void UpdateStatus(const EndpointId& id,
                    const EngineStatus& status,
                    MonotonicTime asked);
  // Call when the endpoint did not answer. True if this failure makes it lost:
  // it then takes no new work until it answers again.
  bool NoteFailure(const EndpointId& id, MonotonicTime now);
  // Applies facts received by gossip; see EndpointView::OnFacts.
  void ApplyFacts(const std::set<std::string>& leaving,
                  const std::set<std::string>& draining,
                  MonotonicTime now);

  // Endpoints that accept new work of the service now.
  [[nodiscard]] std::vector<EndpointInfo> Candidates(
      const ServiceSpec& service) const;

  // All known instances of a kind, including leaving ones.
  [[nodiscard]] std::vector<EndpointInfo> All(InstanceKind kind) const;
  // The same, as input to the fleet planner.
  [[nodiscard]] std::vector<ObservedEndpoint> Observed(InstanceKind kind) const;
  [[nodiscard]] std::vector<EndpointId> SeenLeaving() const;

  [[nodiscard]] nlohmann::json DumpState() const override;

 private:
  mutable std::mutex mutex_;
  EndpointView view_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TABLES_ENDPOINT_TABLE_H_
