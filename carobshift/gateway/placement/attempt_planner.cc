#include "carobshift/gateway/placement/attempt_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

// Retry-after for callers while no endpoint of the service is known.
constexpr Milliseconds kRetryAfterWithoutEndpoints{500};
constexpr Milliseconds kMinRetryAfter{100};
// Before jitter.
constexpr Milliseconds kMaxRetryAfter{3000};
// Cost of a request in progress at a service without prompts, in tokens to
// prefill. It is above the placement tolerance, so that requests to such
// services spread by load alone.
constexpr double kRequestCost = 10'000;

std::uint64_t SessionHash(const CallerRequest& request) {
  const PromptPart* const part =
      request.prompt ? request.prompt->SessionPart() : nullptr;
  return FastHash(part != nullptr ? part->id : request.id.value());
}

// Returns a time of up to `most`, derived from the request id.
Milliseconds JitterOf(const ExchangeSetup& setup, Milliseconds most) {
  constexpr std::uint64_t kSteps = 1024;
  const auto step =
      static_cast<std::int64_t>(FastHash(setup.request.id.value()) % kSteps);
  return most * step / static_cast<std::int64_t>(kSteps);
}

// Adds a jitter of up to 100 % to `wait`. Without it all requests that a limit
// refuses at the same time would be retried at the same time, and one of them
// would be served.
Milliseconds AddJitter(Milliseconds wait, const ExchangeSetup& setup) {
  const Milliseconds least = std::min(wait, kMaxRetryAfter);
  return least + JitterOf(setup, least);
}

// The same for a pause, which is exact: a caller that returns before its end is
// refused again.
Milliseconds AddJitterToPause(Milliseconds pause, const ExchangeSetup& setup) {
  return pause + JitterOf(setup, std::min(pause, kMaxRetryAfter));
}

int CountAddresses(const std::vector<std::optional<NetAddress>>& holders) {
  return static_cast<int>(
      std::count_if(holders.begin(), holders.end(),
                    [](const auto& holder) { return holder.has_value(); }));
}

// Returns nullopt if neither time is set.
std::optional<WallTime> Earlier(std::optional<WallTime> a,
                                std::optional<WallTime> b) {
  if (!a || !b)
    return a ? a : b;
  return std::min(*a, *b);
}

}  // namespace

void AttemptPlanner::SetConfig(const ServingConfig& config) {
  stores_.clear();
  engines_.clear();
  store_per_part_ = false;
  urgency_ = UrgencyRanks(config);
  isolated_ = IsolatedAccounts(config);
  for (const auto& [name, service] : config.services) {
    if (service.engine) {
      engines_[name] = *service.engine;
      store_per_part_ = store_per_part_ || service.engine->store_per_part;
    }
    if (!service.store)
      continue;
    stores_.push_back(
        {CacheHolder(name.value()), service.store->address,
         static_cast<double>(std::max<Tokens>(service.store->capacity, 1)),
         FastHash(name.value()), service.store->zone});
  }
}

void AttemptPlanner::OnWeightsReported(const EndpointId& id,
                                       const ModelName& model,
                                       WeightNumber weights) {
  const EndpointRecord* const record = registry_.Find(id);
  if (record == nullptr)
    return;
  ReportedWeights& reported = reported_weights_[id];
  if (reported.start_time != record->start_time)
    reported = {record->start_time, {}};
  reported.weights[model] = weights;
}

std::optional<WeightNumber> AttemptPlanner::WeightsOf(
    const EndpointRecord& endpoint,
    const ModelName& model) const {
  std::optional<WeightNumber> known;
  const auto recorded = endpoint.weights.find(model);
  if (recorded != endpoint.weights.end())
    known = recorded->second;
  const auto reported = reported_weights_.find(endpoint.id);
  if (reported != reported_weights_.end() &&
      reported->second.start_time == endpoint.start_time) {
    const auto of_model = reported->second.weights.find(model);
    if (of_model != reported->second.weights.end() &&
        (!known || of_model->second > *known))
      known = of_model->second;
  }
  return known;
}

