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
    } else if (it->second.seen.address != listed.address) {
      // Another instance under the same name: nothing known holds for it.
      it->second = Entry{};
    }
    TakeListed(listed, it->second, now);
  }
  std::erase_if(endpoints_, [now](const auto& item) {
    const Entry& entry = item.second;
    return !entry.listed && now - entry.last_answer >= kUnlistedLife;
  });
}

void EndpointView::TakeListed(const ListedInstance& listed,
                              Entry& entry,
                              MonotonicTime now) {
  entry.seen.id = EndpointId(listed.id);
  entry.seen.kind = listed.kind;
  entry.seen.pool = listed.pool;
  entry.seen.zone = listed.zone;
  entry.seen.address = listed.address;
  entry.listed = true;
  if (listed.state == InstanceState::kLeaving) {
    entry.leaving_by_list = true;
    entry.live_since.reset();
    if (entry.seen.status)
      entry.leaving_incarnation = entry.seen.status->incarnation;
  } else if (entry.leaving_by_list) {
    if (!entry.live_since)
      entry.live_since = now;
    if (now - *entry.live_since >= kReadmitAfter)
      entry.leaving_by_list = false;
  }
  UpdateLeaving(entry);
}

void EndpointView::UpdateLeaving(Entry& entry) {
  entry.seen.leaving = entry.leaving_by_list || entry.leaving_by_answer ||
                       entry.leaving_by_gossip;
}

void EndpointView::OnStatus(const EndpointId& id,
                            const EngineStatus& status,
                            MonotonicTime asked) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end())
    return;
  Entry& entry = it->second;
  // Answers of two requests may arrive in the other order.
  if (entry.seen.status && asked < entry.seen.status_asked)
    return;
  // A new life of the process has nothing to do with the former one's stop.
  const bool restarted = entry.leaving_incarnation &&
                         *entry.leaving_incarnation != status.incarnation;
  if (restarted && entry.live_since) {
    entry.leaving_by_list = false;
    entry.leaving_incarnation.reset();
  }
  entry.leaving_by_answer = status.state == EngineState::kLeaving &&
                            mutation_ != EndpointViewMutation::kIgnoreOwnAnswer;
  entry.seen.status = status;
  entry.seen.status_asked = asked;
  entry.seen.failures = 0;
  entry.seen.silent_since.reset();
  entry.last_answer = asked;
  UpdateLeaving(entry);
}

void EndpointView::OnFailure(const EndpointId& id, MonotonicTime now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end())
    return;
  Entry& entry = it->second;
  ++entry.seen.failures;
  if (!entry.seen.silent_since)
    entry.seen.silent_since = now;
  if (entry.seen.failures < kLostAfterFailures)
    return;
  entry.seen.status.reset();
  entry.held_off_until = now + kHoldOff;
}

void EndpointView::OnSuccess(const EndpointId& id) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end())
    return;
  it->second.seen.failures = 0;
  it->second.seen.silent_since.reset();
  it->second.held_off_until.reset();
}

void EndpointView::OnFacts(const std::set<std::string>& leaving,
                           const std::set<std::string>& draining,
                           MonotonicTime now) {
  for (auto& [id, entry] : endpoints_) {
    entry.leaving_by_gossip = leaving.contains(id.value()) &&
                              mutation_ != EndpointViewMutation::kIgnoreGossip;
    const bool drains = draining.contains(id.value()) &&
                        mutation_ != EndpointViewMutation::kIgnoreDrains;
    if (!drains)
      entry.seen.draining_since.reset();
    else if (!entry.seen.draining_since)
      entry.seen.draining_since = now;
    UpdateLeaving(entry);
  }
}

bool EndpointView::TakesWork(const Entry& entry,
                             const ServiceSpec& service,
                             MonotonicTime now) {
  const ObservedEndpoint& seen = entry.seen;
  if (seen.pool != service.pool || seen.leaving || seen.draining_since)
    return false;
  if (service.kind == ServiceKind::kPlain) {
    return seen.kind == InstanceKind::kPlainService &&
           (!entry.held_off_until || now >= *entry.held_off_until);
  }
  return seen.kind == InstanceKind::kEngine && seen.status &&
         seen.status->state == EngineState::kReady &&
         seen.status->role == service.name &&
         seen.status->model == service.model;
}

std::vector<ObservedEndpoint> EndpointView::TakingWork(
    const ServiceSpec& service,
    MonotonicTime now) const {
  std::vector<ObservedEndpoint> taking;
  for (const auto& [id, entry] : endpoints_) {
    if (TakesWork(entry, service, now))
      taking.push_back(entry.seen);
  }
  return taking;
}

std::vector<EndpointId> EndpointView::SeenLeaving() const {
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
    if (entry.seen.kind == kind)
      observed.push_back(entry.seen);
  }
  return observed;
}

std::optional<ObservedEndpoint> EndpointView::Find(const EndpointId& id) const {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end())
    return std::nullopt;
  return it->second.seen;
}

}  // namespace carobshift
