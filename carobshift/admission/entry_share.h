// Computes this entry's share of the capacity of one service's endpoints.
//
//   EntryShare share(options, target);
//   share.SetEndpoints(ready_endpoints);
//   share.SetEntries(live_entries);
//   share.OnReport(endpoint, in_progress_reported);
//   queue.SetCapacity({.slots = share.Allowance()});
//
// Load pattern: 6 to 7 equal entries send work to the same endpoints without
// shared state. Each knows its own requests, and those of the others only from
// the endpoints' load reports, which lag. Without shares all entries see the
// same free slots at the same time and fill them several times over; with a
// fixed share of one in N, a single busy entry leaves most of the fleet idle.
//
// The allowance for an endpoint with limit L, N entries, and a report of R
// requests of which `own` were this entry's at the time:
//   R <= L:  own + (L - R) / N      (an equal part of the free slots)
//   R >  L:  own * L / R            (a proportional reduction)
//   at least L / N                  (no entry can be starved)
// All entries read the same report, so their allowances add up to L in the
// first two cases. The floor can raise the sum to at most 2 L, and only until
// the next reports, whose second case reduces it. If only one entry is busy, it
// reaches 90% of L after 2.3 N reports.
//
// Thread-compatible. State: one record per ready endpoint.

#ifndef CAROBSHIFT_ADMISSION_ENTRY_SHARE_H_
#define CAROBSHIFT_ADMISSION_ENTRY_SHARE_H_

#include <unordered_map>
#include <vector>

#include "carobshift/admission/concurrency_limit.h"
#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

// The rule above for one endpoint, in any unit: requests or prefill tokens.
[[nodiscard]] double ComputeAllowance(double limit,
                                      double reported,
                                      double own_at_report,
                                      int entries);

class EntryShare {
 public:
  EntryShare(const ConcurrencyLimitOptions& options,
             Milliseconds first_token_target);

  // Sets the endpoints that accept new work for the service. Limits of
  // endpoints that remain are kept.
  void SetEndpoints(const std::vector<EndpointId>& ready);

  // Number of live entries, including this one; at least 1.
  void SetEntries(int entries);

  void OnDispatch(const EndpointId& endpoint);
  void OnFirstToken(const EndpointId& endpoint,
                    Microseconds observed,
                    Microseconds unloaded,
                    MonotonicTime now);
  // The attempt has ended; `failed` if the endpoint caused the failure.
  void OnEnd(const EndpointId& endpoint, bool failed, MonotonicTime now);

  // `in_progress` is the endpoint's running plus queued requests.
  void OnReport(const EndpointId& endpoint, int in_progress);

  // Requests that this entry may have in progress at all ready endpoints
  // together; 0 if there are none.
  [[nodiscard]] double Allowance() const;

  // The endpoint's whole limit, and this entry's share of it; 0 if unknown.
  [[nodiscard]] double LimitOf(const EndpointId& endpoint) const;
  [[nodiscard]] double AllowanceOf(const EndpointId& endpoint) const;
  [[nodiscard]] int OwnInProgress(const EndpointId& endpoint) const;

 private:
  struct Record {
    ConcurrencyLimit limit;
    int own = 0;
    int own_at_report = 0;
    int reported = 0;
    bool ready = false;
  };

  [[nodiscard]] double AllowanceOf(const Record& record) const;

  ConcurrencyLimitOptions options_;
  Milliseconds first_token_target_;
  int entries_ = 1;
  std::unordered_map<EndpointId, Record> records_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_ADMISSION_ENTRY_SHARE_H_