AttemptPlanner::Candidate AttemptPlanner::MakeCandidate(
    const ExchangeSetup& setup,
    const EndpointRecord& record) const {
  Candidate candidate;
  candidate.record = &record;
  if (!setup.request.prompt)
    return candidate;
  candidate.weights = WeightsOf(record, setup.request.prompt->model);
  if (!candidate.weights) {
    candidate.scope = "unshared-" + setup.request.id.value();
    return candidate;
  }
  candidate.scope =
      CacheScope(setup.request.prompt->model, *candidate.weights,
                 AudienceOf(*setup.route, setup.account, isolated_));
  return candidate;
}

std::vector<AttemptPlanner::Source> AttemptPlanner::FindSources(
    const PromptPart& part,
    const std::string& scope,
    MonotonicTime now) const {
  std::vector<Source> sources;
  for (const auto& [id, record] : registry_.all()) {
    const CacheHolder holder(id.value());
    if (engines_.contains(record.service) && !health_.IsAvoided(id, now) &&
        contents_.HoldsComplete(holder, scope, part, now))
      sources.push_back({holder, record.address, record.zone,
                         contents_.IsFromPeer(holder)
                             ? SourceRank::kEngineReportedByPeer
                             : SourceRank::kEngine});
  }
  for (const StoreChoice& store : stores_) {
    if (contents_.HoldsComplete(store.holder, scope, part, now))
      sources.push_back(
          {store.holder, store.address, store.zone, SourceRank::kStore});
  }
  return sources;
}

const AttemptPlanner::Source* AttemptPlanner::NearestSource(
    const std::vector<Source>& sources,
    const EndpointRecord& reader) {
  const auto distance = [&reader](const Source& source) {
    return std::pair(source.rank, source.zone != reader.zone);
  };
  const Source* nearest = nullptr;
  for (const Source& source : sources) {
    if (source.holder.value() == reader.id.value())
      continue;
    if (nearest == nullptr || distance(source) < distance(*nearest))
      nearest = &source;
  }
  return nearest;
}

const AttemptPlanner::Sources& AttemptPlanner::SourcesOf(
    const PromptTraits& prompt,
    const std::string& scope,
    MonotonicTime now) {
  const auto [found, inserted] = sources_.try_emplace(scope);
  if (!inserted)
    return found->second;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
    found->second.push_back(FindSources(prompt.parts[i], scope, now));
  return found->second;
}

QueueAhead AttemptPlanner::QueueAheadAt(const RequestFootprint& footprint,
                                        const EndpointRecord& record,
                                        const EngineTraits& engine) const {
  const EndpointLoad load = loads_.Total(record.id);
  QueueAhead queue_ahead;
  queue_ahead.prefill_cost = load.prefill_tokens;
  const double without_slot = load.requests + 1 - record.slots;
  if (without_slot > 0)
    queue_ahead.prefill_cost += kNoFreeSlotCost * without_slot;
  queue_ahead.need = loads_.AddedTokens(record.id, footprint);
  const double room =
      kUsableMemoryShare * static_cast<double>(engine.memory_tokens);
  if (room > 0)
    queue_ahead.free_memory = room - load.TokensUpTo(footprint.priority);
  return queue_ahead;
}

RequestFootprint AttemptPlanner::FootprintOf(const ExchangeSetup& setup) const {
  RequestFootprint footprint = RequestFootprint::Of(setup.request);
  if (setup.request.prompt)
    footprint.priority = setup.route->priority;
  return footprint;
}

void AttemptPlanner::ComputeCost(const ExchangeSetup& setup,
                                 const RequestFootprint& footprint,
                                 Candidate& candidate,
                                 MonotonicTime now) {
  const EndpointRecord& record = *candidate.record;
  const auto engine = engines_.find(record.service);
  if (engine == engines_.end() || !setup.request.prompt) {
    candidate.cost =
        loads_.Total(record.id).requests * kRequestCost / record.slots;
    return;
  }
  const PromptTraits& prompt = *setup.request.prompt;
  const CacheHolder self(record.id.value());
  const Sources& sources = SourcesOf(prompt, candidate.scope, now);
  double fetched = 0;
  double prefill_tokens = static_cast<double>(prompt.prompt_tokens);
  for (std::size_t i = 0; i < sources.size(); ++i) {
    const PromptPart& part = prompt.parts[i];
    const auto tokens = static_cast<double>(part.tokens);
    const bool here = contents_.HoldsComplete(self, candidate.scope, part, now);
    // Parts that follow a part which needs prefill need prefill as well.
    if (!here && sources[i].empty())
      break;
    prefill_tokens -= tokens;
    if (!here)
      fetched += tokens;
  }
  candidate.prefill_tokens = std::max(0.0, prefill_tokens);
  candidate.queue_ahead = QueueAheadAt(footprint, record, engine->second);
  candidate.cost = candidate.queue_ahead.Total() + candidate.prefill_tokens +
                   kFetchCost * fetched;
}

