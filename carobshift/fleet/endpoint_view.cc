#include "carobshift/fleet/endpoint_view.h"

namespace carobshift {

void EndpointView::OnList(const std::vector<ListedInstance>& instances,
                          MonotonicTime now) {
  for (auto& [id, entry] : endpoints_)
    entry.listed = false;
  for (const ListedInstance& listed : instances) {
    const EndpointId id(listed.id);
    auto it = endpoints_.find(id);
    if (it == endpoints_.end()) {
      if (endpoints_.size() >= kMaxEndpoints)
        continue;
      it = endpoints_.emplace(id, Entry{}).first;
    } else if (it->second.endpoint.address != listed.address) {
      // A different instance has taken the same id, so the old state does not
      // apply.
      it->second = Entry{};
    }
    UpdateFromList(listed, it->second, now);
  }
  std::erase_if(endpoints_, [now](const auto& item) {
    const Entry& entry = item.second;
    return !entry.listed && now - entry.last_answer >= kUnlistedLife;
  });
}

void EndpointView::UpdateFromList(const ListedInstance& listed,
                                  Entry& entry,
                                  MonotonicTime now) {
  entry.endpoint.id = EndpointId(listed.id);
  entry.endpoint.kind = listed.kind;
  entry.endpoint.pool = listed.pool;
  entry.endpoint.zone = listed.zone;
  entry.endpoint.address = listed.address;
  entry.listed = true;
  if (listed.state == InstanceState::kLeaving) {
    entry.leaving_by_list = true;
    entry.listed_live_since.reset();
    if (entry.endpoint.status)
      entry.leaving_incarnation = entry.endpoint.status->incarnation;
  } else if (entry.leaving_by_list) {
    if (!entry.listed_live_since)
      entry.listed_live_since = now;
    if (now - *entry.listed_live_since >= kReadmitAfter)
      entry.leaving_by_list = false;
  }
  UpdateLeaving(entry);
}

void EndpointView::UpdateLeaving(Entry& entry) {
  entry.endpoint.leaving = entry.leaving_by_list || entry.leaving_by_answer ||
                           entry.leaving_by_gossip;
}

void EndpointView::OnStatus(const EndpointId& id,
                            const EngineStatus& status,
                            MonotonicTime asked) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end())
    return;
  Entry& entry = it->second;
  // Answers to two requests may arrive out of order.
  if (entry.endpoint.status && asked < entry.endpoint.status_asked)
    return;
  // A restarted engine process does not inherit the leaving state of its
  // previous incarnation.
  const bool restarted = entry.leaving_incarnation &&
                         *entry.leaving_incarnation != status.incarnation;
  if (restarted && entry.listed_live_since) {
    entry.leaving_by_list = false;
    entry.leaving_incarnation.reset();
  }
  entry.leaving_by_answer = status.state == EngineState::kLeaving &&
                            mutation_ != EndpointViewMutation::kIgnoreOwnAnswer;
  entry.endpoint.status = status;
  entry.endpoint.status_asked = asked;
  entry.endpoint.failures = 0;
  entry.endpoint.silent_since.reset();
  entry.last_answer = asked;
  UpdateLeaving(entry);
}

void EndpointView::OnFailure(const EndpointId& id, MonotonicTime now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end())
    return;
  Entry& entry = it->second;
  ++entry.endpoint.failures;
  if (!entry.endpoint.silent_since)
    entry.endpoint.silent_since = now;
  if (entry.endpoint.failures < kLostAfterFailures)
    return;
  entry.endpoint.status.reset();
  entry.held_off_until = now + kHoldOff;
}

void EndpointView::OnSuccess(const EndpointId& id) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end())
    return;
  it->second.endpoint.failures = 0;
  it->second.endpoint.silent_since.reset();
  it->second.held_off_until.reset();
}

void EndpointView::OnFacts(const std::set<std::string>& leaving,
                           const std::set<std::string>& draining,
                           MonotonicTime now) {
  for (auto& [id, entry] : endpoints_) {
    entry.leaving_by_gossip = leaving.contains(id.value()) &&
                              mutation_ != EndpointViewMutation::kIgnoreGossip;
    const bool is_draining = draining.contains(id.value()) &&
                             mutation_ != EndpointViewMutation::kIgnoreDrains;
    if (!is_draining)
      entry.endpoint.draining_since.reset();
    else if (!entry.endpoint.draining_since)
      entry.endpoint.draining_since = now;
    UpdateLeaving(entry);
  }
}

bool EndpointView::TakesWork(const Entry& entry,
                             const ServiceSpec& service,
                             MonotonicTime now) {
  const ObservedEndpoint& endpoint = entry.endpoint;
  if (endpoint.pool != service.pool || endpoint.leaving ||
      endpoint.draining_since)
    return false;
  if (service.kind == ServiceKind::kPlain) {
    return endpoint.kind == InstanceKind::kPlainService &&
           (!entry.held_off_until || now >= *entry.held_off_until);
  }
  return endpoint.kind == InstanceKind::kEngine && endpoint.status &&
         endpoint.status->state == EngineState::kReady &&
         endpoint.status->role == service.name &&
         endpoint.status->model == service.model;
}

std::vector<ObservedEndpoint> EndpointView::EligibleEndpoints(
    const ServiceSpec& service,
    MonotonicTime now) const {
  std::vector<ObservedEndpoint> taking;
  for (const auto& [id, entry] : endpoints_) {
    if (TakesWork(entry, service, now))
      taking.push_back(entry.endpoint);
  }
  return taking;
}

std::vector<EndpointId> EndpointView::LeavingEndpoints() const {
  std::vector<EndpointId> ids;
  for (const auto& [id, entry] : endpoints_) {
    if (entry.leaving_by_list || entry.leaving_by_answer)
      ids.push_back(id);
  }
  return ids;
}

std::vector<ObservedEndpoint> EndpointView::Observed(InstanceKind kind) const {
  std::vector<ObservedEndpoint> observed;
  for (const auto& [id, entry] : endpoints_) {
    if (entry.endpoint.kind == kind)
      observed.push_back(entry.endpoint);
  }
  return observed;
}

std::optional<ObservedEndpoint> EndpointView::Find(const EndpointId& id) const {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end())
    return std::nullopt;
  return it->second.endpoint;
}

}  // namespace carobshift
