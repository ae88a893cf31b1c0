#include "carobshift/server/tasks/instance_poller.h"

#include "carobshift/telemetry/event_log.h"

namespace carobshift {

Milliseconds ListPoller::RunOnce(MonotonicTime) {
  auto instances = context_.platform.list.Fetch();
  // During an outage of the list the last one stays in use: the endpoints'
  // own answers still tell which are gone.
  if (instances.ok()) {
    context_.endpoints.ReplaceList(instances.value());
  } else {
    LogEvent(LogLevel::kWarning, "list_unavailable",
             {{"reason", instances.error().message}});
  }
  return context_.settings.list_poll_interval;
}

Milliseconds StatusPoller::RunOnce(MonotonicTime) {
  for (const EndpointInfo& engine :
       context_.endpoints.All(InstanceKind::kEngine)) {
    const auto status = context_.platform.engines.FetchStatus(engine.address);
    if (status.ok()) {
      context_.endpoints.UpdateStatus(engine.id, status.value(),
                                      MonotonicNow());
    } else if (engine.status) {
      LogEvent(LogLevel::kWarning, "endpoint_lost",
               {{"endpoint", engine.id.value()},
                {"reason", status.error().message}});
      context_.endpoints.MarkLost(engine.id);
    }
  }
  return context_.settings.status_poll_interval;
}

}  // namespace carobshift
