// Decides which requests of a service start next, which wait, and which are
// refused. There is one AdmissionQueue per service and entry; EntryShare tells
// it how many requests may be in progress.
//
//   AdmissionQueue queue(options);
//   queue.SetAccount(account, {.weight = 2, .max_in_flight = 256});
//   queue.SetCapacity({.slots = share.Allowance(), .prefill = 4000});
//   AdmissionDecision decision = queue.Submit(request, now);
//   ...                  // on each Finish, OnFirstToken, Cancel, SetCapacity
//   AdmissionStep step = queue.Pop(now); // and at NextWakeup()
//
// Load patterns, and what happens without this module:
// - A hot account (50 times its usual load): in order of arrival, its backlog
//   delays every other account as much as itself. Here accounts share by weight
//   in cost units, so an account within its share waits for at most about one
//   request of each other waiting account.
// - Long dossiers among short questions: a request counts by its cost, so ten
//   dossiers don't displace ten questions of another account. Within an account
//   a short request passes a long one, up to a bound.
// - Long prefills: endpoints prefill in order of arrival, so ten dossiers in an
//   endpoint's own queue delay every question behind them by seconds, whatever
//   the order here. Requests are therefore held back while the prefill in
//   progress is at its limit, or while all slots are taken. One request may
//   exceed the limit, so that no prompt is too long to start.
// - Overload: without refusals every request waits until its caller has given
//   up, and the work done for it is wasted. A request that can't start in time
//   at the measured drain rate is refused on arrival, and one whose time runs
//   out while it waits is refused at once.
// - Retries after refusals: each refusal reserves capacity for the retry in its
//   account's schedule and returns the time of the retry, with jitter from a
//   hash of the request id. Requests refused in one burst are not retried in
//   one burst, and an account that ignores its times only delays its own.
//
// Priorities order the requests within an account, never between accounts: an
// account that marks all its requests urgent gains nothing over the others. A
// request's rank is arrival + class * `class_step` + size offset. The rank is
// fixed, so waiting ages a request relative to later arrivals and none starves.
//
// Figures: `max_wait` is the longest time in the queue, about three times the
// 590 ms target, and four times as long for low priority. Two class steps plus
// the largest size offset are 1.5 s, so a low-priority request is passed only
// by arrivals of its first 1.5 s, well within its 8 s. `max_queued` bounds the
// memory at about 3 MB.
//
// Weighted fair queueing, self-clocked by start tags: the virtual time is the
// start tag of the last request started. An account that becomes active starts
// at the virtual time, and the account with the smallest finish tag is next.
// O(log n) in waiting accounts and requests. State: the declared accounts and
// the requests that wait or run.
//
// Thread-compatible.

#ifndef CAROBSHIFT_ADMISSION_ADMISSION_QUEUE_H_
#define CAROBSHIFT_ADMISSION_ADMISSION_QUEUE_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "carobshift/admission/drain_rate.h"
#include "carobshift/admission/priority.h"
#include "carobshift/admission/request_cost.h"
#include "carobshift/base/ids.h"
#include "carobshift/base/result_code.h"
#include "carobshift/base/units.h"

