#include "carobshift/gateway/streams/stream_continuation.h"

#include <algorithm>

namespace carobshift {
namespace {

bool LeadsTo(const Route& route, const ServiceName& service) {
  return std::any_of(
      route.services.begin(), route.services.end(),
      [&service](const auto& choice) { return choice.service == service; });
}

}  // namespace

Continuation DecideContinuation(const Route& route,
                                const ServiceName& default_service,
                                const StreamLookup& lookup) {
  if (lookup.beginning) {
    const bool leads_there = LeadsTo(route, lookup.beginning->service);
    return {leads_there ? ResultCode::kOk : ResultCode::kSoftwareGone,
            *lookup.beginning, lookup.source};
  }
  // With several services, the stream may have begun at another one.
  if (lookup.sole_version && route.services.size() == 1) {
    return {ResultCode::kOk,
            {default_service, *lookup.sole_version},
            StreamSource::kSoleVersion};
  }
  return {ResultCode::kSoftwareUnknown, {}, StreamSource::kUnknown};
}

Milliseconds LongestStream(const ServingConfig& config) {
  constexpr int kTimeouts = 2;
  Milliseconds longest{0};
  for (const Route& route : config.routes) {
    if (route.streaming)
      longest = std::max(longest, route.timeout);
  }
  return kTimeouts * longest;
}

}  // namespace carobshift
