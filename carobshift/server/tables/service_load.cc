#include "carobshift/server/tables/service_load.h"

#include <algorithm>
#include <ranges>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

constexpr double kSmoothingFactor = 0.1;
constexpr std::size_t kMaxComparedEndpoints = 64;
// Makes the draw independent of the router's, which hashes the same request id.
constexpr std::uint64_t kWindowSeed = 1;
constexpr double kPrefillWaitShare = 0.5;
constexpr double kUngatedCapacity = 1e9;
// Shorter prefills are dominated by the network and the first decode step.
constexpr Tokens kMinPrefillToLearn = 256;
constexpr double kMinPrefillTokensPerSecond = 100;
// Growth per answer, so that the estimate follows a service that has become
// slower after a few hundred answers.
constexpr double kFastestTimeGrowth = 1.01;

}  // namespace

ServiceLoad::ServiceLoad(const ServiceLoadOptions& options,
                         const ServiceSpec& service)
    : strategy_(options.strategy),
      gated_(options.admission_control),
      queue_(options.admission),
      share_(options.limit, service.first_token_target),
      health_(options.health),
      first_token_target_(service.first_token_target) {}

std::vector<EndpointId> ServiceLoad::Refresh(
    const ServiceSpec& service,
    const std::vector<EndpointInfo>& candidates,
    int live_entries) {
  std::vector<EndpointId> crashed;
  // Plain services report no load, so each entry adapts to them independently.
  entries_ =
      service.kind == ServiceKind::kPlain ? 1 : std::max(1, live_entries);
  share_.SetEntries(entries_);
  const bool same = std::ranges::equal(
      candidates, refreshed_, {}, &EndpointInfo::id, &RefreshedEndpoint::id);
  if (!same)
    UpdateEndpoints(candidates);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const EndpointInfo& endpoint = candidates[i];
    if (!endpoint.status || endpoint.status_time == refreshed_[i].report_time)
      continue;
    refreshed_[i].report_time = endpoint.status_time;
    if (ApplyReport(endpoint))
      crashed.push_back(endpoint.id);
  }
  UpdateCapacity();
  return crashed;
}

void ServiceLoad::UpdateEndpoints(const std::vector<EndpointInfo>& candidates) {
  std::vector<EndpointId> ids;
  refreshed_.clear();
  for (auto& [id, record] : records_)
    record.ready = false;
  for (const EndpointInfo& endpoint : candidates) {
    ids.push_back(endpoint.id);
    records_[endpoint.id].ready = true;
    refreshed_.push_back({endpoint.id, records_[endpoint.id].report_time});
  }
  share_.SetEndpoints(ids);
  health_.Retain(ids);
  // A record with this entry's own requests stays until they have ended.
  std::erase_if(records_, [&](const auto& item) {
    return !item.second.ready && share_.OwnInProgress(item.first) == 0;
  });
}

bool ServiceLoad::ApplyReport(const EndpointInfo& endpoint) {
  Record& record = records_[endpoint.id];
  const EngineStatus& status = *endpoint.status;
  const bool crashed =
      record.incarnation != 0 && record.incarnation != status.incarnation;
  const int in_progress = status.running + status.queued;
  record.incarnation = status.incarnation;
  record.report_time = endpoint.status_time;
  record.own_at_report =
      std::min(share_.OwnInProgress(endpoint.id), in_progress);
  record.prefill_at_report =
      std::min(record.pending_prefill, status.queued_prefill_tokens);
  record.reported_prefill = status.queued_prefill_tokens;
  share_.OnReport(endpoint.id, in_progress);
  return crashed;
}

std::optional<Attempt> ServiceLoad::Choose(
    const RouteQuery& query,
    const std::vector<EndpointInfo>& candidates,
    MonotonicTime now) {
  // With many endpoints, only a window at a random position is compared: the
  // router samples only a few of them, and the mean load of 64 is close to the
  // mean of all.
  const std::size_t count = candidates.size();
  const std::size_t start =
      count == 0 ? 0 : FastHash(query.id.value(), kWindowSeed) % count;
  const std::size_t window =
      query.isolated ? count : std::min(count, kMaxComparedEndpoints);
  auto attempt = ChooseWithin(query, candidates, start, window, now);
  if (!attempt && window < count)
    attempt = ChooseWithin(query, candidates, 0, count, now);
  return attempt;
}

