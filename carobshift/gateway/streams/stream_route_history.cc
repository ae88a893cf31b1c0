#include "carobshift/gateway/streams/stream_route_history.h"

#include <algorithm>
#include <utility>

#include "carobshift/gateway/streams/stream_continuation.h"

namespace carobshift {
namespace {

// Returns whether streams of `before` may have begun at another service.
bool BeginElsewhere(const Route& before, const ServiceName& service) {
  return std::any_of(
      before.services.begin(), before.services.end(),
      [&](const WeightedService& choice) { return choice.service != service; });
}

// Returns the services that are led to by `route` and to which streams of
// `before` may not belong.
std::vector<ServiceName> ServicesMovedTo(const Route& route,
                                         const Route& before) {
  std::vector<ServiceName> moved;
  if (!route.streaming || !before.streaming)
    return moved;
  for (const WeightedService& choice : route.services) {
    if (BeginElsewhere(before, choice.service))
      moved.push_back(choice.service);
  }
  return moved;
}

}  // namespace

void StreamRouteHistory::OnConfig(const ServingConfig& config,
                                  MonotonicTime now) {
  std::erase_if(past_, [now](const PastLimit& past) {
    return now >= past.ends + past.longest;
  });
  const bool first = !std::exchange(has_config_, true);
  if (!first)
    past_.push_back({longest_, now + kMaxConfigLag});
  else if (!first_start_)
    past_.push_back({kLongestUnknown, now});
  longest_ = carobshift::LongestStream(config);
  const MonotonicTime until = now + kMaxConfigLag + LongestStream(now);
  const std::vector<Route> before = std::exchange(routes_, config.routes);
  const PrefixTable table(routes_);
  const PrefixTable table_before(before);
  // A path that two routes share begins with the longer one of their prefixes.
  for (const Route& route : routes_)
    NoteMove(&route, table_before.Find(route.host, route.path_prefix), until);
  for (const Route& route : before)
    NoteMove(table.Find(route.host, route.path_prefix), &route, until);
}

void StreamRouteHistory::NoteMove(const Route* route,
                                  const Route* before,
                                  MonotonicTime until) {
  if (route == nullptr || before == nullptr)
    return;
  for (const ServiceName& service : ServicesMovedTo(*route, *before))
    moved_until_[service] = until;
}

bool StreamRouteHistory::HasMoved(const ServiceName& service,
                                  MonotonicTime now) const {
  const auto found = moved_until_.find(service);
  return found != moved_until_.end() && now < found->second;
}

Milliseconds StreamRouteHistory::LongestStream(MonotonicTime now) const {
  Milliseconds longest = longest_;
  for (const PastLimit& past : past_) {
    if (now < past.ends + past.longest)
      longest = std::max(longest, past.longest);
  }
  return longest;
}

}  // namespace carobshift