bool AttemptPlanner::AcceptsWork(const ExchangeSetup& setup,
                                 const EndpointRecord& record,
                                 MonotonicTime now) const {
  const SendObstacle obstacle = eligibility_.ObstacleAt(setup, record, now);
  return obstacle == SendObstacle::kNone || PassesWithLoad(obstacle);
}

bool AttemptPlanner::CanSend(const ExchangeSetup& setup,
                             const EndpointRecord& record,
                             MonotonicTime now) const {
  return eligibility_.ObstacleAt(setup, record, now) == SendObstacle::kNone &&
         !WeightsOverdue(setup, record, now);
}

bool AttemptPlanner::WeightsOverdue(const ExchangeSetup& setup,
                                    const EndpointRecord& record,
                                    MonotonicTime now) const {
  if (!setup.request.prompt)
    return false;
  const ModelName& model = setup.request.prompt->model;
  const WeightNumber weights =
      WeightsOf(record, model).value_or(WeightNumber(0));
  // Usually no weights are being replaced; this check then avoids adding up the
  // queues.
  if (!deadlines_.IsOverdue(model, weights, now + kMaxEngineWait))
    return false;
  const Milliseconds wait =
      std::min(ExpectedWaitAt(setup, record), kMaxEngineWait);
  return deadlines_.IsOverdue(model, weights, now + wait);
}

Milliseconds AttemptPlanner::ExpectedWaitAt(
    const ExchangeSetup& setup,
    const EndpointRecord& record) const {
  const auto engine = engines_.find(record.service);
  if (!wait_ || engine == engines_.end())
    return Milliseconds(0);
  const RequestFootprint footprint = FootprintOf(setup);
  return wait_(record.service,
               QueueAheadAt(footprint, record, engine->second).Total());
}

bool AttemptPlanner::OnlyOverdueWeights(const ExchangeSetup& setup,
                                        MonotonicTime now) const {
  bool some = false;
  for (const auto& [id, record] : registry_.all()) {
    if (!AcceptsWork(setup, record, now))
      continue;
    if (!WeightsOverdue(setup, record, now))
      return false;
    some = true;
  }
  return some;
}

SendObstacle AttemptPlanner::ObstacleTo(const ExchangeSetup& setup,
                                        MonotonicTime now) const {
  SendObstacle least = SendObstacle::kNotServing;
  for (const auto& [id, record] : registry_.all()) {
    const SendObstacle obstacle = eligibility_.ObstacleAt(setup, record, now);
    if (AcceptsWork(setup, record, now) && WeightsOverdue(setup, record, now))
      continue;
    if (obstacle == SendObstacle::kNone)
      return obstacle;
    // Later values pass sooner.
    least = std::max(least, obstacle);
  }
  return least;
}

bool AttemptPlanner::IsAvoided(const EndpointRecord& record,
                               const AttemptParams& wish,
                               MonotonicTime now) const {
  const bool tried = wish.tried != nullptr && wish.tried->contains(record.id);
  return tried || draining_.contains(record.id) ||
         health_.IsAvoided(record.id, now) ||
         (has_connection_ && !has_connection_(record.address));
}

AttemptFields AttemptPlanner::FieldsFor(const ExchangeSetup& setup,
                                        const AttemptParams& wish,
                                        const Candidate& chosen,
                                        MonotonicTime now) {
  AttemptFields fields;
  fields.endpoint = chosen.record->id;
  fields.time_left = wish.time_left;
  fields.last_event = wish.last_event;
  if (setup.account != nullptr)
    fields.account = setup.account->name;
  if (!setup.request.prompt)
    return fields;
  fields.urgency = urgency_.Of(*setup.route, setup.account);
  fields.weights = chosen.weights;
  fields.cache_scope = chosen.scope;
  if (chosen.weights)
    AddCacheFields(setup, chosen, fields, now);
  return fields;
}

