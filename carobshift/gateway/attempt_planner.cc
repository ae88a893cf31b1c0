#include "carobshift/gateway/attempt_planner.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <limits>
#include <utility>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

constexpr std::size_t kMaxSaves = 4096;
// For callers that are told to come back while no endpoint is known at all.
constexpr Milliseconds kReturnWithoutEndpoints{500};
constexpr Milliseconds kLeastReturn{100};
// Before it is scattered.
constexpr Milliseconds kLongestReturn{3000};
// A request in progress at a service without prompts, in the unit of placement:
// above its tolerance, so that such services spread by load alone.
constexpr double kRequestCost = 10'000;

std::string Hex(std::uint64_t value) {
  std::array<char, 20> text;
  const int size = std::snprintf(text.data(), text.size(), "%016llx",
                                 static_cast<unsigned long long>(value));
  return {text.data(), static_cast<std::size_t>(size)};
}

std::uint64_t SessionHash(const CallerRequest& request) {
  const PromptPart* const part =
      request.prompt ? request.prompt->SessionPart() : nullptr;
  return FastHash(part != nullptr ? part->id : request.id.value());
}

// From `wait` to twice as long, by the request: all that a limit turns away in
// one moment would come back as one, and one of them be served.
Milliseconds Scattered(Milliseconds wait, const ExchangeSetup& setup) {
  constexpr std::uint64_t kSteps = 1024;
  const auto step =
      static_cast<std::int64_t>(FastHash(setup.request.id.value()) % kSteps);
  const Milliseconds least = std::min(wait, kLongestReturn);
  return least + least * step / kSteps;
}

int CountNamed(const std::vector<std::optional<NetAddress>>& holders) {
  return static_cast<int>(
      std::count_if(holders.begin(), holders.end(),
                    [](const auto& holder) { return holder.has_value(); }));
}

}  // namespace

std::string CacheScope(const ModelName& model,
                       WeightNumber weights,
                       const std::optional<AccountId>& account) {
  std::string text = model.value() + '\n' + std::to_string(weights.value());
  if (account)
    text += '\n' + account->value();
  return Hex(FastHash(text));
}

