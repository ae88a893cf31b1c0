#include "carobshift/gateway/state_dump.h"

#include <nlohmann/json.hpp>

namespace carobshift {
namespace {

using nlohmann::json;

std::int64_t MillisecondsOf(Microseconds time) {
  return std::chrono::duration_cast<Milliseconds>(time).count();
}

json Endpoints(const StateDumpView& view, MonotonicTime now) {
  const auto cold_until = view.cold_starts.ColdUntil(now);
  json endpoints = json::array();
  for (const auto& [id, record] : view.registry.all()) {
    json weights = json::object();
    for (const auto& [model, number] : record.weights)
      weights[model.value()] = number.value();
    const auto cold = cold_until.find(id);
    const std::int64_t cold_time =
        cold == cold_until.end() ? 0 : MillisecondsOf(cold->second - now);
    endpoints.push_back(
        {{"id", id.value()},
         {"service", record.service.value()},
         {"address", record.address.ToString()},
         {"availability_zone", record.zone.value()},
         {"software", record.software.value()},
         {"leaving", record.leaving},
         {"pause_ms",
          view.stated.PauseLeft(EndpointIncarnation::Of(record), now).count()},
         {"states_leaving",
          view.stated.IsLeaving(EndpointIncarnation::Of(record))},
         {"cold_ms", cold_time},
         {"weights", weights}});
  }
  return endpoints;
}

json EvacuatedZones(const ZoneEvacuations& evacuations, MonotonicTime now) {
  json zones = json::array();
  for (const auto& [zone, begun] : evacuations.all()) {
    zones.push_back({{"availability_zone", zone.value()},
                     {"age_ms", MillisecondsOf(now - begun)}});
  }
  return zones;
}

json UnreachedServices(const ServiceReachability& reachability) {
  json services = json::array();
  for (const ServiceName& service : reachability.Unreached()) {
    services.push_back(
        {{"service", service.value()},
         {"state", ServiceReachName(reachability.ReachOf(service))}});
  }
  return services;
}

json RetryBudgets(const RetryAllowance& retries, MonotonicTime now) {
  json services = json::array();
  for (const RetryAccount& account : retries.Accounts(now)) {
    services.push_back({{"service", account.service.value()},
                        {"requests", account.requests},
                        {"retries", account.retries},
                        {"unsettled", account.unsettled},
                        {"by_share", account.by_share},
                        {"fixed", account.fixed},
                        {"left", account.left}});
  }
  return {{"members", retries.members()}, {"services", services}};
}

std::string_view PartStateName(PartState state) {
  switch (state) {
    case PartState::kCounted:
      return "counted";
    case PartState::kRefused:
      return "refused";
    case PartState::kConfirmed:
      return "confirmed";
  }
  return "unknown";
}

json SuspectedParts(const PartSuspects& suspects, MonotonicTime now) {
  json parts = json::array();
  for (const PartReport& report : suspects.Reports()) {
    parts.push_back({{"part", report.part.value()},
                     {"state", PartStateName(report.state)},
                     {"crashes", report.crashes},
                     {"probes", report.probes},
                     {"age_ms", MillisecondsOf(now - report.first_crash)}});
  }
  return parts;
}

}  // namespace

// Keys of records are any bytes. Without the replacement of what isn't UTF-8
// the library throws, which ends the process.
std::string EncodeStateDump(const StateDumpView& view, MonotonicTime now) {
  json members = json::array();
  for (const MemberInfo& member : view.members)
    members.push_back(member.id.value());
  return json{
      {"config", view.config == nullptr ? 0 : view.config->number.value()},
      {"registry", view.registry.revision()},
      {"endpoints", Endpoints(view, now)},
      {"evacuated_zones", EvacuatedZones(view.evacuations, now)},
      {"unreached_services", UnreachedServices(view.reachability)},
      {"members", members},
      {"retry_budget", RetryBudgets(view.retries, now)},
      {"suspected_parts", SuspectedParts(view.part_suspects, now)},
      {"open_requests", view.open_requests},
      {"waiting_requests", view.waiting_requests},
      {"lease_holder", view.lease_holder},
      {"stopping", view.stopping}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace carobshift
