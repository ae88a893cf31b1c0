#include "carobshift/server/tables/endpoint_table.h"

#include <array>
#include <utility>

namespace carobshift {
namespace {

// Maximum number of endpoints listed in a dump. The count covers all.
constexpr std::size_t kMaxDumped = 200;

constexpr std::array kKinds = {
    InstanceKind::kEntry, InstanceKind::kEngine, InstanceKind::kPlainService,
    InstanceKind::kStore, InstanceKind::kWeightStore};

std::vector<EndpointInfo> ToInfos(std::vector<ObservedEndpoint> observed) {
  std::vector<EndpointInfo> infos;
  infos.reserve(observed.size());
  for (ObservedEndpoint& endpoint : observed) {
    infos.push_back({std::move(endpoint.id), endpoint.kind,
                     std::move(endpoint.pool), std::move(endpoint.zone),
                     std::move(endpoint.address), endpoint.leaving,
                     std::move(endpoint.status), endpoint.status_asked});
  }
  return infos;
}

nlohmann::json DumpEndpoint(const ObservedEndpoint& endpoint) {
  nlohmann::json row = {{"id", endpoint.id.value()},
                        {"pool", endpoint.pool.value()},
                        {"zone", endpoint.zone.value()},
                        {"address", endpoint.address.ToString()},
                        {"leaving", endpoint.leaving},
                        {"draining", endpoint.draining_since.has_value()},
                        {"failures", endpoint.failures}};
  if (endpoint.status) {
    row["role"] = endpoint.status->role.value();
    row["version"] = endpoint.status->version.value();
    row["running"] = endpoint.status->running;
    row["queued"] = endpoint.status->queued;
    row["fencing"] = endpoint.status->fencing.value();
  }
  return row;
}

}  // namespace

void EndpointTable::ReplaceList(const std::vector<ListedInstance>& instances,
                                MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  view_.OnList(instances, now);
}

void EndpointTable::UpdateStatus(const EndpointId& id,
                                 const EngineStatus& status,
                                 MonotonicTime asked) {
  const std::lock_guard lock(mutex_);
  view_.OnStatus(id, status, asked);
}

bool EndpointTable::NoteFailure(const EndpointId& id, MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  const auto before = view_.Find(id);
  view_.OnFailure(id, now);
  const auto after = view_.Find(id);
  return before && before->status && after && !after->status;
}

void EndpointTable::ApplyFacts(const std::set<std::string>& leaving,
                               const std::set<std::string>& draining,
                               MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  view_.OnFacts(leaving, draining, now);
}

std::vector<EndpointInfo> EndpointTable::Candidates(
    const ServiceSpec& service) const {
  const MonotonicTime now = MonotonicNow();
  const std::lock_guard lock(mutex_);
  return ToInfos(view_.EligibleEndpoints(service, now));
}

std::vector<EndpointInfo> EndpointTable::All(InstanceKind kind) const {
  const std::lock_guard lock(mutex_);
  return ToInfos(view_.Observed(kind));
}

std::vector<ObservedEndpoint> EndpointTable::Observed(InstanceKind kind) const {
  const std::lock_guard lock(mutex_);
  return view_.Observed(kind);
}

std::vector<EndpointId> EndpointTable::SeenLeaving() const {
  const std::lock_guard lock(mutex_);
  return view_.LeavingEndpoints();
}

nlohmann::json EndpointTable::DumpState() const {
  nlohmann::json rows = nlohmann::json::array();
  const std::lock_guard lock(mutex_);
  for (const InstanceKind kind : kKinds) {
    for (const ObservedEndpoint& endpoint : view_.Observed(kind)) {
      if (rows.size() < kMaxDumped)
        rows.push_back(DumpEndpoint(endpoint));
    }
  }
  return {{"count", view_.size()}, {"endpoints", std::move(rows)}};
}

}  // namespace carobshift