std::optional<Attempt> ServiceLoad::ChooseWithin(
    const RouteQuery& query,
    const std::vector<EndpointInfo>& candidates,
    std::size_t start,
    std::size_t window,
    MonotonicTime now) {
  std::vector<EndpointLoad> loads;
  std::vector<std::size_t> positions;
  std::vector<CacheHit> hits;
  const std::size_t count = candidates.size();
  for (std::size_t i = 0; i < count; ++i) {
    const auto hit = std::ranges::find(query.cache.hits, candidates[i].id,
                                       &std::pair<EndpointId, Tokens>::first);
    const bool holds = hit != query.cache.hits.end();
    if (!holds && (i + count - start) % count >= window)
      continue;
    const EndpointLoad load = LoadOf(candidates[i], query.isolated, now);
    const bool busy = query.isolated && EstimatedInProgress(load) > 0;
    const auto record = records_.find(candidates[i].id);
    if (busy || (record != records_.end() && record->second.exclusive))
      continue;
    if (holds)
      hits.push_back({loads.size(), hit->second});
    loads.push_back(load);
    positions.push_back(i);
  }
  RoutingInput input;
  input.request.prompt_tokens = query.prompt_tokens;
  input.request.request_hash = FastHash(query.id.value());
  input.request.prefix_hash = query.prefix_hash;
  input.request.zone = query.zone;
  input.endpoints = loads;
  input.hits = hits;
  input.imports = query.cache.imports;
  input.turn = turn_++;
  const RoutingChoice choice = strategy_.choose(input);
  if (!choice.found())
    return std::nullopt;
  Attempt attempt;
  attempt.endpoint = candidates[positions[choice.endpoint]];
  attempt.choice = choice;
  attempt.isolated = query.isolated;
  attempt.begin = now;
  Record& record = records_[attempt.endpoint.id];
  record.pending_prefill += choice.prefill;
  record.exclusive = query.isolated;
  share_.OnDispatch(attempt.endpoint.id);
  if (choice.reason == RouteReason::kProbe)
    health_.OnProbeSent(attempt.endpoint.id, now);
  return attempt;
}

void ServiceLoad::OnFirstToken(Attempt* attempt, MonotonicTime now) {
  if (attempt->got_first_token)
    return;
  attempt->got_first_token = true;
  const EndpointId& id = attempt->endpoint.id;
  const RoutingChoice& choice = attempt->choice;
  const Microseconds observed = now - attempt->begin;
  const bool probe = choice.reason == RouteReason::kProbe;
  records_[id].pending_prefill -= choice.prefill;
  const Microseconds unloaded = UnloadedTime(*attempt, observed);
  share_.OnFirstToken(id, observed, unloaded, now);
  health_.OnFirstToken(id, observed, choice.expected_wait + unloaded,
                       probe ? SampleKind::kProbe : SampleKind::kOrdinary, now);
  const Microseconds wait = std::max(Microseconds(0), observed - unloaded);
  endpoint_wait_micros_ +=
      kSmoothingFactor *
      (static_cast<double>(wait.count()) - endpoint_wait_micros_);
  LearnPrefillRate(*attempt, observed);
}

void ServiceLoad::OnEnd(const Attempt& attempt,
                        bool failed,
                        MonotonicTime now) {
  const EndpointId& id = attempt.endpoint.id;
  Record& record = records_[id];
  if (!attempt.got_first_token)
    record.pending_prefill -= attempt.choice.prefill;
  if (attempt.isolated)
    record.exclusive = false;
  share_.OnEnd(id, failed, now);
  if (failed) {
    const bool probe = attempt.choice.reason == RouteReason::kProbe;
    health_.OnStall(id, probe ? SampleKind::kProbe : SampleKind::kOrdinary,
                    now);
  }
  const auto micros = static_cast<double>((now - attempt.begin).count());
  attempt_micros_ += kSmoothingFactor * (micros - attempt_micros_);
  UpdateCapacity();
}

