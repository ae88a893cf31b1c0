#include "carobshift/server/tasks/instance_poller.h"

#include <utility>

#include "carobshift/fleet/fleet_facts.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr Milliseconds kIdleDelay{10};

}  // namespace

Milliseconds ListPoller::RunOnce(MonotonicTime) {
  auto instances = context_.platform.list.Fetch();
  // During an outage of the instance list the last list stays in use. The
  // endpoints' own status still shows which are gone.
  if (instances.ok()) {
    context_.endpoints.ReplaceList(instances.value(), MonotonicNow());
  } else {
    LogEvent(LogLevel::kWarning, "list_unavailable",
             {{"reason", instances.error().message}});
  }
  context_.membership.PublishFacts(
      LeavingFacts(context_.endpoints.SeenLeaving()), MonotonicNow());
  return context_.settings.list_poll_interval;
}

std::optional<EndpointInfo> StatusSchedule::Take(
    const std::vector<EndpointInfo>& engines,
    Milliseconds interval,
    MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  std::map<EndpointId, MonotonicTime> asked;
  const EndpointInfo* chosen = nullptr;
  MonotonicTime oldest = now - interval;
  for (const EndpointInfo& engine : engines) {
    const auto known = last_poll_times_.find(engine.id);
    const MonotonicTime last =
        known == last_poll_times_.end() ? MonotonicTime() : known->second;
    asked[engine.id] = last;
    if (in_progress_.contains(engine.id) || last > oldest)
      continue;
    chosen = &engine;
    oldest = last;
  }
  last_poll_times_ = std::move(asked);
  if (chosen == nullptr)
    return std::nullopt;
  last_poll_times_[chosen->id] = now;
  in_progress_.insert(chosen->id);
  return *chosen;
}

void StatusSchedule::Done(const EndpointId& engine) {
  const std::lock_guard lock(mutex_);
  in_progress_.erase(engine);
}

Milliseconds StatusPoller::RunOnce(MonotonicTime now) {
  const auto engine =
      schedule_.Take(context_.endpoints.All(InstanceKind::kEngine),
                     context_.settings.status_poll_interval, now);
  if (!engine)
    return kIdleDelay;
  PollEngine(*engine);
  schedule_.Done(engine->id);
  return Milliseconds(0);
}

void StatusPoller::PollEngine(const EndpointInfo& engine) {
  const MonotonicTime asked = MonotonicNow();
  const auto status = context_.platform.engines.FetchStatus(engine.address);
  if (status.ok()) {
    context_.endpoints.UpdateStatus(engine.id, status.value(), asked);
    const bool leaves = status.value().state == EngineState::kLeaving;
    if (leaves && !engine.leaving) {
      LogEvent(LogLevel::kInfo, "endpoint_leaving",
               {{"endpoint", engine.id.value()},
                {"reason", "the engine reports that it is leaving"}});
      context_.membership.PublishFacts(LeavingFacts({engine.id}),
                                       MonotonicNow());
    }
    return;
  }
  if (context_.endpoints.NoteFailure(engine.id, MonotonicNow())) {
    LogEvent(
        LogLevel::kWarning, "endpoint_lost",
        {{"endpoint", engine.id.value()}, {"reason", status.error().message}});
  }
}

}  // namespace carobshift