LoadShortlist AttemptPlanner::Shortlist(const ExchangeSetup& setup,
                                        MonotonicTime now) {
  struct Ranked {
    double own_cost = 0;
    std::uint64_t hash = 0;
    EndpointId id;
  };
  sources_.clear();
  const RequestFootprint footprint = FootprintOf(setup);
  const std::uint64_t session = SessionHash(setup.request);
  std::vector<Ranked> ranked;
  double least = std::numeric_limits<double>::max();
  for (const auto& [id, record] : registry_.all()) {
    if (!CanSend(setup, record, now) || IsAvoided(record, {}, now))
      continue;
    Candidate candidate = MakeCandidate(setup, record);
    ComputeCost(setup, footprint, candidate, now);
    const double own_cost = candidate.cost - candidate.queue_ahead.Total();
    least = std::min(least, own_cost);
    ranked.push_back(
        {own_cost, CombineHashes(FastHash(id.value()), session), id});
  }
  // Smaller differences in cost don't matter to the caller; the session hash
  // orders the endpoints within a step.
  const auto order = [least](const Ranked& one) {
    return std::pair(std::floor((one.own_cost - least) / kShortlistCostStep),
                     ~one.hash);
  };
  std::sort(
      ranked.begin(), ranked.end(),
      [&order](const auto& a, const auto& b) { return order(a) < order(b); });
  LoadShortlist shortlist;
  for (const Ranked& one : ranked) {
    if (shortlist.first.size() < kShortlistSize)
      shortlist.first.push_back(one.id);
    else if (shortlist.second.size() < kShortlistSize)
      shortlist.second.push_back(one.id);
  }
  return shortlist;
}

bool AttemptPlanner::NeedsSecondQuery(
    const ExchangeSetup& setup,
    std::span<const EndpointId> queried) const {
  const auto limit = std::chrono::duration_cast<Milliseconds>(
      setup.route->latency_target * kSecondQueryShare);
  return std::none_of(
      queried.begin(), queried.end(), [&](const EndpointId& id) {
        const EndpointRecord* const record = registry_.Find(id);
        return record != nullptr && ExpectedWaitAt(setup, *record) <= limit;
      });
}

std::optional<AttemptPlanner::Choice> AttemptPlanner::Choose(
    const ExchangeSetup& setup,
    const AttemptParams& wish,
    std::span<const EndpointId> among,
    MonotonicTime now) {
  const RequestFootprint footprint = FootprintOf(setup);
  std::vector<Candidate> candidates;
  std::vector<PlacementCandidate> placement;
  for (const auto& [id, record] : registry_.all()) {
    const bool considered =
        among.empty() ||
        std::find(among.begin(), among.end(), id) != among.end();
    if (!considered || !CanSend(setup, record, now))
      continue;
    Candidate candidate = MakeCandidate(setup, record);
    ComputeCost(setup, footprint, candidate, now);
    placement.push_back({.hash = FastHash(id.value()),
                         .cost = candidate.cost,
                         .avoided = IsAvoided(record, wish, now)});
    candidates.push_back(std::move(candidate));
  }
  const PlacementChoice choice =
      ChoosePlacement(placement, SessionHash(setup.request), placement_);
  if (!choice.index)
    return std::nullopt;
  return Choice{std::move(candidates[*choice.index]), choice.avoided};
}

std::optional<AttemptPlan> AttemptPlanner::Plan(
    const ExchangeSetup& setup,
    const AttemptParams& wish,
    MonotonicTime now,
    std::span<const EndpointId> among) {
  sources_.clear();
  std::optional<Choice> choice = Choose(setup, wish, among, now);
  if (!among.empty() && (!choice || choice->avoided))
    choice = Choose(setup, wish, {}, now);
  if (!choice)
    return std::nullopt;
  const Candidate& chosen = choice->candidate;
  AttemptPlan plan;
  plan.endpoint = *chosen.record;
  plan.prefill_tokens = chosen.prefill_tokens;
  plan.fields = FieldsFor(setup, wish, chosen, now);
  if (setup.request.prompt) {
    plan.cost = chosen.cost;
    plan.queue_ahead = chosen.queue_ahead;
    plan.queue_ahead_of_mean = chosen.queue_ahead;
    plan.queue_ahead_of_mean.need = sizes_.NeedOfMean(
        setup.route->name,
        static_cast<double>(RequestFootprint::Of(setup.request).TotalTokens()),
        chosen.queue_ahead.need);
    plan.fetch_count = CountAddresses(plan.fields.fetch_from);
    plan.save_count = CountAddresses(plan.fields.save_to);
    for (std::size_t i = 0; i < plan.fields.save_to.size(); ++i) {
      if (plan.fields.save_to[i])
        plan.saved_parts.push_back(setup.request.prompt->parts[i].id);
    }
  }
  return plan;
}

