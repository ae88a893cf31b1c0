#include "carobshift/gateway/weight_rollout.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace carobshift {
namespace {

// Of the wait after a failed order; keeps the product in range.
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

const WeightRollout::Progress* WeightRollout::TurnOf(
    const RolloutEngine& engine) const {
  const auto found = progress_.find(engine.id);
  if (found == progress_.end() || found->second.model != engine.model)
    return nullptr;
  return &found->second;
}

bool WeightRollout::HasOtherTurn(const RolloutEngine& engine) const {
  const auto found = progress_.find(engine.id);
  return found != progress_.end() && found->second.model != engine.model;
}

bool WeightRollout::HasWork(const std::vector<RolloutEngine>& engines) const {
  return std::any_of(engines.begin(), engines.end(),
                     [this](const auto& engine) { return IsBehind(engine); });
}

void WeightRollout::Forget(const std::vector<RolloutEngine>& engines,
                           MonotonicTime now) {
  std::set<EndpointId> under_way;
  for (const RolloutEngine& engine : engines) {
    if (TurnOf(engine) == nullptr || !IsBehind(engine))
      continue;
    Progress& progress = progress_.at(engine.id);
    // It has loaded weights that were replaced meanwhile. Left in its turn it
    // would load once more before engines that have older ones.
    if (engine.weights > progress.weights)
      continue;
    under_way.insert(engine.id);
    // A newer target came in the middle; the engine is asked again as soon as
    // it is done with the older one.
    const bool outdated = progress.number != *Target(engine.model);
    const bool expired = progress.ordered_at &&
                         now - *progress.ordered_at >= options_.order_life;
    if (outdated || expired) {
      progress.number = *Target(engine.model);
      progress.ordered_at.reset();
    }
    // Nothing is known of a load; the engine waits for an order like before.
    if (expired && !progress.busy)
      progress.loading_since.reset();
  }
  std::erase_if(progress_, [&under_way](const auto& entry) {
    return !under_way.contains(entry.first);
  });
}

bool WeightRollout::HasPlace(const Progress& progress,
                             MonotonicTime now) const {
  return progress.ordered_at ||
         (progress.loading_since &&
          now - *progress.loading_since < options_.order_life);
}

bool WeightRollout::IsStuck(const RolloutEngine& engine,
                            MonotonicTime now) const {
  const Progress* const turn = TurnOf(engine);
  return turn != nullptr && turn->loading_since && !HasPlace(*turn, now);
}

std::vector<const RolloutEngine*> WeightRollout::WaitingFor(
    const ModelName& model,
    const std::vector<RolloutEngine>& engines,
    MonotonicTime now) const {
  std::vector<const RolloutEngine*> waiting;
  for (const RolloutEngine& engine : engines) {
    if (engine.model == model && IsBehind(engine))
      waiting.push_back(&engine);
  }
  const auto rank = [this, now](const RolloutEngine* engine) {
    return std::make_pair(IsStuck(*engine, now), engine->weights);
  };
  std::stable_sort(
      waiting.begin(), waiting.end(),
      [&rank](const auto* a, const auto* b) { return rank(a) < rank(b); });
  return waiting;
}

int WeightRollout::WidthFor(const ModelName& model,
                            const std::vector<RolloutEngine>& engines) const {
  const auto total = std::count_if(
      engines.begin(), engines.end(),
      [&model](const auto& engine) { return engine.model == model; });
  return std::max(1, static_cast<int>(std::lround(static_cast<double>(total) *
                                                  options_.share_at_once)));
}

WeightRollout::UnderWay WeightRollout::CountUnderWay(
    const std::vector<const RolloutEngine*>& waiting,
    MonotonicTime now) const {
  UnderWay count;
  for (const RolloutEngine* engine : waiting) {
    const Progress* const turn = TurnOf(*engine);
    if (turn == nullptr || IsStuck(*engine, now))
      continue;
    const Progress& progress = *turn;
    if (HasPlace(progress, now)) {
      ++count.loading;
      if (progress.loading_since &&
          now - *progress.loading_since < options_.drain_after)
        ++count.begun;
    } else {
      ++(progress.failures > 0 ? count.failing : count.draining);
    }
  }
  return count;
}

void WeightRollout::AddSteps(const ModelName& model,
                             const std::vector<RolloutEngine>& engines,
                             MonotonicTime now,
                             std::vector<RolloutStep>& steps) {
  const WeightNumber number = *Target(model);
  const auto waiting = WaitingFor(model, engines, now);
  const int width = WidthFor(model, engines);
  UnderWay under_way = CountUnderWay(waiting, now);
  for (const RolloutEngine* engine : waiting) {
    if (HasOtherTurn(*engine))
      continue;
    if (TurnOf(*engine) == nullptr) {
      if (under_way.draining + under_way.begun >= width ||
          under_way.draining + under_way.failing >= 2 * width)
        continue;
      ++under_way.draining;
      Progress& begun = progress_[engine->id];
      begun.model = model;
      begun.number = number;
      begun.weights = engine->weights;
      begun.not_before = now + options_.drain;
      steps.push_back({RolloutStepKind::kDrain, engine->id, model, number,
                       engine->weights});
      continue;
    }
    Progress& progress = progress_.at(engine->id);
    if (progress.ordered_at || now < progress.not_before)
      continue;
    if (!HasPlace(progress, now)) {
      if (under_way.loading >= width)
        continue;
      ++under_way.loading;
    }
    progress.ordered_at = now;
    if (!progress.loading_since)
      progress.loading_since = now;
    steps.push_back(
        {RolloutStepKind::kOrder, engine->id, model, number, engine->weights});
  }
}

std::vector<RolloutStep> WeightRollout::Next(
    const std::vector<RolloutEngine>& engines,
    MonotonicTime now) {
  Forget(engines, now);
  std::vector<RolloutStep> steps;
  for (const auto& [model, target] : targets_)
    AddSteps(model, engines, now, steps);
  return steps;
}

void WeightRollout::OnOrderFailed(const EndpointId& endpoint,
                                  Milliseconds wait,
                                  MonotonicTime now) {
  const auto found = progress_.find(endpoint);
  if (found == progress_.end())
    return;
  found->second.ordered_at.reset();
  found->second.loading_since.reset();
  found->second.busy = false;
  const int doublings = std::min(found->second.failures++, kMaxDoublings);
  found->second.not_before =
      now + std::max(wait, std::min(wait * (1 << doublings), kMaxWait));
}

void WeightRollout::OnAccepted(const EndpointId& endpoint, MonotonicTime now) {
  const auto found = progress_.find(endpoint);
  if (found == progress_.end())
    return;
  found->second.loading_since = now;
  found->second.busy = false;
  found->second.failures = 0;
}

void WeightRollout::OnBusy(const EndpointId& endpoint,
                           Milliseconds wait,
                           MonotonicTime now) {
  const auto found = progress_.find(endpoint);
  if (found == progress_.end())
    return;
  found->second.ordered_at.reset();
  found->second.busy = true;
  found->second.failures = 0;
  found->second.not_before = now + wait;
}

}  // namespace carobshift
