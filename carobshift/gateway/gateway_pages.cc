// The part of Gateway that answers questions: readiness, addresses, metrics and
// the state dump.

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "carobshift/gateway/gateway_impl.h"
#include "carobshift/gateway/instances/address_choice.h"
#include "carobshift/gateway/state_dump.h"
#include "carobshift/telemetry/log_output.h"

namespace carobshift {
namespace {

// Callers repeat their address query after this time. A shorter TTL replaces a
// dead instance sooner but costs more queries.
constexpr Milliseconds kAddressTtl{2000};

}  // namespace

QueryAnswer Gateway::Impl::Answer(const HttpHead& question) {
  if (dialects.directory.IsReadinessQuestion(question)) {
    const bool ready = requests.has_config() && !shutdown;
    return {ready ? 200 : 503, {}, {}};
  }
  const auto wanted = dialects.directory.DecodeAddressQuestion(question);
  if (!wanted)
    return {404, {}, {}};
  const auto& config = operator_records.config();
  std::vector<RegionName> allowed;
  std::set<ServiceName> services;
  if (config != nullptr) {
    allowed = RegionsOfHost(config->config(), wanted->host);
    services = ServicesOfHost(config->config(), wanted->host);
  }
  const auto may_be_told = [this, &services](const MemberInfo& member) {
    return std::all_of(services.begin(), services.end(),
                       [&](const ServiceName& service) {
                         return reachability_sharing.announced().MayBeTold(
                             member.id, service, loop.now());
                       });
  };
  const auto addresses = ChooseAddresses(cluster.Serving(), *wanted, allowed,
                                         regions, may_be_told);
  if (addresses.empty())
    return {503, {}, {}};
  return {200, "application/json",
          dialects.directory.EncodeAddresses(
              addresses, std::min(kAddressTtl, settings.max_address_ttl))};
}

QueryAnswer Gateway::Impl::AnswerMetrics(const HttpHead& question) {
  if (question.target == "/debug/state")
    return {200, "application/json", StateDumpText()};
  metrics.Set("carobshift_open_requests", {},
              static_cast<double>(requests.open_requests()));
  metrics.Set("carobshift_waiting_requests", {},
              static_cast<double>(requests.waiting_requests()));
  metrics.Set("carobshift_handoffs_in_progress", {},
              static_cast<double>(handoff_runner.outstanding()));
  metrics.Set("carobshift_log_lines_dropped", {},
              static_cast<double>(DroppedLogLines()));
  metrics.Set("carobshift_reply_bytes_held", {},
              static_cast<double>(reply_budget.held()));
  metrics.Set("carobshift_replies_over_budget", {},
              static_cast<double>(reply_budget.refusals()));
  metrics.Set("carobshift_caller_bytes_held", {},
              static_cast<double>(caller_budget.held()));
  metrics.Set("carobshift_caller_bytes_over_budget", {},
              static_cast<double>(caller_budget.refusals()));
  metrics.Set("carobshift_limited_endpoints", {},
              static_cast<double>(requests.limited_endpoints()));
  metrics.Set("carobshift_services_with_rejection_limit", {},
              static_cast<double>(requests.rejections().size()));
  metrics.Set(
      "carobshift_cold_endpoints", {},
      static_cast<double>(requests.cold_starts().ColdUntil(loop.now()).size()));
  metrics.Set("carobshift_evacuated_zones", {},
              static_cast<double>(evacuations.all().size()));
  metrics.Set("carobshift_endpoints_with_overdue_weights", {},
              static_cast<double>(rollout_controller.overdue()));
  metrics.Set("carobshift_log_bytes_read", {{"stream", "operator"}},
              static_cast<double>(operator_follower.bytes_read()));
  metrics.Set("carobshift_log_bytes_read", {{"stream", "endpoints"}},
              static_cast<double>(endpoint_follower.bytes_read()));
  metrics.Set("carobshift_endpoint_records_out_of_date", {},
              static_cast<double>(endpoint_records.out_of_date_records()));
  metrics.Set("carobshift_peer_bytes_told", {},
              static_cast<double>(peer_sync.bytes_sent()));
  metrics.Set("carobshift_stream_records", {},
              static_cast<double>(stream_directory.table().size()));
  metrics.Set("carobshift_stream_records_dropped", {},
              static_cast<double>(stream_directory.table().dropped()));
  metrics.Set("carobshift_live_entries", {},
              static_cast<double>(cluster.Live().size()));
  metrics.Set(
      "carobshift_endpoint_connections_opened", {},
      static_cast<double>(endpoint_client.counters().connections_opened));
  return {200, "text/plain; version=0.0.4", metrics.PrometheusText()};
}

std::string Gateway::Impl::StateDumpText() const {
  const auto& config = operator_records.config();
  return EncodeStateDump(
      {.config = config == nullptr ? nullptr : &config->config(),
       .registry = registry,
       .evacuations = evacuations,
       .cold_starts = requests.cold_starts(),
       .reachability = reachability.reachability(),
       .members = cluster.Live(),
       .retries = requests.retry_allowance(),
       .stated = requests.stated_availability(),
       .part_suspects = requests.part_suspects(),
       .open_requests = requests.open_requests(),
       .waiting_requests = requests.waiting_requests(),
       .lease_holder = rollout_controller.IsHolder(),
       .stopping = shutdown.has_value()},
      loop.now());
}

}  // namespace carobshift
