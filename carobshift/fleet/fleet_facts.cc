#include "carobshift/fleet/fleet_facts.h"

#include <utility>

namespace carobshift {

std::vector<Fact> LeavingFacts(const std::vector<EndpointId>& leaving) {
  std::vector<Fact> facts;
  for (const EndpointId& id : leaving) {
    facts.push_back({.kind = FactKind::kEndpointLeaving,
                     .subject = id.value(),
                     .remaining = kFleetFactLife});
  }
  return facts;
}

std::vector<Fact> DrainFacts::Update(const std::vector<FleetDrain>& wanted,
                                     const std::set<std::string>& active,
                                     FencingNumber number) {
  std::vector<Fact> facts;
  std::map<EndpointId, FactVersion> versions;
  for (const FleetDrain& drain : wanted) {
    const auto known = versions_.find(drain.endpoint);
    const bool same_tenure =
        known != versions_.end() && known->second.term == number.value();
    const FactVersion version =
        same_tenure
            ? known->second
            : FactVersion{.term = number.value(), .counter = ++counter_};
    versions[drain.endpoint] = version;
    facts.push_back({.kind = FactKind::kEndpointDraining,
                     .subject = drain.endpoint.value(),
                     .version = version,
                     .active = true,
                     .remaining = kFleetFactLife});
  }
  versions_ = std::move(versions);
  for (const std::string& subject : active) {
    if (versions_.contains(EndpointId(subject)))
      continue;
    facts.push_back({.kind = FactKind::kEndpointDraining,
                     .subject = subject,
                     .version = {.term = number.value(), .counter = ++counter_},
                     .active = false,
                     .remaining = kWithdrawalLife});
  }
  return facts;
}

}  // namespace carobshift
