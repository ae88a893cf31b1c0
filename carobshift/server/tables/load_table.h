// Admission, routing and retry of all services, shared by the worker threads.
//
//   AdmitAnswer answer = load.Admit(request, spec, account, caller_gone);
//   if (!answer.admitted) ...                    // refused or given up
//   std::optional<Attempt> attempt = load.BeginAttempt(...);
//   load.OnFirstToken(...); load.EndAttempt(...);
//   load.Finish(service, id, completion_tokens);
//
// A request that must wait blocks its worker thread on a condition variable
// of its own; whoever frees a place wakes exactly those that got one. Threads
// that wait also watch the time: the first expiry and whether the caller is
// still there.
//
// Thread-safe: one mutex, the innermost one. No other lock is taken and no I/O
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
  // If not admitted; kCancelled if the caller has gone.
  ResultCode code = ResultCode::kOk;
  Milliseconds retry_after{0};
  // For `explain`.
  Microseconds expected_wait{0};
  Microseconds waited{0};
  CostUnits cost = 0;
  CostUnits cost_ahead = 0;
};

// How an attempt ended, as far as its endpoint is concerned.
enum class AttemptEnd {
  kCompleted,
  // Given up for the caller's sake, or not run by the endpoint's own word.
  kNoFault,
  // Unreachable, or no progress.
  kEndpointFault,
  // The connection broke in the middle.
  kBroken
};

class LoadTable : public StateSource {
 public:
  // `max_waiting` bounds the threads that wait for one service. Waiting
  // requests must leave threads free, or a refusal would itself have to wait.
  explicit LoadTable(std::size_t max_waiting);
  ~LoadTable() override;

  // Takes over what is known of the service's endpoints, and starts waiting
  // requests that fit now.
  void Refresh(const ServiceSpec& service,
               const std::vector<EndpointInfo>& candidates,
               int live_entries,
               MonotonicTime now);

  // Blocks until the request may start or is given up.
  AdmitAnswer Admit(const ServiceSpec& service,
                    const AccountSpec& account,
                    const AdmitRequest& request,
                    const std::function<bool()>& caller_gone);

  // The request has ended; gives its place to the next. `completion_tokens` is
  // what the answer had, `cost` what Admit had estimated.
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
  // For gossip; see CrashSuspects.
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
  // Starts and gives up what the queue says, and wakes those concerned.
  void Pump(ServiceLoad& load, MonotonicTime now);

  const std::size_t max_waiting_;
  mutable std::mutex mutex_;
  std::map<ServiceName, std::unique_ptr<ServiceLoad>> services_;
  std::unordered_map<RequestId, Waiter*> waiters_;
  RetryBudget budget_{RetryBudgetOptions{}};
  CrashSuspects suspects_{CrashSuspectOptions{}};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TABLES_LOAD_TABLE_H_
