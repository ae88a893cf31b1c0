// What this entry knows of the instances: the platform's list and each
// engine's own status.
//
//   for (const EndpointInfo& endpoint : table.Candidates(service, now)) ...
//
// Thread-safe; returns copies. Bounded by the instance list.

#ifndef CAROBSHIFT_SERVER_TABLES_ENDPOINT_TABLE_H_
#define CAROBSHIFT_SERVER_TABLES_ENDPOINT_TABLE_H_

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/config/declaration.h"
#include "carobshift/platform/engine.h"
#include "carobshift/platform/instance_list.h"
#include "carobshift/telemetry/state_source.h"

namespace carobshift {

struct EndpointInfo {
  EndpointId id;
  InstanceKind kind = InstanceKind::kEngine;
  PoolName pool;
  ZoneName zone;
  NetAddress address;
  bool leaving = false;
  // An engine's last status and when it was read; nothing for plain services
  // and for engines that haven't answered since they were last lost.
  std::optional<EngineStatus> status;
  MonotonicTime status_time;
};

class EndpointTable : public StateSource {
 public:
  // Takes over a list. An instance that is no longer in it is forgotten.
  void ReplaceList(const std::vector<ListedInstance>& instances);

  void UpdateStatus(const EndpointId& id,
                    const EngineStatus& status,
                    MonotonicTime now);
  // The endpoint didn't answer: it takes no new work until it does.
  void MarkLost(const EndpointId& id);

  // Endpoints that may take new work of the service now.
  [[nodiscard]] std::vector<EndpointInfo> Candidates(
      const ServiceSpec& service) const;

  // All known instances of a kind, leaving ones included.
  [[nodiscard]] std::vector<EndpointInfo> All(InstanceKind kind) const;

  [[nodiscard]] nlohmann::json DumpState() const override;

 private:
  mutable std::mutex mutex_;
  std::map<EndpointId, EndpointInfo> endpoints_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TABLES_ENDPOINT_TABLE_H_
