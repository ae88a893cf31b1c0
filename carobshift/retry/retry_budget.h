// Limits the retries that a client account may cause at one service.
//
//   RetryBudget budget(options);
//   budget.OnSuccess(account, service);
//   if (!budget.TrySpend(account, service)) ...  // kRetryBudgetSpent
//
// Load pattern: half of the endpoints are gone, attempts fail, and each failed
// attempt is sent again to the other half, which is already full. Without a
// budget the load is multiplied by the number of attempts, first attempts fail
// because of it, and the overload outlasts its cause (a metastable failure).
// With the budget, retries are at most `per_success` of the successes: the
// fewer attempts succeed, the fewer retries there are.
//
// Figures: a tenth of the successes covers a fleet in which a tenth of the
// attempts fails, and bounds the load at 1.1 times the arrivals. The reserve of
// ten lets an account that has just started retry when one endpoint dies. The
// reserve isn't refilled by time, since time passes in an outage too. Budgets
// are per account, so that an account whose requests crash endpoints doesn't
// use up the retries of others.
//
// Thread-compatible. State: one number per (account, service) below its
// reserve; the declaration bounds both.

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

  // Takes one retry from the budget. Returns false if none is left.
  [[nodiscard]] bool TrySpend(const AccountId& account,
                              const ServiceName& service);

  // Retries left, for the state dump.
  [[nodiscard]] double Left(const AccountId& account,
                            const ServiceName& service) const;

  // Removes the state of an account that is no longer declared.
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
