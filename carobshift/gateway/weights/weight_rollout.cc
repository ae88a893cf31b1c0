#include "carobshift/gateway/weights/weight_rollout.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace carobshift {
namespace {

// Limit on the doublings of the retry delay; keeps the product in range.
constexpr int kMaxDoublings = 8;

}  // namespace

void WeightRollout::SetTarget(const ModelName& model, WeightNumber number) {
  WeightNumber& target = targets_[model];
  target = std::max(target, number);
}

std::optional<WeightNumber> WeightRollout::Target(
    const ModelName& model) const {
  const auto found = targets_.find(model);
  if (found == targets_.end())
    return std::nullopt;
  return found->second;
}

bool WeightRollout::IsBehind(const RolloutEngine& engine) const {
  const auto target = Target(engine.model);
  return target && engine.weights < *target;
}

const WeightRollout::Turn* WeightRollout::FindTurn(
    const RolloutEngine& engine) const {
  const auto found = turns_.find(engine.id);
  if (found == turns_.end() || found->second.model != engine.model)
    return nullptr;
  return &found->second;
}

bool WeightRollout::HasTurnForOtherModel(const RolloutEngine& engine) const {
  const auto found = turns_.find(engine.id);
  return found != turns_.end() && found->second.model != engine.model;
}

bool WeightRollout::HasWork(const std::vector<RolloutEngine>& engines) const {
  return std::any_of(engines.begin(), engines.end(),
                     [this](const auto& engine) { return IsBehind(engine); });
}

void WeightRollout::UpdateTurns(const std::vector<RolloutEngine>& engines,
                                MonotonicTime now) {
  std::set<EndpointId> active;
  for (const RolloutEngine& engine : engines) {
    if (FindTurn(engine) == nullptr || !IsBehind(engine))
      continue;
    Turn& turn_state = turns_.at(engine.id);
    // The engine has loaded weights that were replaced meanwhile. If its turn
    // continued, it would load again before engines with older weights.
    if (engine.weights > turn_state.weights)
      continue;
    active.insert(engine.id);
    // A newer target was set during the turn. The engine gets a new order as
    // soon as the older load is complete.
    const bool outdated = turn_state.number != *Target(engine.model);
    const bool expired =
        turn_state.ordered_at &&
        now - *turn_state.ordered_at >= options_.order_retry_interval;
    if (outdated || expired) {
      turn_state.number = *Target(engine.model);
      turn_state.ordered_at.reset();
    }
    // No load is known, so the engine waits for an order as before.
    if (expired && !turn_state.busy)
      turn_state.loading_since.reset();
  }
  std::erase_if(turns_, [&active](const auto& entry) {
    return !active.contains(entry.first);
  });
}

bool WeightRollout::OccupiesSlot(const Turn& turn_state,
                                 MonotonicTime now) const {
  return turn_state.ordered_at ||
         (turn_state.loading_since &&
          now - *turn_state.loading_since < options_.order_retry_interval);
}

bool WeightRollout::IsStuck(const RolloutEngine& engine,
                            MonotonicTime now) const {
  const Turn* const turn = FindTurn(engine);
  return turn != nullptr && turn->loading_since && !OccupiesSlot(*turn, now);
}

std::vector<const RolloutEngine*> WeightRollout::EnginesBehind(
    const ModelName& model,
    const std::vector<RolloutEngine>& engines,
    MonotonicTime now) const {
  std::vector<const RolloutEngine*> behind;
  for (const RolloutEngine& engine : engines) {
    if (engine.model == model && IsBehind(engine))
      behind.push_back(&engine);
  }
  const auto rank = [this, now](const RolloutEngine* engine) {
    return std::make_pair(IsStuck(*engine, now), engine->weights);
  };
  std::stable_sort(
      behind.begin(), behind.end(),
      [&rank](const auto* a, const auto* b) { return rank(a) < rank(b); });
  return behind;
}

