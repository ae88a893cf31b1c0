#include "carobshift/gateway/weight_deadlines.h"

#include <algorithm>

namespace carobshift {

void WeightDeadlines::OnNamed(const ModelName& model,
                              WeightNumber number,
                              MonotonicTime now) {
  const Names& names = named_[model];
  if (names.empty() || number > names.rbegin()->first)
    Learn({model, number, now});
}

void WeightDeadlines::Learn(const WeightNaming& naming) {
  Names& names = named_[naming.model];
  const auto [known, fresh] = names.emplace(naming.number, naming.named);
  if (!fresh)
    known->second = std::min(known->second, naming.named);
  if (names.size() > kMaxNames)
    names.erase(names.begin());
}

bool WeightDeadlines::Knows(const ModelName& model, WeightNumber number) const {
  const auto names = named_.find(model);
  return names != named_.end() && names->second.contains(number);
}

std::vector<WeightNaming> WeightDeadlines::Namings() const {
  std::vector<WeightNaming> namings;
  for (const auto& [model, names] : named_) {
    for (const auto& [number, named] : names)
      namings.push_back({model, number, named});
  }
  return namings;
}

bool WeightDeadlines::Overdue(const ModelName& model,
                              WeightNumber weights,
                              MonotonicTime now) const {
  const auto names = named_.find(model);
  if (names == named_.end())
    return false;
  return std::any_of(
      names->second.upper_bound(weights), names->second.end(),
      [&](const auto& name) { return now - name.second >= bound_ - kMargin; });
}

}  // namespace carobshift
