#include "carobshift/config/declaration.h"

#include <algorithm>

namespace carobshift {
namespace {

template <typename Spec, typename Id>
const Spec* FindBy(const std::vector<Spec>& specs,
                   Id Spec::*member,
                   const Id& wanted) {
  const auto it = std::ranges::find(specs, wanted, member);
  return it == specs.end() ? nullptr : &*it;
}

}  // namespace

const ServiceSpec* Declaration::FindService(const ServiceName& name) const {
  return FindBy(services, &ServiceSpec::name, name);
}

const ModelSpec* Declaration::FindModel(const ModelName& name) const {
  return FindBy(models, &ModelSpec::name, name);
}

const PoolSpec* Declaration::FindPool(const PoolName& name) const {
  return FindBy(pools, &PoolSpec::name, name);
}

const StoreSpec* Declaration::FindStore(const StoreId& id) const {
  return FindBy(stores, &StoreSpec::id, id);
}

const AccountSpec* Declaration::FindAccount(const AccountId& id) const {
  return FindBy(accounts, &AccountSpec::id, id);
}

}  // namespace carobshift