void AttemptPlanner::SetConfig(const ServingConfig& config) {
  stores_.clear();
  engines_.clear();
  store_per_part_ = false;
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

void AttemptPlanner::NoteWeights(const EndpointId& id,
                                 const ModelName& model,
                                 WeightNumber weights) {
  const EndpointRecord* const record = registry_.Find(id);
  if (record == nullptr)
    return;
  NotedWeights& noted = noted_[id];
  if (noted.born != record->born)
    noted = {record->born, {}};
  noted.weights[model] = weights;
}

std::optional<WeightNumber> AttemptPlanner::WeightsOf(
    const EndpointRecord& endpoint,
    const ModelName& model) const {
  std::optional<WeightNumber> known;
  const auto recorded = endpoint.weights.find(model);
  if (recorded != endpoint.weights.end())
    known = recorded->second;
  const auto noted = noted_.find(endpoint.id);
  if (noted != noted_.end() && noted->second.born == endpoint.born) {
    const auto of_model = noted->second.weights.find(model);
    if (of_model != noted->second.weights.end() &&
        (!known || of_model->second > *known))
      known = of_model->second;
  }
  return known;
}

AttemptPlanner::Candidate AttemptPlanner::Describe(
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
  std::optional<AccountId> isolated;
  if (setup.account != nullptr && setup.account->isolated)
    isolated = setup.account->name;
  candidate.scope =
      CacheScope(setup.request.prompt->model, *candidate.weights, isolated);
  return candidate;
}

std::vector<AttemptPlanner::Source> AttemptPlanner::FindSources(
    const PromptPart& part,
    const std::string& scope,
    MonotonicTime now) const {
  std::vector<Source> sources;
  for (const auto& [id, record] : registry_.all()) {
    const CacheHolder holder(id.value());
    if (engines_.contains(record.service) && !health_.Avoided(id, now) &&
        contents_.HoldsWhole(holder, scope, part, now))
      sources.push_back({holder, record.address, record.zone,
                         contents_.KnownByNews(holder)
                             ? SourceRank::kEngineByNews
                             : SourceRank::kEngine});
  }
  for (const StoreChoice& store : stores_) {
    if (contents_.HoldsWhole(store.holder, scope, part, now))
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
  const auto [found, fresh] = sources_.try_emplace(scope);
  if (!fresh)
    return found->second;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
    found->second.push_back(FindSources(prompt.parts[i], scope, now));
  return found->second;
}

QueueAhead AttemptPlanner::Ahead(const RequestFootprint& footprint,
                                 const EndpointRecord& record,
                                 const EngineTraits& engine) const {
  const EndpointLoad load = loads_.Total(record.id);
  QueueAhead ahead;
  ahead.reading = load.unread;
  const double without_place = load.requests + 1 - record.slots;
  if (without_place > 0)
    ahead.reading += kNoPlaceCost * without_place;
  ahead.need = loads_.Added(record.id, footprint);
  const double room = kMemoryShare * static_cast<double>(engine.memory_tokens);
  if (room > 0)
    ahead.free_memory = room - load.tokens;
  return ahead;
}

void AttemptPlanner::Measure(const ExchangeSetup& setup,
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
  double unread = static_cast<double>(prompt.prompt_tokens);
  for (std::size_t i = 0; i < sources.size(); ++i) {
    const PromptPart& part = prompt.parts[i];
    const auto tokens = static_cast<double>(part.tokens);
    const bool here = contents_.HoldsWhole(self, candidate.scope, part, now);
    // What follows a part that has to be read has to be read too.
    if (!here && sources[i].empty())
      break;
    unread -= tokens;
    if (!here)
      fetched += tokens;
  }
  candidate.unread = std::max(0.0, unread);
  candidate.ahead = Ahead(footprint, record, engine->second);
  candidate.cost =
      candidate.ahead.Total() + candidate.unread + kFetchCost * fetched;
}

bool AttemptPlanner::TakesWork(const ExchangeSetup& setup,
                               const EndpointRecord& record) const {
  return record.service == setup.service && !record.leaving;
}

bool AttemptPlanner::Allowed(const ExchangeSetup& setup,
                             const EndpointRecord& record,
                             MonotonicTime now) const {
  return TakesWork(setup, record) &&
         limits_.MaySend(EndpointLife::Of(record), now) &&
         !Overdue(setup, record, now);
}

bool AttemptPlanner::Overdue(const ExchangeSetup& setup,
                             const EndpointRecord& record,
                             MonotonicTime now) const {
  if (!setup.request.prompt)
    return false;
  const ModelName& model = setup.request.prompt->model;
  const WeightNumber weights =
      WeightsOf(record, model).value_or(WeightNumber(0));
  // Most of the time no weights are being replaced; then nothing of the queues
  // has to be added up.
  if (!deadlines_.Overdue(model, weights, now + kLongestWait))
    return false;
  const Milliseconds wait = std::min(WaitAt(setup, record), kLongestWait);
  return deadlines_.Overdue(model, weights, now + wait);
}

Milliseconds AttemptPlanner::WaitAt(const ExchangeSetup& setup,
                                    const EndpointRecord& record) const {
  const auto engine = engines_.find(record.service);
  if (!wait_ || engine == engines_.end())
    return Milliseconds(0);
  const RequestFootprint footprint = RequestFootprint::Of(setup.request);
  return wait_(record.service,
               Ahead(footprint, record, engine->second).Total());
}

bool AttemptPlanner::OnlyReplacedWeights(const ExchangeSetup& setup,
                                         MonotonicTime now) const {
  bool some = false;
  for (const auto& [id, record] : registry_.all()) {
    if (!TakesWork(setup, record))
      continue;
    if (!Overdue(setup, record, now))
      return false;
    some = true;
  }
  return some;
}

bool AttemptPlanner::OnlyRateLimited(const ExchangeSetup& setup,
                                     MonotonicTime now) const {
  bool some = false;
  for (const auto& [id, record] : registry_.all()) {
    if (!TakesWork(setup, record) || Overdue(setup, record, now))
      continue;
    if (limits_.MaySend(EndpointLife::Of(record), now))
      return false;
    some = true;
  }
  return some;
}

bool AttemptPlanner::Avoided(const EndpointRecord& record,
                             const AttemptWish& wish,
                             MonotonicTime now) const {
  const bool tried = wish.tried != nullptr && wish.tried->contains(record.id);
  return tried || draining_.contains(record.id) ||
         health_.Avoided(record.id, now) ||
         (has_room_ && !has_room_(record.address));
}

AttemptFields AttemptPlanner::FieldsFor(const ExchangeSetup& setup,
                                        const AttemptWish& wish,
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
  const bool has_priority =
      setup.account != nullptr && setup.account->priority.has_value();
  fields.urgency =
      has_priority ? *setup.account->priority : setup.route->priority;
  fields.weights = chosen.weights;
  fields.cache_scope = chosen.scope;
  if (chosen.weights)
    AddCacheFields(setup, chosen, fields, now);
  return fields;
}

std::vector<EndpointId> AttemptPlanner::Shortlist(const ExchangeSetup& setup,
                                                  MonotonicTime now) {
  struct Ranked {
    double own_cost = 0;
    std::uint64_t hash = 0;
    EndpointId id;
  };
  sources_.clear();
  const RequestFootprint footprint = RequestFootprint::Of(setup.request);
  const std::uint64_t session = SessionHash(setup.request);
  std::vector<Ranked> ranked;
  double least = std::numeric_limits<double>::max();
  for (const auto& [id, record] : registry_.all()) {
    if (!Allowed(setup, record, now) || Avoided(record, {}, now))
      continue;
    Candidate candidate = Describe(setup, record);
    Measure(setup, footprint, candidate, now);
    const double own_cost = candidate.cost - candidate.ahead.Total();
    least = std::min(least, own_cost);
    ranked.push_back(
        {own_cost, CombineHashes(FastHash(id.value()), session), id});
  }
  // Smaller differences aren't felt; the session's hash decides.
  const auto order = [least](const Ranked& one) {
    return std::pair(std::floor((one.own_cost - least) / kShortlistStep),
                     ~one.hash);
  };
  std::sort(
      ranked.begin(), ranked.end(),
      [&order](const auto& a, const auto& b) { return order(a) < order(b); });
  std::vector<EndpointId> shortlist;
  for (const Ranked& one : ranked) {
    if (shortlist.size() < kShortlist)
      shortlist.push_back(one.id);
  }
  return shortlist;
}

std::optional<AttemptPlanner::Choice> AttemptPlanner::Choose(
    const ExchangeSetup& setup,
    const AttemptWish& wish,
    std::span<const EndpointId> among,
    MonotonicTime now) {
  const RequestFootprint footprint = RequestFootprint::Of(setup.request);
  std::vector<Candidate> candidates;
  std::vector<PlacementCandidate> placement;
  for (const auto& [id, record] : registry_.all()) {
    const bool asked = among.empty() ||
                       std::find(among.begin(), among.end(), id) != among.end();
    if (!asked || !Allowed(setup, record, now))
      continue;
    Candidate candidate = Describe(setup, record);
    Measure(setup, footprint, candidate, now);
    placement.push_back({.hash = FastHash(id.value()),
                         .cost = candidate.cost,
                         .avoided = Avoided(record, wish, now)});
    candidates.push_back(std::move(candidate));
  }
  const PlacementChoice choice =
      Place(placement, SessionHash(setup.request), placement_);
  if (!choice.index)
    return std::nullopt;
  return Choice{std::move(candidates[*choice.index]), choice.avoided};
}

std::optional<AttemptPlan> AttemptPlanner::Plan(
    const ExchangeSetup& setup,
    const AttemptWish& wish,
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
  plan.unread = chosen.unread;
  plan.fields = FieldsFor(setup, wish, chosen, now);
  if (setup.request.prompt) {
    plan.cost = chosen.cost;
    plan.ahead = chosen.ahead;
    plan.ahead_of_mean = chosen.ahead;
    plan.ahead_of_mean.need = sizes_.NeedOfMean(
        setup.route->name,
        static_cast<double>(RequestFootprint::Of(setup.request).AllTokens()),
        chosen.ahead.need);
    plan.sources = CountNamed(plan.fields.fetch_from);
    plan.saves = CountNamed(plan.fields.save_to);
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
  for (std::size_t i = 0; i + 1 < parts; ++i) {
    const PromptPart& part = prompt.parts[i];
    // Named also for a part that the engine is thought to hold: if it has
    // dropped the part meanwhile, it would read it again.
    if (const Source* source = NearestSource(sources[i], *candidate.record))
      fields.fetch_from[i] = source->address;
    const StoreChoice* const store = ChooseStore(
        stores_, store_per_part_ ? part.id : prompt.SessionPart()->id);
    if (store != nullptr && contents_.Trusted(store->holder, now) &&
        !contents_.HoldsWhole(store->holder, candidate.scope, part, now) &&
        NoteSave(candidate.scope, part.id, now))
      fields.save_to[i] = store->address;
  }
  if (const auto clock = contents_.ClockAt(now))
    fields.fetch_until = *clock + FetchLife(setup, candidate);
}

Milliseconds AttemptPlanner::FetchLife(const ExchangeSetup& setup,
                                       const Candidate& candidate) const {
  if (!wait_)
    return kLongestFetchLife;
  const std::vector<PromptPart>& parts = setup.request.prompt->parts;
  double tokens = 0;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i)
    tokens += static_cast<double>(parts[i].tokens);
  return std::clamp(
      wait_(setup.service, candidate.ahead.Total() + kFetchPatience * tokens),
      kLeastFetchLife, kLongestFetchLife);
}

bool AttemptPlanner::NoteSave(const std::string& scope,
                              const std::string& part,
                              MonotonicTime now) {
  if (saves_.size() >= kMaxSaves) {
    std::erase_if(saves_, [now](const auto& save) {
      return now - save.second >= kSaveMemory;
    });
  }
  MonotonicTime& saved = saves_[scope + '\n' + part];
  if (saved != MonotonicTime{} && now - saved < kSaveMemory)
    return false;
  saved = now;
  return true;
}

Milliseconds AttemptPlanner::ReturnAfter(const ExchangeSetup& setup,
                                         MonotonicTime now) const {
  if (OnlyReplacedWeights(setup, now))
    return kReturnAfterLoad;
  std::optional<Milliseconds> soonest;
  for (const auto& [id, record] : registry_.all()) {
    if (!TakesWork(setup, record) || Overdue(setup, record, now))
      continue;
    const Milliseconds wait = std::max(
        health_.AvoidedFor(id, now),
        Scattered(limits_.WaitFor(EndpointLife::Of(record), now), setup));
    if (!soonest || wait < *soonest)
      soonest = wait;
  }
  return std::max(kLeastReturn, soonest.value_or(kReturnWithoutEndpoints));
}

}  // namespace carobshift
