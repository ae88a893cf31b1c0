#include "carobshift/gateway/cache/obsolete_part_selector.h"

#include <algorithm>

namespace carobshift {
namespace {

// Number of previous versions that are examined. Older ones were freed when
// they became obsolete. Their remaining parts stay if all instances were down
// for a longer time.
constexpr std::uint64_t kVersionsBack = 8;

// Returns the oldest weights of any engine per model, or nullopt for a model if
// the weights of one of its engines are unknown.
std::map<ModelName, std::optional<WeightNumber>> OldestWeights(
    const std::vector<ScopedEngine>& engines) {
  std::map<ModelName, std::optional<WeightNumber>> oldest;
  for (const ScopedEngine& engine : engines) {
    const auto [found, first] =
        oldest.try_emplace(engine.model, engine.weights);
    if (first || !found->second)
      continue;
    if (!engine.weights || *engine.weights < *found->second)
      found->second = engine.weights;
  }
  return oldest;
}

}  // namespace

std::set<std::string> ObsoleteScopes(
    const std::vector<ScopedEngine>& engines,
    const std::vector<CacheAudience>& audiences) {
  std::set<std::string> scopes;
  for (const auto& [model, oldest] : OldestWeights(engines)) {
    if (!oldest)
      continue;
    const std::uint64_t end = oldest->value();
    const std::uint64_t begin = end > kVersionsBack ? end - kVersionsBack : 0;
    for (std::uint64_t number = begin; number < end; ++number) {
      const WeightNumber weights(number);
      scopes.insert(CacheScope(model, weights, {}));
      for (const CacheAudience& audience : audiences)
        scopes.insert(CacheScope(model, weights, audience));
    }
  }
  return scopes;
}

void ObsoletePartSelector::SetObsolete(const std::set<std::string>& scopes,
                                       MonotonicTime now) {
  std::erase_if(obsolete_, [&scopes](const auto& entry) {
    return !scopes.contains(entry.first);
  });
  if (list_stale_)
    return;
  for (const std::string& scope : scopes)
    obsolete_.emplace(scope, now);
}

void ObsoletePartSelector::OnListRefreshed(MonotonicTime refreshed,
                                           MonotonicTime now) {
  if (now - refreshed >= kMaxListAge)
    obsolete_.clear();
  list_stale_ = now - refreshed >= kMaxListAge;
}

std::vector<FreeOrder> ObsoletePartSelector::NextOrders(
    const std::vector<CacheHolder>& stores,
    const CacheContents& contents,
    MonotonicTime now) const {
  const bool any_due = std::any_of(
      obsolete_.begin(), obsolete_.end(),
      [now](const auto& entry) { return now - entry.second >= kFreeDelay; });
  std::vector<FreeOrder> orders;
  if (!any_due)
    return orders;
  for (const CacheHolder& store : stores) {
    const auto epoch = contents.Epoch(store);
    if (!epoch || !contents.IsTrusted(store, now))
      continue;
    FreeOrder order{store, *epoch, {}};
    for (StoreEvent& part : contents.Parts(store)) {
      const auto found = obsolete_.find(part.scope);
      if (found != obsolete_.end() && now - found->second >= kFreeDelay &&
          order.parts.size() < kPartsPerOrder)
        order.parts.push_back(std::move(part));
    }
    if (!order.parts.empty())
      orders.push_back(std::move(order));
  }
  return orders;
}

}  // namespace carobshift
