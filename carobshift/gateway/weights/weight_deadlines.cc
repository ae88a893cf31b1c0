#include "carobshift/gateway/weights/weight_deadlines.h"

#include <algorithm>

namespace carobshift {

void WeightDeadlines::OnNamed(const ModelName& model,
                              WeightNumber number,
                              MonotonicTime now) {
  const ModelNamings& namings_of_model = namings_[model];
  if (namings_of_model.empty() || number > namings_of_model.rbegin()->first)
    MergeNaming({model, number, now, NamingSource::kObserved});
}

void WeightDeadlines::MergeNaming(const WeightNaming& naming) {
  ModelNamings& namings_of_model = namings_[naming.model];
  const Known incoming{naming.named, naming.source};
  const auto [position, inserted] =
      namings_of_model.emplace(naming.number, incoming);
  Known& known = position->second;
  if (incoming.source > known.source)
    known = incoming;
  else if (incoming.source == known.source)
    known.named = std::min(known.named, incoming.named);
  if (namings_of_model.size() > kMaxNamings)
    namings_of_model.erase(namings_of_model.begin());
}

bool WeightDeadlines::HasAssumedTime() const {
  const std::vector<WeightNaming> namings = Namings();
  return std::any_of(namings.begin(), namings.end(),
                     [](const WeightNaming& naming) {
                       return naming.source == NamingSource::kAssumed;
                     });
}

bool WeightDeadlines::IsAssumedTime(const ModelName& model,
                                    WeightNumber number) const {
  const auto namings_of_model = namings_.find(model);
  if (namings_of_model == namings_.end())
    return false;
  const auto known = namings_of_model->second.find(number);
  return known != namings_of_model->second.end() &&
         known->second.source == NamingSource::kAssumed;
}

std::vector<WeightNaming> WeightDeadlines::Namings() const {
  std::vector<WeightNaming> namings;
  for (const auto& [model, namings_of_model] : namings_) {
    for (const auto& [number, known] : namings_of_model)
      namings.push_back({model, number, known.named, known.source});
  }
  return namings;
}

bool WeightDeadlines::HasNewerNamedBy(const ModelName& model,
                                      WeightNumber weights,
                                      MonotonicTime time) const {
  const auto namings_of_model = namings_.find(model);
  if (namings_of_model == namings_.end())
    return false;
  return std::any_of(namings_of_model->second.upper_bound(weights),
                     namings_of_model->second.end(), [time](const auto& name) {
                       return name.second.named <= time;
                     });
}

}  // namespace carobshift
