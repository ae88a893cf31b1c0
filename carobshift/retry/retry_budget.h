// How many retries a client account may cause at one service.
//
//   RetryBudget budget(options);
//   budget.OnSuccess(account, service);
//   if (!budget.TrySpend(account, service)) ...  // kRetryBudgetSpent
//
// Load pattern: half of the endpoints are gone, attempts fail, and each failed
// attempt is sent again to the other half, which is full already. Without a
// budget the load grows by the number of tries, the first tries fail for it,
// and the overload outlives its cause (a metastable failure). With it retries
// add at most `per_success` of the successes: the fewer attempts succeed, the
// fewer retries there are.
//
// Figures: a tenth of the successes covers the failures of a fleet in which a
// tenth of the attempts fails, and bounds the load at 1.1 times the arrivals.
// The reserve of ten lets an account that has just begun retry through one
// endpoint's death. The reserve isn't refilled by time, since time passes in an
// outage too. Per account, so that one whose requests crash endpoints doesn't
// use up the others' retries.
//
// Thread-compatible. State: one number per (account, service) that is below
// its reserve; the declaration bounds both.

#ifndef CAROBSHIFT_RETRY_RETRY_BUDGET_H_
#define CAROBSHIFT_RETRY_RETRY_BUDGET_H_

#include <cstddef>
#include <unordered_map>

#include "carobshift/base/ids.h"

namespace carobshift {

struct RetryBudgetOptions {
  double per_success = 0.1;
  double reserve = 10;
  // Allows every retry; only for the baselines of the load driver.
  bool unlimited = false;
};

class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options);

  void OnSuccess(const AccountId& account, const ServiceName& service);

  // Takes one retry from the budget; false if there is none left.
  [[nodiscard]] bool TrySpend(const AccountId& account,
                              const ServiceName& service);

  // Retries left, for the state dump.
  [[nodiscard]] double Left(const AccountId& account,
                            const ServiceName& service) const;

  // Drops the numbers of an account that is no longer declared.
  void Forget(const AccountId& account);

 private:
  struct Key {
    AccountId account;
    ServiceName service;
    friend bool operator==(const Key&, const Key&) = default;
  };
  struct KeyHash {
    std::size_t operator()(const Key& key) const noexcept;
  };

  RetryBudgetOptions options_;
  std::unordered_map<Key, double, KeyHash> left_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_RETRY_RETRY_BUDGET_H_
