// Simulates one entry in virtual time: runs carobshiftd's admission, routing
// and retry modules with events in place of worker threads.
//
//   SimulatedEntry entry(world, index, variant);
//   entry.Submit(submission);
//   entry.Cancel(id);

#ifndef BENCHMARKS_SIM_SIMULATED_ENTRY_H_
#define BENCHMARKS_SIM_SIMULATED_ENTRY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "benchmarks/sim/fake_engine.h"
#include "benchmarks/sim/variant.h"
#include "benchmarks/sim/workload.h"

namespace carobshift {

// The link to the store, shared by all engines. Transfers run one after
// another.
struct Link {
  double bytes_per_second = 2e9;
  MonotonicTime free_at{};
  double bytes_moved = 0;

  [[nodiscard]] Microseconds TimeFor(Bytes bytes, MonotonicTime now) const;
  // Starts a transfer and returns the time at which it ends.
  MonotonicTime Transfer(Bytes bytes, MonotonicTime now);
};

// The state that all entries of one run share.
struct World {
  EventLoop loop;
  const Deployment* deployment = nullptr;
  std::vector<std::unique_ptr<FakeEngine>> engines;
  Link link;
  // Prefixes in the store. A prefix is exported when its first request ends.
  std::set<std::uint64_t> stored;
  std::vector<std::unique_ptr<class SimulatedEntry>> entries;
};

// One send of a logical request to one entry.
struct Submission {
  std::string id;
  const LogicalRequest* logical_request = nullptr;
  MonotonicTime deadline{};
  std::function<void()> on_first_token;
  std::function<void(ResultCode, Milliseconds retry_after)> on_end;
};

struct EntryCounters {
  std::uint64_t attempts = 0;
  std::uint64_t refusals = 0;
  std::uint64_t judged_refusals = 0;
  std::uint64_t justified_refusals = 0;
  double prompt_tokens = 0;
  double recomputed_tokens = 0;
};

class SimulatedEntry {
 public:
  SimulatedEntry(World& world, std::size_t index, const Variant& variant);

  void Submit(Submission submission);
  // The caller closed the connection.
  void Cancel(const std::string& id);
  // Returns the counters. A refusal counts as justified if the work ahead of
  // the request was in fact not served by its latest start time. Call at the
  // end of the run.
  [[nodiscard]] EntryCounters Counters() const;

  // Crash suspects that are exchanged with other entries.
  [[nodiscard]] std::vector<SuspectRecord> ExportSuspects() const;
  void MergeSuspects(const std::vector<SuspectRecord>& records);

 private:
  struct Request {
    Submission submission;
    ContentFingerprint fingerprint;
    CostUnits cost = 0;
    bool is_long = false;
    int attempts = 0;
    Attempt attempt;
    FakeEngine* engine = nullptr;
    std::uint64_t engine_number = 0;
    bool admitted = false;
    bool got_first_token = false;
    std::set<EndpointId> tried;
  };
  struct Refusal {
    MonotonicTime time;
    bool is_long = false;
    CostUnits served_before = 0;
    CostUnits cost_ahead = 0;
    MonotonicTime latest_start;
  };

  void Poll();
  void AdmitQueued();
  void Start(const std::string& id);
  void StartAttempt(const std::string& id);
  void Dispatch(Request& request, std::string id);
  void WatchProgress(const std::string& id,
                     std::uint64_t engine_number,
                     Microseconds first_wait);
  void OnFirstToken(const std::string& id, Tokens cached);
  void OnAttemptEnd(const std::string& id, ResultCode code);
  void EndAttempt(Request& request, ResultCode code);
  void Finish(const std::string& id, ResultCode code, Milliseconds retry_after);
  [[nodiscard]] RouteQuery QueryOf(const Request& request, bool alone) const;
  [[nodiscard]] FakeEngine& EngineOf(const EndpointId& id) const;

  World& world_;
  ServiceSpec service_;
  int entries_;
  ServiceLoad load_;
  RetryPolicy policy_;
  RetryBudget budget_;
  CrashSuspects suspects_;
  std::vector<EndpointInfo> candidates_;
  std::map<std::string, Request> requests_;
  std::optional<MonotonicTime> wakeup_;
  EntryCounters counters_;
  std::vector<Refusal> refusals_;
  // Cumulative cost of started requests over time, of all and of long ones;
  // used to judge refusals.
  struct Served {
    MonotonicTime time;
    CostUnits all = 0;
    CostUnits of_long = 0;
  };
  Served served_;
  std::vector<Served> served_history_;
};

[[nodiscard]] AccountId AccountName(int account);

}  // namespace carobshift

#endif  // BENCHMARKS_SIM_SIMULATED_ENTRY_H_
