#include "carobshift/server/tasks/fleet_task.h"

#include "carobshift/telemetry/event_log.h"

namespace carobshift {

Milliseconds FleetTask::RunOnce(MonotonicTime) {
  const auto config = context_.config.current();
  if (config && IsFirstEntry()) {
    auto engines = context_.endpoints.All(InstanceKind::kEngine);
    for (const ServiceSpec& service : config->declaration.services) {
      if (service.kind == ServiceKind::kModel)
        Restore(service, engines);
    }
  }
  return context_.settings.status_poll_interval;
}

bool FleetTask::IsFirstEntry() const {
  const auto entries = context_.endpoints.All(InstanceKind::kEntry);
  return !entries.empty() &&
         entries.front().id.value() == context_.settings.entry.value();
}

void FleetTask::Restore(const ServiceSpec& service,
                        std::vector<EndpointInfo>& engines) {
  int missing = service.replicas;
  for (const EndpointInfo& engine : engines) {
    if (engine.status && engine.status->role == service.name)
      --missing;
  }
  for (EndpointInfo& engine : engines) {
    const bool idle = engine.status && !engine.leaving &&
                      engine.pool == service.pool &&
                      engine.status->state == EngineState::kIdle;
    if (missing <= 0 || !idle)
      continue;
    const EngineOrder order{FencingNumber(0), OrderKind::kLoad, service.model,
                            service.weights,  service.adapters, service.name};
    const Status status =
        context_.platform.engines.Order(engine.address, order);
    LogEvent(LogLevel::kInfo, "order",
             {{"endpoint", engine.id.value()},
              {"service", service.name.value()},
              {"accepted", status.ok()},
              {"reason", "fewer replicas than declared"}});
    engine.status.reset();
    --missing;
  }
}

}  // namespace carobshift
