#include "carobshift/gateway/attempt_planner.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace carobshift {
namespace {

constexpr std::size_t kMaxSaves = 4096;
// For callers that are told to come back while no endpoint is known at all.
constexpr Milliseconds kReturnWithoutEndpoints{500};
constexpr Milliseconds kLeastReturn{100};

std::string Hex(std::uint64_t value) {
  std::array<char, 20> text;
  const int size = std::snprintf(text.data(), text.size(), "%016llx",
                                 static_cast<unsigned long long>(value));
  return {text.data(), static_cast<std::size_t>(size)};
}

std::uint64_t SessionHash(const CallerRequest& request) {
  const PromptPart* const part =
      request.prompt ? request.prompt->SessionPart() : nullptr;
  return PlacementHash(part != nullptr ? part->id : request.id.value());
}

}  // namespace

std::string CacheScope(const ModelName& model,
                       WeightNumber weights,
                       const std::optional<AccountId>& account) {
  std::string text = model.value() + '\n' + std::to_string(weights.value());
  if (account)
    text += '\n' + account->value();
  return Hex(PlacementHash(text));
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
        {name, service.store->address,
         static_cast<double>(std::max<Tokens>(service.store->capacity, 1)),
         PlacementHash(name.value())});
  }
}

void AttemptPlanner::NoteWeights(const EndpointId& id,
                                 const ModelName& model,
                                 WeightNumber weights) {
  noted_[id][model] = weights;
}

std::optional<WeightNumber> AttemptPlanner::WeightsOf(
    const EndpointRecord& endpoint,
    const ModelName& model) const {
  std::optional<WeightNumber> known;
  const auto recorded = endpoint.weights.find(model);
  if (recorded != endpoint.weights.end())
    known = recorded->second;
  const auto noted = noted_.find(endpoint.id);
  if (noted != noted_.end()) {
    const auto of_model = noted->second.find(model);
    if (of_model != noted->second.end() &&
        (!known || of_model->second > *known))
      known = of_model->second;
  }
  return known;
}

PlacementCandidate AttemptPlanner::Measure(
    const EndpointRecord& record,
    const RequestFootprint& footprint) const {
  const EndpointLoad load = loads_.Total(record.id);
  PlacementCandidate candidate;
  candidate.hash = PlacementHash(record.id.value());
  const auto engine = engines_.find(record.service);
  if (engine == engines_.end() || engine->second.memory_tokens <= 0) {
    candidate.load = load.requests;
    candidate.added = 1;
    candidate.room = record.slots;
    return candidate;
  }
  candidate.load = load.tokens;
  candidate.added = loads_.Added(record.id, footprint);
  candidate.room =
      kMemoryShare * static_cast<double>(engine->second.memory_tokens);
  return candidate;
}

AttemptPlanner::Candidates AttemptPlanner::CandidatesOf(
    const ExchangeSetup& setup,
    const AttemptWish& wish,
    MonotonicTime now) const {
  const RequestFootprint footprint = RequestFootprint::Of(setup.request);
  Candidates out;
  for (const auto& [id, record] : registry_.all()) {
    if (record.service != setup.service || record.leaving)
      continue;
    const bool tried = wish.tried != nullptr && wish.tried->contains(id);
    PlacementCandidate candidate = Measure(record, footprint);
    candidate.avoided =
        tried || draining_.contains(id) || health_.Avoided(id, now);
    out.endpoints.push_back(&record);
    out.placement.push_back(candidate);
  }
  return out;
}

std::optional<AttemptPlan> AttemptPlanner::Plan(const ExchangeSetup& setup,
                                                const AttemptWish& wish,
                                                MonotonicTime now) {
  const Candidates candidates = CandidatesOf(setup, wish, now);
  const PlacementChoice choice =
      Place(candidates.placement, SessionHash(setup.request));
  if (!choice.index)
    return std::nullopt;
  AttemptPlan plan;
  plan.endpoint = *candidates.endpoints[*choice.index];
  plan.home = choice.home;
  plan.fields.endpoint = plan.endpoint.id;
  plan.fields.time_left = wish.time_left;
  plan.fields.last_event = wish.last_event;
  if (setup.account != nullptr)
    plan.fields.account = setup.account->name;
  if (setup.request.prompt)
    AddPromptFields(setup, plan.endpoint, plan.fields, now);
  return plan;
}

void AttemptPlanner::AddPromptFields(const ExchangeSetup& setup,
                                     const EndpointRecord& endpoint,
                                     AttemptFields& fields,
                                     MonotonicTime now) {
  const PromptTraits& prompt = *setup.request.prompt;
  const bool has_priority =
      setup.account != nullptr && setup.account->priority.has_value();
  fields.urgency =
      has_priority ? *setup.account->priority : setup.route->priority;
  fields.weights = WeightsOf(endpoint, prompt.model);
  if (!fields.weights) {
    fields.cache_scope = "unshared-" + setup.request.id.value();
    return;
  }
  std::optional<AccountId> isolated;
  if (setup.account != nullptr && setup.account->isolated)
    isolated = setup.account->name;
  fields.cache_scope = CacheScope(prompt.model, *fields.weights, isolated);
  AddStores(prompt, fields, now);
}

void AttemptPlanner::AddStores(const PromptTraits& prompt,
                               AttemptFields& fields,
                               MonotonicTime now) {
  if (stores_.empty() || prompt.parts.size() < 2)
    return;
  fields.single_store = !store_per_part_;
  const std::size_t parts = prompt.parts.size();
  fields.fetch_from.resize(parts);
  fields.save_to.resize(parts);
  const StoreChoice* const session_store =
      ChooseStore(stores_, prompt.SessionPart()->id);
  for (std::size_t i = 0; i + 1 < parts; ++i) {
    const std::string& part = prompt.parts[i].id;
    const StoreChoice* const store =
        store_per_part_ ? ChooseStore(stores_, part) : session_store;
    if (contents_.HoldsWhole(store->name, fields.cache_scope, part, now)) {
      fields.fetch_from[i] = store->address;
    } else if (contents_.Trusted(store->name, now) &&
               NoteSave(fields.cache_scope, part, now)) {
      fields.save_to[i] = store->address;
    }
  }
  if (const auto clock = contents_.ClockAt(now))
    fields.fetch_until = *clock + kFetchLife;
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

Milliseconds AttemptPlanner::ReturnAfter(const ServiceName& service,
                                         MonotonicTime now) const {
  std::optional<Milliseconds> soonest;
  for (const auto& [id, record] : registry_.all()) {
    if (record.service != service || record.leaving)
      continue;
    const Milliseconds wait = health_.AvoidedFor(id, now);
    if (!soonest || wait < *soonest)
      soonest = wait;
  }
  return std::max(kLeastReturn, soonest.value_or(kReturnWithoutEndpoints));
}

}  // namespace carobshift