int WeightRollout::MaxConcurrent(
    const ModelName& model,
    const std::vector<RolloutEngine>& engines) const {
  const auto total = std::count_if(
      engines.begin(), engines.end(),
      [&model](const auto& engine) { return engine.model == model; });
  return std::max(1,
                  static_cast<int>(std::lround(static_cast<double>(total) *
                                               options_.max_concurrent_share)));
}

WeightRollout::ActiveCounts WeightRollout::CountActive(
    const std::vector<const RolloutEngine*>& behind,
    MonotonicTime now) const {
  ActiveCounts count;
  for (const RolloutEngine* engine : behind) {
    const Turn* const turn = FindTurn(*engine);
    if (turn == nullptr || IsStuck(*engine, now))
      continue;
    const Turn& turn_state = *turn;
    if (OccupiesSlot(turn_state, now)) {
      ++count.loading;
      if (turn_state.loading_since &&
          now - *turn_state.loading_since < options_.drain_delay)
        ++count.begun;
    } else {
      ++(turn_state.failures > 0 ? count.failing : count.draining);
    }
  }
  return count;
}

void WeightRollout::AddSteps(const ModelName& model,
                             const std::vector<RolloutEngine>& engines,
                             MonotonicTime now,
                             std::vector<RolloutStep>& steps) {
  const WeightNumber number = *Target(model);
  const auto behind = EnginesBehind(model, engines, now);
  const int max_concurrent = MaxConcurrent(model, engines);
  ActiveCounts active = CountActive(behind, now);
  for (const RolloutEngine* engine : behind) {
    if (HasTurnForOtherModel(*engine))
      continue;
    if (FindTurn(*engine) == nullptr) {
      if (active.draining + active.begun >= max_concurrent ||
          active.draining + active.failing >= 2 * max_concurrent)
        continue;
      ++active.draining;
      Turn& begun = turns_[engine->id];
      begun.model = model;
      begun.number = number;
      begun.weights = engine->weights;
      begun.not_before = now + options_.drain;
      steps.push_back({RolloutStepKind::kDrain, engine->id, model, number,
                       engine->weights});
      continue;
    }
    Turn& turn_state = turns_.at(engine->id);
    if (turn_state.ordered_at || now < turn_state.not_before)
      continue;
    if (!OccupiesSlot(turn_state, now)) {
      if (active.loading >= max_concurrent)
        continue;
      ++active.loading;
    }
    turn_state.ordered_at = now;
    if (!turn_state.loading_since)
      turn_state.loading_since = now;
    steps.push_back(
        {RolloutStepKind::kOrder, engine->id, model, number, engine->weights});
  }
}

std::vector<RolloutStep> WeightRollout::Next(
    const std::vector<RolloutEngine>& engines,
    MonotonicTime now) {
  UpdateTurns(engines, now);
  std::vector<RolloutStep> steps;
  for (const auto& [model, target] : targets_)
    AddSteps(model, engines, now, steps);
  return steps;
}

void WeightRollout::OnOrderFailed(const EndpointId& endpoint,
                                  Milliseconds wait,
                                  MonotonicTime now) {
  const auto found = turns_.find(endpoint);
  if (found == turns_.end())
    return;
  found->second.ordered_at.reset();
  found->second.loading_since.reset();
  found->second.busy = false;
  const int doublings = std::min(found->second.failures++, kMaxDoublings);
  found->second.not_before =
      now + std::max(wait, std::min(wait * (1 << doublings), kMaxRetryDelay));
}

void WeightRollout::OnAccepted(const EndpointId& endpoint, MonotonicTime now) {
  const auto found = turns_.find(endpoint);
  if (found == turns_.end())
    return;
  found->second.loading_since = now;
  found->second.busy = false;
  found->second.failures = 0;
}

void WeightRollout::OnBusy(const EndpointId& endpoint,
                           Milliseconds wait,
                           MonotonicTime now) {
  const auto found = turns_.find(endpoint);
  if (found == turns_.end())
    return;
  found->second.ordered_at.reset();
  found->second.busy = true;
  found->second.failures = 0;
  found->second.not_before = now + wait;
}

}  // namespace carobshift
