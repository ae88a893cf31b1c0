#include "carobshift/gateway/streams/sole_version_learner.h"

#include <set>

#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

std::set<ServiceName> ResumableServices(const ServingConfig& config) {
  std::set<ServiceName> services;
  for (const Route& route : config.routes) {
    if (!route.resumable)
      continue;
    for (const WeightedService& choice : route.services)
      services.insert(choice.service);
  }
  return services;
}

}  // namespace

void SoleVersionLearner::OnTick(const ServingConfig& config,
                                Milliseconds span,
                                MonotonicTime now) {
  if (now < next_)
    return;
  next_ = now + kInterval;
  for (const ServiceName& service : ResumableServices(config)) {
    if (registry_.software_history().MayLearn(service, span, now))
      Ask({service, span}, now);
  }
}

void SoleVersionLearner::Ask(const SoleVersionQuestion& question,
                             MonotonicTime now) {
  directory_.FindSoleVersion(
      question, [this, question, asked = now](
                    const std::optional<SoftwareVersion>& sole_version,
                    MonotonicTime answered) {
        if (!sole_version)
          return;
        const bool used = registry_.OnSoftwareLearned(
            {question.service, *sole_version, question.span, asked}, answered);
        LogEvent(LogLevel::kInfo, "sole_version_learned",
                 {{"service", question.service.value()},
                  {"software", sole_version->value()},
                  {"used", used}});
      });
}

}  // namespace carobshift
