#include "carobshift/gateway/weight_deadlines.h"

#include <algorithm>

namespace carobshift {

void WeightDeadlines::OnNamed(const ModelName& model,
                              WeightNumber number,
                              MonotonicTime now) {
  const Names& names = named_[model];
  if (names.empty() || number > names.rbegin()->first)
    Learn({model, number, now, NamingSource::kHeard});
}

void WeightDeadlines::Learn(const WeightNaming& naming) {
  Names& names = named_[naming.model];
  const Known told{naming.named, naming.source};
  const auto [at, fresh] = names.emplace(naming.number, told);
  Known& known = at->second;
  if (told.source > known.source)
    known = told;
  else if (told.source == known.source)
    known.named = std::min(known.named, told.named);
  if (names.size() > kMaxNames)
    names.erase(names.begin());
}

bool WeightDeadlines::HasGuess() const {
  const std::vector<WeightNaming> namings = Namings();
  return std::any_of(namings.begin(), namings.end(),
                     [](const WeightNaming& naming) {
                       return naming.source == NamingSource::kGuess;
                     });
}

bool WeightDeadlines::IsGuess(const ModelName& model,
                              WeightNumber number) const {
  const auto names = named_.find(model);
  if (names == named_.end())
    return false;
  const auto known = names->second.find(number);
  return known != names->second.end() &&
         known->second.source == NamingSource::kGuess;
}

std::vector<WeightNaming> WeightDeadlines::Namings() const {
  std::vector<WeightNaming> namings;
  for (const auto& [model, names] : named_) {
    for (const auto& [number, known] : names)
      namings.push_back({model, number, known.named, known.source});
  }
  return namings;
}

bool WeightDeadlines::NamedBefore(const ModelName& model,
                                  WeightNumber weights,
                                  MonotonicTime time) const {
  const auto names = named_.find(model);
  if (names == named_.end())
    return false;
  return std::any_of(
      names->second.upper_bound(weights), names->second.end(),
      [time](const auto& name) { return name.second.named <= time; });
}

}  // namespace carobshift