namespace carobshift {

// Disables one mechanism, so that tests can show that they detect its absence.
// For tests only.
enum class AdmissionMutation {
  kNone,
  kNoFairness,  // One queue for all accounts.
  kNoAging,     // A lower class may starve behind higher ones.
  kLostWakeup,  // A cancelled run doesn't free its slot.
};

struct AdmissionOptions {
  // Indexed by priority class.
  std::array<Milliseconds, kPriorityClasses> max_wait = {
      Milliseconds(2000), Milliseconds(2000), Milliseconds(8000)};
  Milliseconds class_step{500};
  // Added to the rank per 1,000 cost units, up to `max_size_offset`.
  Microseconds size_offset_per_kilounit{50000};
  Milliseconds max_size_offset{500};
  // Share of the prefill limit for all long requests together; at least one
  // long request may run.
  double long_share = 0.5;
  std::size_t max_queued = 8192;
  Milliseconds min_retry_after{500};
  Milliseconds max_retry_after{30000};
  // False only for the baselines of the load driver.
  bool fair = true;
  bool refuse = true;
  AdmissionMutation mutation = AdmissionMutation::kNone;
};

struct AccountShare {
  double weight = 1;
  // Maximum number of waiting and running requests together.
  int max_in_flight = 256;
  friend bool operator==(const AccountShare&, const AccountShare&) = default;
};

// What may be in progress at once, from EntryShare.
struct AdmissionCapacity {
  double slots = 0;
  // Prefill tokens of requests that have no first token yet.
  double prefill = 1e18;
  // Maximum number of prefill tokens counted for one request: it occupies one
  // endpoint, however long its prompt is. A request with more prefill is long.
  double prefill_per_request = 1e18;
};

struct AdmissionRequest {
  RequestId id;
  AccountId account;
  PriorityClass priority = PriorityClass::kNormal;
  CostUnits cost = 1;
  // The part of `cost` that is prefill.
  Tokens prefill = 0;
  // When the caller needs the first token, if given. It can shorten the maximum
  // wait but not extend it.
  std::optional<MonotonicTime> first_token_deadline;
  // Time from start to first token on an unloaded endpoint.
  Microseconds unloaded_first_token{0};
};

enum class AdmissionVerdict { kAdmitted, kQueued, kRefused };

struct AdmissionDecision {
  AdmissionVerdict verdict = AdmissionVerdict::kAdmitted;
  // If refused: kOverloaded, kDeadlineUnreachable or kAccountLimit. The request
  // has not run and will not run.
  ResultCode code = ResultCode::kOk;
  Milliseconds retry_after{0};
  // The basis of the decision, for `explain`: the cost served before this
  // request, and the time for it at the measured drain rate.
  CostUnits cost_ahead = 0;
  Microseconds expected_wait{0};
};

struct ExpiredRequest {
  RequestId id;
  ResultCode code = ResultCode::kOverloaded;
  Milliseconds retry_after{0};
};

// The result of Pop: start `admitted` in this order, and answer `expired` at
// once (they have not run).
struct AdmissionStep {
  std::vector<RequestId> admitted;
  std::vector<ExpiredRequest> expired;
};

class AdmissionQueue {
 public:
  explicit AdmissionQueue(const AdmissionOptions& options);
  ~AdmissionQueue();
  AdmissionQueue(const AdmissionQueue&) = delete;
  AdmissionQueue& operator=(const AdmissionQueue&) = delete;

  // Adds the account or changes its share. An account that was never set has
  // weight 1.
  void SetAccount(const AccountId& account, const AccountShare& share);

  // Call Pop afterwards.
  void SetCapacity(const AdmissionCapacity& capacity);

  // Decides on a new request. Ids must be unique among unfinished requests.
  [[nodiscard]] AdmissionDecision Submit(const AdmissionRequest& request,
                                         MonotonicTime now);

  // Starts the requests that fit and removes those that can't start in time any
  // more.
  [[nodiscard]] AdmissionStep Pop(MonotonicTime now);

  // The prefill of the run has ended. Unknown ids are ignored. Call Pop
  // afterwards.
  void OnFirstToken(const RequestId& id);

  // The run has ended. `actual_cost` corrects the account's share if the
  // estimate was wrong. Unknown ids are ignored. Call Pop afterwards.
  void Finish(const RequestId& id, CostUnits actual_cost);

  // The caller has disconnected while the request waits or runs. Returns false
  // if the id is unknown. Call Pop afterwards.
  bool Cancel(const RequestId& id);

  // When Pop must be called even without another event: the first expiry.
  [[nodiscard]] std::optional<MonotonicTime> NextWakeup() const;

