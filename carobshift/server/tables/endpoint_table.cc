#include "carobshift/server/tables/endpoint_table.h"

#include <utility>

namespace carobshift {
namespace {

// A dump lists this many endpoints and then only counts.
constexpr std::size_t kMaxDumped = 200;

bool ServesModel(const EndpointInfo& endpoint, const ServiceSpec& service) {
  return endpoint.kind == InstanceKind::kEngine && endpoint.status &&
         endpoint.status->state == EngineState::kReady &&
         endpoint.status->role == service.name &&
         endpoint.status->model == service.model;
}

bool Serves(const EndpointInfo& endpoint, const ServiceSpec& service) {
  if (endpoint.leaving || endpoint.pool != service.pool)
    return false;
  if (service.kind == ServiceKind::kPlain)
    return endpoint.kind == InstanceKind::kPlainService;
  return ServesModel(endpoint, service);
}

}  // namespace

void EndpointTable::ReplaceList(const std::vector<ListedInstance>& instances) {
  std::map<EndpointId, EndpointInfo> fresh;
  const std::lock_guard lock(mutex_);
  for (const ListedInstance& listed : instances) {
    EndpointInfo info;
    info.id = EndpointId(listed.id);
    const auto known = endpoints_.find(info.id);
    if (known != endpoints_.end() && known->second.address == listed.address) {
      info = known->second;
    }
    info.kind = listed.kind;
    info.pool = listed.pool;
    info.zone = listed.zone;
    info.address = listed.address;
    info.leaving = listed.state == InstanceState::kLeaving;
    fresh.emplace(info.id, std::move(info));
  }
  endpoints_ = std::move(fresh);
}

void EndpointTable::UpdateStatus(const EndpointId& id,
                                 const EngineStatus& status,
                                 MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end())
    return;
  it->second.status = status;
  it->second.status_time = now;
}

void EndpointTable::MarkLost(const EndpointId& id) {
  const std::lock_guard lock(mutex_);
  const auto it = endpoints_.find(id);
  if (it != endpoints_.end())
    it->second.status.reset();
}

std::vector<EndpointInfo> EndpointTable::Candidates(
    const ServiceSpec& service) const {
  std::vector<EndpointInfo> out;
  const std::lock_guard lock(mutex_);
  for (const auto& [id, endpoint] : endpoints_) {
    if (Serves(endpoint, service))
      out.push_back(endpoint);
  }
  return out;
}

std::vector<EndpointInfo> EndpointTable::All(InstanceKind kind) const {
  std::vector<EndpointInfo> out;
  const std::lock_guard lock(mutex_);
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.kind == kind)
      out.push_back(endpoint);
  }
  return out;
}

nlohmann::json EndpointTable::DumpState() const {
  nlohmann::json rows = nlohmann::json::array();
  const std::lock_guard lock(mutex_);
  for (const auto& [id, endpoint] : endpoints_) {
    if (rows.size() == kMaxDumped)
      break;
    nlohmann::json row = {{"id", id.value()},
                          {"pool", endpoint.pool.value()},
                          {"zone", endpoint.zone.value()},
                          {"address", endpoint.address.ToString()},
                          {"leaving", endpoint.leaving}};
    if (endpoint.status) {
      row["role"] = endpoint.status->role.value();
      row["version"] = endpoint.status->version.value();
      row["running"] = endpoint.status->running;
      row["queued"] = endpoint.status->queued;
    }
    rows.push_back(std::move(row));
  }
  return {{"count", endpoints_.size()}, {"endpoints", std::move(rows)}};
}

}  // namespace carobshift
