// What both dispatchers do around their attempts: refresh the load table,
// admit, decide about a retry, and put it all into the request's journal.
//
//   std::optional<CallerError> refused = control.Admit(job..., &admitted);
//   std::optional<CallerError> final = control.DecideRetry(...);

#ifndef CAROBSHIFT_SERVER_DISPATCH_LOAD_CONTROL_H_
#define CAROBSHIFT_SERVER_DISPATCH_LOAD_CONTROL_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carobshift/retry/retry_policy.h"
#include "carobshift/server/entry_context.h"
#include "carobshift/server/http/caller_error.h"

namespace carobshift {

// How an attempt failed, in the words of the retry policy.
struct FailedAttempt {
  AttemptFailure failure;
  std::string message;
};

// Thread-safe.
class LoadControl {
 public:
  explicit LoadControl(EntryContext& context) : context_(context) {}

  // Endpoints of the service that take work, after telling the load table.
  [[nodiscard]] std::vector<EndpointInfo> RefreshCandidates(
      const ServiceSpec& service) const;

  // Blocks until the request may start; else the answer for its caller.
  // Nothing of a refused request has run.
  [[nodiscard]] std::optional<CallerError> Admit(
      const ServiceSpec& service,
      const AccountSpec& account,
      const AdmitRequest& request,
      const std::function<bool()>& caller_gone,
      AdmitAnswer* answer) const;

  // Chooses the endpoint and notes why.
  [[nodiscard]] std::optional<Attempt> BeginAttempt(
      const ServiceSpec& service,
      const RouteQuery& query,
      ContentFingerprint fingerprint,
      const std::vector<EndpointInfo>& candidates) const;

  // After a failed attempt: waits out the backoff and returns nothing if
  // another may be made, else the final answer.
  [[nodiscard]] std::optional<CallerError> DecideRetry(
      const ServiceSpec& service,
      const AccountId& account,
      const RetryRequest& request,
      const FailedAttempt& failed) const;

 private:
  EntryContext& context_;
};

// The account as the configuration declares it.
[[nodiscard]] const AccountSpec& AccountOf(const ActiveConfig& config,
                                           const AccountId& account);

// What an attempt's error says about its endpoint.
[[nodiscard]] AttemptEnd AttemptEndOf(ResultCode code);

// Those not in `tried`, or all if that leaves none.
[[nodiscard]] std::vector<EndpointInfo> WithoutTried(
    std::vector<EndpointInfo> candidates,
    const std::set<EndpointId>& tried);

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_DISPATCH_LOAD_CONTROL_H_