  // For metrics and the state dump.
  [[nodiscard]] int running() const { return running_; }
  [[nodiscard]] std::size_t queued() const { return expiry_.size(); }
  [[nodiscard]] CostUnits queued_cost() const { return queued_cost_; }
  [[nodiscard]] const AdmissionCapacity& capacity() const { return capacity_; }
  [[nodiscard]] double drain_rate() const { return drain_.rate(); }
  [[nodiscard]] int InFlight(const AccountId& account) const;

 private:
  struct Account;
  struct RequestRecord;
  struct ByRank {
    bool operator()(const RequestRecord* a, const RequestRecord* b) const;
  };
  struct ByExpiry {
    bool operator()(const RequestRecord* a, const RequestRecord* b) const;
  };
  // Orders accounts by the finish tag of their next request, or of their next
  // short request.
  struct ScheduleKey {
    double finish_tag = 0;
    // Breaks ties between equal tags; addresses would make the order
    // nondeterministic.
    std::uint64_t account_number = 0;
    Account* account = nullptr;
    friend auto operator<=>(const ScheduleKey&, const ScheduleKey&) = default;
  };

  Account& FindOrAddAccount(const AccountId& id);
  [[nodiscard]] bool HasFreeSlot() const;
  [[nodiscard]] bool IsLong(const AdmissionRequest& request) const;
  [[nodiscard]] CostUnits CostAhead(const Account& flow,
                                    const AdmissionRequest& request) const;
  // Time to serve `cost`, at the drain rate of long requests or of all.
  [[nodiscard]] Microseconds TimeFor(CostUnits cost, bool is_long) const;
  void ObserveBacklog(MonotonicTime now);
  [[nodiscard]] AdmissionDecision Refuse(ResultCode code,
                                         Account* flow,
                                         const AdmissionRequest& request,
                                         AdmissionDecision decision,
                                         MonotonicTime now);
  [[nodiscard]] Milliseconds RetryAfter(Account* flow,
                                        const RequestId& id,
                                        CostUnits cost,
                                        bool is_long,
                                        Microseconds expected_wait,
                                        MonotonicTime now) const;
  // Sum of the weights that compete with the flow, including its own.
  [[nodiscard]] double CompetingWeight(const Account& flow) const;
  [[nodiscard]] MonotonicTime RankOf(const AdmissionRequest& request,
                                     MonotonicTime now) const;
  void Enqueue(RequestRecord* item);
  void Dequeue(RequestRecord* item);
  void UpdateSchedule(Account* flow);
  void RemoveFromSchedule(Account* flow);
  void StartRun(RequestRecord* item);
  void EndPrefill(RequestRecord* item);
  [[nodiscard]] bool LongMayStart() const;
  // Removes the next request to start from the queue, or returns null if none
  // may start.
  RequestRecord* TakeNext();
  void ExpireQueued(MonotonicTime now, AdmissionStep* step);
  void EraseRequest(const RequestId& id);

  AdmissionOptions options_;
  AdmissionCapacity capacity_;
  int running_ = 0;
  double running_prefill_ = 0;
  double running_long_ = 0;
  std::uint64_t next_sequence_ = 0;
  CostUnits queued_cost_ = 0;
  CostUnits queued_long_cost_ = 0;
  std::size_t queued_long_ = 0;
  double active_weight_ = 0;
  // Start tag of the last request started, and the largest finish tag assigned.
  double virtual_time_ = 0;
  double largest_tag_ = 0;
  // Drain rates: all starts while short requests wait, and starts of long
  // requests while long ones wait. Long requests that wait for the long share
  // say nothing about the rate of the others.
  DrainRate drain_;
  DrainRate long_drain_;
  std::unordered_map<AccountId, std::unique_ptr<Account>> accounts_;
  std::unique_ptr<Account> common_flow_;
  std::unordered_map<RequestId, std::unique_ptr<RequestRecord>> items_;
  // Accounts with waiting requests, and those with waiting short requests.
  std::set<ScheduleKey> active_;
  std::set<ScheduleKey> active_short_;
  std::set<RequestRecord*, ByExpiry> expiry_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_ADMISSION_ADMISSION_QUEUE_H_
