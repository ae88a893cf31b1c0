#include "carobshift/retry/retry_budget.h"

#include <algorithm>
#include <functional>

namespace carobshift {

RetryBudget::RetryBudget(const RetryBudgetOptions& options)
    : options_(options) {}

void RetryBudget::OnSuccess(const AccountId& account,
                            const ServiceName& service) {
  const auto it = left_.find(Key{account, service});
  if (it == left_.end())
    return;
  it->second += options_.per_success;
  if (it->second >= options_.reserve)
    left_.erase(it);
}

bool RetryBudget::TrySpend(const AccountId& account,
                           const ServiceName& service) {
  if (options_.unlimited)
    return true;
  const auto [it, added] =
      left_.try_emplace(Key{account, service}, options_.reserve);
  if (it->second < 1)
    return false;
  it->second -= 1;
  return true;
}

double RetryBudget::Left(const AccountId& account,
                         const ServiceName& service) const {
  const auto it = left_.find(Key{account, service});
  return it == left_.end() ? options_.reserve : it->second;
}

void RetryBudget::Forget(const AccountId& account) {
  std::erase_if(
      left_, [&](const auto& item) { return item.first.account == account; });
}

std::size_t RetryBudget::KeyHash::operator()(const Key& key) const noexcept {
  return std::hash<AccountId>{}(key.account) * 31 +
         std::hash<ServiceName>{}(key.service);
}

}  // namespace carobshift
