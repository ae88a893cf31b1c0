#include "carobshift/gateway/weight_rollout.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace carobshift {

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

bool WeightRollout::HasWork(const std::vector<RolloutEngine>& engines) const {
  return std::any_of(engines.begin(), engines.end(),
                     [this](const auto& engine) { return IsBehind(engine); });
}

void WeightRollout::Forget(const std::vector<RolloutEngine>& engines,
                           MonotonicTime now) {
  std::set<EndpointId> behind;
  for (const RolloutEngine& engine : engines) {
    if (!IsBehind(engine))
      continue;
    behind.insert(engine.id);
    const auto found = progress_.find(engine.id);
    if (found == progress_.end())
      continue;
    Progress& progress = found->second;
    // A newer target came in the middle; the engine is asked again as soon as
    // it is done with the older one.
    const bool outdated = progress.number != *Target(engine.model);
    const bool expired = progress.ordered_at &&
                         now - *progress.ordered_at >= options_.order_life;
    if (outdated || expired) {
      progress.number = *Target(engine.model);
      progress.ordered_at.reset();
    }
  }
  std::erase_if(progress_, [&behind](const auto& entry) {
    return !behind.contains(entry.first);
  });
}

std::vector<RolloutStep> WeightRollout::Next(
    const std::vector<RolloutEngine>& engines,
    MonotonicTime now) {
  Forget(engines, now);
  std::map<ModelName, std::vector<const RolloutEngine*>> behind;
  std::map<ModelName, int> totals;
  for (const RolloutEngine& engine : engines) {
    ++totals[engine.model];
    if (IsBehind(engine))
      behind[engine.model].push_back(&engine);
  }
  std::vector<RolloutStep> steps;
  for (auto& [model, waiting] : behind) {
    const int width = std::max(
        1,
        static_cast<int>(std::lround(totals[model] * options_.share_at_once)));
    std::stable_sort(
        waiting.begin(), waiting.end(),
        [](const auto* a, const auto* b) { return a->weights < b->weights; });
    int loading = 0;
    int draining = 0;
    for (const RolloutEngine* engine : waiting) {
      const auto found = progress_.find(engine->id);
      if (found == progress_.end())
        continue;
      loading += found->second.ordered_at ? 1 : 0;
      draining += found->second.ordered_at ? 0 : 1;
    }
    for (const RolloutEngine* engine : waiting) {
      const WeightNumber number = *Target(model);
      const auto found = progress_.find(engine->id);
      if (found == progress_.end()) {
        if (draining >= width)
          continue;
        ++draining;
        progress_[engine->id] = {number, now, std::nullopt,
                                 now + options_.drain};
        steps.push_back({RolloutStepKind::kDrain, engine->id, model, number});
        continue;
      }
      Progress& progress = found->second;
      if (progress.ordered_at || now < progress.not_before || loading >= width)
        continue;
      ++loading;
      progress.ordered_at = now;
      steps.push_back({RolloutStepKind::kOrder, engine->id, model, number});
    }
  }
  return steps;
}

void WeightRollout::OnOrderFailed(const EndpointId& endpoint,
                                  Milliseconds wait,
                                  MonotonicTime now) {
  const auto found = progress_.find(endpoint);
  if (found == progress_.end())
    return;
  found->second.ordered_at.reset();
  found->second.not_before = now + wait;
}

}  // namespace carobshift