Tokens ServiceLoad::ExpectedDecode(Tokens max_tokens) const {
  return std::min(max_tokens, static_cast<Tokens>(decode_tokens_) + 1);
}

void ServiceLoad::OnAnswer(Tokens completion_tokens) {
  decode_tokens_ += kSmoothingFactor *
                    (static_cast<double>(completion_tokens) - decode_tokens_);
}

Microseconds ServiceLoad::TimeAfterStart(Tokens uncached) const {
  const double prefill = static_cast<double>(uncached) / prefill_rate_ * 1e6;
  return Microseconds(
      static_cast<std::int64_t>(prefill + endpoint_wait_micros_));
}

EndpointLoad ServiceLoad::LoadOf(const EndpointInfo& endpoint,
                                 bool alone,
                                 MonotonicTime now) const {
  EndpointLoad load;
  load.id = endpoint.id;
  load.zone = endpoint.zone;
  load.own_in_progress = share_.OwnInProgress(endpoint.id);
  load.limit = share_.LimitOf(endpoint.id);
  load.prefill_rate = prefill_rate_;
  load.slowdown = health_.SlowdownOf(endpoint.id);
  load.health = health_.HealthOf(endpoint.id, now);
  // An isolated trial of a crash suspect does not show whether an endpoint has
  // recovered, so it is not used as a probe.
  if (alone && load.health == EndpointHealth::kProbeDue)
    load.health = EndpointHealth::kEjected;
  const auto it = records_.find(endpoint.id);
  if (it != records_.end()) {
    load.own_pending_prefill = it->second.pending_prefill;
    load.own_at_report = it->second.own_at_report;
    load.own_prefill_at_report = it->second.prefill_at_report;
  }
  if (endpoint.status) {
    load.reported_running = endpoint.status->running;
    load.reported_queued = endpoint.status->queued;
    load.reported_queued_prefill = endpoint.status->queued_prefill_tokens;
  }
  load.slot_time = Microseconds(
      static_cast<std::int64_t>(attempt_micros_ / std::max(1.0, load.limit)));
  return load;
}

// Limits the admitted prefill to what the endpoints process within the share of
// the first token target that may pass inside an endpoint (see
// concurrency_limit.h).
void ServiceLoad::UpdateCapacity() {
  if (!gated_) {
    queue_.SetCapacity({.slots = kUngatedCapacity});
    return;
  }
  const double limit =
      prefill_rate_ * kPrefillWaitShare *
      std::chrono::duration<double>(first_token_target_).count();
  AdmissionCapacity capacity{
      .slots = share_.Allowance(), .prefill = 0, .prefill_per_request = limit};
  for (const auto& [id, record] : records_) {
    if (record.ready)
      capacity.prefill += ComputeAllowance(
          limit, static_cast<double>(record.reported_prefill),
          static_cast<double>(record.prefill_at_report), entries_);
  }
  queue_.SetCapacity(capacity);
}

// A plain call has no prefill from which to derive the time.
Microseconds ServiceLoad::UnloadedTime(const Attempt& attempt,
                                       Microseconds observed) {
  if (attempt.choice.prefill > 0)
    return attempt.choice.unloaded_first_token;
  const auto micros = static_cast<double>(observed.count());
  fastest_micros_ =
      fastest_micros_ == 0
          ? micros
          : std::min(micros, fastest_micros_ * kFastestTimeGrowth);
  return Microseconds(static_cast<std::int64_t>(fastest_micros_));
}

// Learns only from attempts with no expected wait; others would include
// queueing time.
void ServiceLoad::LearnPrefillRate(const Attempt& attempt,
                                   Microseconds observed) {
  const RoutingChoice& choice = attempt.choice;
  if (choice.prefill < kMinPrefillToLearn || choice.import ||
      choice.expected_wait.count() > 0 || observed.count() <= 0)
    return;
  const double sample = static_cast<double>(choice.prefill) * 1e6 /
                        static_cast<double>(observed.count());
  prefill_rate_ =
      std::max(kMinPrefillTokensPerSecond,
               prefill_rate_ + kSmoothingFactor * (sample - prefill_rate_));
}

}  // namespace carobshift
