// Admission, routing and retry state of all services, shared by the worker
// threads.
//
//   AdmitAnswer answer =
//       load.Admit(service, account, request, caller_disconnected);
//   if (!answer.admitted) ...  // refused or cancelled
//   std::optional<Attempt> attempt = load.BeginAttempt(...);
//   load.OnFirstToken(...); load.EndAttempt(...);
//   load.Finish(service, id, answer, completion_tokens, now);
//
// A request that must wait blocks its worker thread on its own condition
// variable. A thread that frees capacity wakes exactly the requests that are
// admitted. Waiting threads also check for expired requests and whether their
// caller is still connected.
//
// Thread-safe. The one mutex is a leaf lock: no other lock is taken and no I/O
// is done while it is held.

#ifndef CAROBSHIFT_SERVER_TABLES_LOAD_TABLE_H_
#define CAROBSHIFT_SERVER_TABLES_LOAD_TABLE_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "carobshift/retry/crash_suspects.h"
#include "carobshift/retry/retry_budget.h"
#include "carobshift/server/tables/service_load.h"
#include "carobshift/telemetry/state_source.h"

namespace carobshift {

struct AdmitRequest {
  RequestId id;
  AccountId account;
  PriorityClass priority = PriorityClass::kNormal;
  Tokens prompt_tokens = 0;
  Tokens cached_tokens = 0;
  Tokens max_tokens = 1;
  MonotonicTime deadline;
};

struct AdmitAnswer {
  bool admitted = false;
  // Set if the request is not admitted; kCancelled if the caller has
  // disconnected.
  ResultCode code = ResultCode::kOk;
  Milliseconds retry_after{0};
  // Reported by `explain`.
  Microseconds expected_wait{0};
  Microseconds waited{0};
  CostUnits cost = 0;
  CostUnits cost_ahead = 0;
};

// How an attempt ended, from the point of view of its endpoint.
enum class AttemptEnd {
  kCompleted,
  // Abandoned because of the caller, or refused by the endpoint without running
  // it.
  kNoFault,
  // The endpoint was unreachable or made no progress.
  kEndpointFault,
  // The connection broke during the attempt.
  kBroken
};

class LoadTable : public StateSource {
 public:
  // `max_waiting` bounds the threads that wait for one service. Waiting
  // requests must leave some threads free, otherwise a refusal would itself
  // wait for a thread.
  explicit LoadTable(std::size_t max_waiting);
  ~LoadTable() override;

  // Updates the service's endpoints from `candidates` and admits waiting
  // requests that fit now.
  void Refresh(const ServiceSpec& service,
               const std::vector<EndpointInfo>& candidates,
               int live_entries,
               MonotonicTime now);

  // Blocks until the request is admitted, refused or cancelled.
  AdmitAnswer Admit(const ServiceSpec& service,
                    const AccountSpec& account,
                    const AdmitRequest& request,
                    const std::function<bool()>& caller_disconnected);

  // Call when an admitted request has ended. Releases its capacity to waiting
  // requests. `completion_tokens` is the answer's length; `admitted.cost` is
  // the cost that Admit estimated.
  void Finish(const ServiceSpec& service,
              const RequestId& id,
              const AdmitAnswer& admitted,
              const std::optional<Tokens>& completion_tokens,
              MonotonicTime now);

  std::optional<Attempt> BeginAttempt(
      const ServiceSpec& service,
      const RouteQuery& query,
      ContentFingerprint fingerprint,
      const std::vector<EndpointInfo>& candidates,
      MonotonicTime now);
  void OnFirstToken(const ServiceSpec& service,
                    const RequestId& id,
                    Attempt* attempt,
                    MonotonicTime now);
  void EndAttempt(const ServiceSpec& service,
                  const Attempt& attempt,
                  ContentFingerprint fingerprint,
                  AttemptEnd end,
                  MonotonicTime now);

  [[nodiscard]] SuspectVerdict Judge(ContentFingerprint fingerprint,
                                     MonotonicTime now) const;
  [[nodiscard]] Milliseconds RefusedFor(ContentFingerprint fingerprint,
                                        MonotonicTime now) const;
  // Exchanged by gossip; see CrashSuspects.
  [[nodiscard]] std::vector<SuspectRecord> ExportSuspects(
      MonotonicTime now) const;
  void MergeSuspects(const std::vector<SuspectRecord>& records,
                     MonotonicTime now);

  [[nodiscard]] bool TrySpendRetry(const AccountId& account,
                                   const ServiceName& service);
  void OnSuccess(const AccountId& account, const ServiceName& service);

  [[nodiscard]] nlohmann::json DumpState() const override;

 private:
  struct Waiter {
    std::condition_variable wake;
    bool done = false;
    AdmitAnswer answer;
  };

  ServiceLoad& LoadOf(const ServiceSpec& service);
  // Admits and expires waiting requests as the queue decides, and wakes their
  // threads.
  void ProcessQueue(ServiceLoad& load, MonotonicTime now);

  const std::size_t max_waiting_;
  mutable std::mutex mutex_;
  std::map<ServiceName, std::unique_ptr<ServiceLoad>> services_;
  std::unordered_map<RequestId, Waiter*> waiters_;
  RetryBudget budget_{RetryBudgetOptions{}};
  CrashSuspects suspects_{CrashSuspectOptions{}};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TABLES_LOAD_TABLE_H_
