#include "carobshift/gateway/load/load_tracker.h"

#include <algorithm>

#include "carobshift/base/digest.h"

namespace carobshift {

RequestFootprint RequestFootprint::Of(const CallerRequest& request) {
  RequestFootprint footprint;
  if (!request.prompt)
    return footprint;
  const PromptTraits& prompt = *request.prompt;
  Tokens shared = 0;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    footprint.shared.push_back(prompt.parts[i]);
    shared += prompt.parts[i].tokens;
  }
  footprint.own_tokens = std::max<Tokens>(0, prompt.prompt_tokens - shared) +
                         prompt.max_output_tokens;
  return footprint;
}

Tokens RequestFootprint::TotalTokens() const {
  Tokens tokens = own_tokens;
  for (const PromptPart& part : shared)
    tokens += part.tokens;
  return tokens;
}

double EndpointLoad::TokensUpTo(int priority) const {
  double less_urgent = 0;
  for (std::size_t level = static_cast<std::size_t>(std::max(0, priority)) + 1;
       level < tokens_by_priority.size(); ++level)
    less_urgent += tokens_by_priority[level];
  // A malformed report may name more tokens by level than in total.
  return std::max(0.0, tokens - less_urgent);
}

EndpointLoad& EndpointLoad::operator+=(const EndpointLoad& other) {
  tokens += other.tokens;
  requests += other.requests;
  prefill_tokens += other.prefill_tokens;
  for (std::size_t level = 0; level < tokens_by_priority.size(); ++level)
    tokens_by_priority[level] += other.tokens_by_priority[level];
  return *this;
}

EndpointLoad& EndpointLoad::operator-=(const EndpointLoad& other) {
  tokens -= other.tokens;
  requests -= other.requests;
  prefill_tokens -= other.prefill_tokens;
  for (std::size_t level = 0; level < tokens_by_priority.size(); ++level)
    tokens_by_priority[level] -= other.tokens_by_priority[level];
  return *this;
}

void LoadTracker::OwnLoad::AddTokens(int priority, double tokens) {
  load.tokens += tokens;
  const auto levels = static_cast<int>(load.tokens_by_priority.size());
  load.tokens_by_priority[static_cast<std::size_t>(
      std::clamp(priority, 0, levels - 1))] += tokens;
}

Milliseconds LoadTracker::PeriodFor(std::size_t instances) {
  constexpr double kMillisecondsPerSecond = 1000;
  const auto min_period = Milliseconds(
      static_cast<std::int64_t>(static_cast<double>(instances) *
                                kMillisecondsPerSecond / kMaxReportsPerSecond));
  return std::max(kReportPeriod, min_period);
}

void LoadTracker::OnStart(const EndpointId& endpoint,
                          const RequestFootprint& footprint,
                          double prefill_tokens) {
  OwnLoad& own = own_[endpoint];
  own.load.prefill_tokens += prefill_tokens;
  own.load.requests += 1;
  own.AddTokens(footprint.priority, static_cast<double>(footprint.own_tokens));
  for (const PromptPart& part : footprint.shared) {
    OwnLoad::SharedPart& shared = own.shared[part.id];
    if (++shared.requests > 1)
      continue;
    shared.priority = footprint.priority;
    own.AddTokens(shared.priority, static_cast<double>(part.tokens));
  }
  NotifyChanged(endpoint);
}

void LoadTracker::OnPrefillDone(const EndpointId& endpoint,
                                double prefill_tokens) {
  const auto found = own_.find(endpoint);
  if (found == own_.end() || prefill_tokens == 0)
    return;
  found->second.load.prefill_tokens -= prefill_tokens;
  NotifyChanged(endpoint);
}

void LoadTracker::OnEnd(const EndpointId& endpoint,
                        const RequestFootprint& footprint) {
  const auto found = own_.find(endpoint);
  if (found == own_.end())
    return;
  OwnLoad& own = found->second;
  own.load.requests -= 1;
  own.AddTokens(footprint.priority, -static_cast<double>(footprint.own_tokens));
  for (const PromptPart& part : footprint.shared) {
    const auto shared = own.shared.find(part.id);
    if (shared == own.shared.end() || --shared->second.requests > 0)
      continue;
    own.AddTokens(shared->second.priority, -static_cast<double>(part.tokens));
    own.shared.erase(shared);
  }
  if (own.load.requests <= 0)
    own_.erase(found);
  NotifyChanged(endpoint);
}

void LoadTracker::OnAggregateLoad(std::uint64_t endpoint,
                                  const EndpointLoad& others,
                                  MonotonicTime now) {
  aggregates_[endpoint] = {others, now};
}

void LoadTracker::OnPeerReport(const LoadReport& report, MonotonicTime now) {
  Peer& peer = peers_[report.sender];
  if (peer.report.sequence >= report.sequence)
    return;
  Subtract(peer.report);
  peer = {report, now + report.period * kReportLifetimePeriods};
  Add(report);
}

void LoadTracker::Expire(MonotonicTime now) {
  std::erase_if(aggregates_, [now](const auto& entry) {
    return now - entry.second.at >= kAggregateMaxAge;
  });
  std::erase_if(peers_, [this, now](const auto& entry) {
    const bool over = now >= entry.second.expires;
    if (over)
      Subtract(entry.second.report);
    return over;
  });
}

// Reported loads are integers, so sums return exactly to zero.
void LoadTracker::Add(const LoadReport& report) {
  for (const auto& [endpoint, load] : report.loads)
    peer_totals_[endpoint] += load;
}

void LoadTracker::Subtract(const LoadReport& report) {
  for (const auto& [endpoint, load] : report.loads) {
    const auto found = peer_totals_.find(endpoint);
    if (found == peer_totals_.end())
      continue;
    EndpointLoad& sum = found->second;
    sum -= load;
    if (sum.tokens <= 0 && sum.requests <= 0 && sum.prefill_tokens <= 0)
      peer_totals_.erase(found);
  }
}

EndpointLoad LoadTracker::Total(const EndpointId& endpoint) const {
  EndpointLoad total;
  if (const auto own = own_.find(endpoint); own != own_.end())
    total = own->second.load;
  const std::uint64_t hash = FastHash(endpoint.value());
  EndpointLoad others;
  if (const auto aggregate = aggregates_.find(hash);
      aggregate != aggregates_.end())
    others = aggregate->second.others;
  else if (const auto sum = peer_totals_.find(hash); sum != peer_totals_.end())
    others = sum->second;
  total += others;
  return total;
}

EndpointLoad LoadTracker::OwnLoadAt(const EndpointId& endpoint) const {
  const auto own = own_.find(endpoint);
  return own == own_.end() ? EndpointLoad{} : own->second.load;
}

double LoadTracker::AddedTokens(const EndpointId& endpoint,
                                const RequestFootprint& footprint) const {
  double added = static_cast<double>(footprint.own_tokens);
  const auto own = own_.find(endpoint);
  for (const PromptPart& part : footprint.shared) {
    const bool there =
        own != own_.end() && own->second.shared.contains(part.id);
    if (!there)
      added += static_cast<double>(part.tokens);
  }
  return added;
}

std::map<std::uint64_t, EndpointLoad> LoadTracker::OwnLoads() const {
  std::map<std::uint64_t, EndpointLoad> loads;
  for (const auto& [endpoint, own] : own_)
    loads[FastHash(endpoint.value())] = own.load;
  return loads;
}

}  // namespace carobshift
