// Steps that both dispatchers share around their attempts: refreshing the load
// table, admission, endpoint choice and the retry decision. Each decision is
// recorded in the request journal.
//
//   std::optional<CallerError> refused = control.Admit(job..., &admitted);
//   std::optional<CallerError> final = control.DecideRetry(...);

#ifndef CAROBSHIFT_SERVER_DISPATCH_ATTEMPT_CONTROL_H_
#define CAROBSHIFT_SERVER_DISPATCH_ATTEMPT_CONTROL_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carobshift/retry/retry_policy.h"
#include "carobshift/server/entry_context.h"
#include "carobshift/server/http/caller_error.h"

namespace carobshift {

// A failed attempt, as input to the retry policy.
struct FailedAttempt {
  AttemptFailure failure;
  std::string message;
};

// Thread-safe.
class AttemptControl {
 public:
  explicit AttemptControl(EntryContext& context) : context_(context) {}

  // Updates the load table and returns the endpoints of the service that accept
  // new work.
  [[nodiscard]] std::vector<EndpointInfo> RefreshCandidates(
      const ServiceSpec& service) const;

  // Blocks until the request may start. Otherwise returns the error for the
  // caller; no part of a refused request has run.
  [[nodiscard]] std::optional<CallerError> Admit(
      const ServiceSpec& service,
      const AccountSpec& account,
      const AdmitRequest& request,
      const std::function<bool()>& caller_disconnected,
      AdmitAnswer* answer) const;

  // Chooses an endpoint and records the reason in the journal.
  [[nodiscard]] std::optional<Attempt> BeginAttempt(
      const ServiceSpec& service,
      const RouteQuery& query,
      ContentFingerprint fingerprint,
      const std::vector<EndpointInfo>& candidates) const;

  // Call after a failed attempt. Waits for the backoff and returns nothing if
  // another attempt may be made, else returns the final error.
  [[nodiscard]] std::optional<CallerError> DecideRetry(
      const ServiceSpec& service,
      const AccountId& account,
      const RetryRequest& request,
      const FailedAttempt& failed) const;

 private:
  EntryContext& context_;
};

// The declared client account, or an empty default if it is not declared.
[[nodiscard]] const AccountSpec& AccountOf(const ActiveConfig& config,
                                           const AccountId& account);

// Classifies an attempt's error by what it implies for the endpoint.
[[nodiscard]] AttemptEnd AttemptEndOf(ResultCode code);

// The candidates that are not in `tried`, or all of them if none is left.
[[nodiscard]] std::vector<EndpointInfo> WithoutTried(
    std::vector<EndpointInfo> candidates,
    const std::set<EndpointId>& tried);

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_DISPATCH_ATTEMPT_CONTROL_H_