void AttemptPlanner::AddCacheFields(const ExchangeSetup& setup,
                                    const Candidate& candidate,
                                    AttemptFields& fields,
                                    MonotonicTime now) {
  const PromptTraits& prompt = *setup.request.prompt;
  if (prompt.parts.size() < 2)
    return;
  const std::size_t parts = prompt.parts.size();
  fields.single_store = !store_per_part_;
  fields.fetch_from.resize(parts);
  fields.save_to.resize(parts);
  const Sources& sources = SourcesOf(prompt, candidate.scope, now);
  std::optional<WallTime> lease_end;
  std::vector<StoreChoice> stores = stores_;
  std::erase_if(stores, [&](const StoreChoice& store) {
    return !eligibility_.MaySaveIn(setup, store.zone);
  });
  for (std::size_t i = 0; i + 1 < parts; ++i) {
    const PromptPart& part = prompt.parts[i];
    // A source is also named for a part that the engine is believed to hold: if
    // the engine has evicted the part meanwhile, it would have to prefill it
    // again.
    if (const Source* source = NearestSource(sources[i], *candidate.record)) {
      fields.fetch_from[i] = source->address;
      lease_end = Earlier(lease_end, contents_.FetchDeadline(source->holder));
    }
    const StoreChoice* const store = ChooseStore(
        stores, store_per_part_ ? part.id : prompt.SessionPart()->id);
    if (store != nullptr && contents_.MaySave(store->holder, now) &&
        !contents_.HoldsComplete(store->holder, candidate.scope, part, now) &&
        !recent_saves_.Contains(candidate.scope, part.id, now))
      fields.save_to[i] = store->address;
  }
  if (const auto clock = contents_.ClockAt(now)) {
    fields.fetch_until =
        Earlier(lease_end, *clock + FetchTimeout(setup, candidate));
  }
}

Milliseconds AttemptPlanner::FetchTimeout(const ExchangeSetup& setup,
                                          const Candidate& candidate) const {
  if (!wait_)
    return kMaxFetchTimeout;
  const std::vector<PromptPart>& parts = setup.request.prompt->parts;
  double tokens = 0;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i)
    tokens += static_cast<double>(parts[i].tokens);
  return std::clamp(wait_(setup.service, candidate.queue_ahead.Total() +
                                             kFetchTimeoutFactor * tokens),
                    kMinFetchTimeout, kMaxFetchTimeout);
}

void AttemptPlanner::MarkSaved(const AttemptPlan& plan, MonotonicTime now) {
  for (const std::string& part : plan.saved_parts)
    recent_saves_.Add(plan.fields.cache_scope, part, now);
}

Milliseconds AttemptPlanner::RetryAfter(const ExchangeSetup& setup,
                                        MonotonicTime now) const {
  if (OnlyOverdueWeights(setup, now))
    return kRetryAfterWeightLoad;
  std::optional<Milliseconds> shortest;
  for (const auto& [id, record] : registry_.all()) {
    if (!AcceptsWork(setup, record, now) || WeightsOverdue(setup, record, now))
      continue;
    const Milliseconds wait =
        std::max({health_.RemainingPause(id, now),
                  AddJitterToPause(eligibility_.PauseAt(record, now), setup),
                  AddJitter(eligibility_.LoadWaitAt(record, now), setup)});
    if (!shortest || wait < *shortest)
      shortest = wait;
  }
  return std::max(kMinRetryAfter,
                  shortest.value_or(kRetryAfterWithoutEndpoints));
}

}  // namespace carobshift
