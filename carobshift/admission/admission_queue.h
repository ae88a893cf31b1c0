// Whom one service's endpoints serve next, who waits, and who is refused. One
// AdmissionQueue per service and entry; EntryShare tells it how many requests
// may be in progress.
//
//   AdmissionQueue queue(options);
//   queue.SetAccount(account, {.weight = 2, .max_in_flight = 256});
//   queue.SetCapacity({.places = share.Allowance(), .prefill = 4000});
//   AdmissionDecision decision = queue.Arrive(request, now);
//   ...                  // on each Finish, OnFirstToken, Cancel, SetCapacity
//   AdmissionStep step = queue.Pop(now); // and at NextWakeup()
//
// Load patterns, and what happens without this module:
// - A hot account (50 times its usual load): in order of arrival its backlog
//   delays every other account by as much as itself. Here accounts share by
//   weight in cost units, so an account within its share waits for at most
//   about one request of each other account that waits.
// - Long dossiers among short questions: a request counts by its cost, not as
//   one, so ten dossiers don't displace ten questions of another account.
//   Within an account a short request passes a long one, up to a bound.
// - Long prefills: endpoints prefill in order of arrival, so ten dossiers in
//   an endpoint's own queue hold up every question behind them by seconds, and
//   no order here can help. Requests are held back while the prefill in
//   progress is at its limit, as they are while all places are taken; it may be
//   passed by one request, so that no prompt is too long to start.
// - Overload: without refusals every request waits until its caller has given
//   up, and the work done for it is lost. Here a request that the measured
//   drain rate can't start in time is refused on arrival, and one whose time
//   runs out while it waits is given up at once.
// - Returning refusals: each refusal reserves a place in its account's queue of
//   returns and gets its time, scattered by a hash of the request id, so that
//   those refused in one burst don't come back as one, and an account that
//   ignores its times lengthens only its own.
//
// Priorities order the requests of one account, never those of two: an account
// that marks all its requests urgent gains nothing over the others. A request
// is ranked by arrival + class * `class_step` + size offset; the rank is fixed,
// so waiting ages it against later arrivals and none starves.
//
// Figures: `max_wait` is how long a request waits in the queue at most, about
// three times the 590 ms target, and four times as long for low priority. Two
// class steps plus the largest size offset are 1.5 s, so a low-priority request
// is passed only by what arrives up to then, well within its 8 s. `max_queued`
// bounds the memory at about 3 MB.
//
// Fair queueing is self-clocked by start tags: an account that becomes active
// starts at the tag of the last request started, the account with the least
// finish tag is next. O(log n) in waiting accounts and requests. State: the
// declared accounts, and the requests that wait or run.
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

// Removes one mechanism, so that tests can show that they notice. For tests
// only.
enum class AdmissionMutation {
  kNone,
  kNoFairness,  // One queue for all accounts.
  kNoAging,     // A lower class waits for the higher ones for ever.
  kLostWakeup,  // A cancelled run doesn't give its place back.
};

struct AdmissionOptions {
  // By priority class.
  std::array<Milliseconds, kPriorityClasses> max_wait = {
      Milliseconds(2000), Milliseconds(2000), Milliseconds(8000)};
  Milliseconds class_step{500};
  // Added to the rank per 1,000 cost units, up to `max_size_offset`.
  Microseconds size_offset_per_kilounit{50000};
  Milliseconds max_size_offset{500};
  // Of the prefill limit, for long requests together; at least one runs.
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
  // Waiting and running requests together.
  int max_in_flight = 256;
  friend bool operator==(const AccountShare&, const AccountShare&) = default;
};

// What may be in progress at once, from EntryShare.
struct AdmissionCapacity {
  double places = 0;
  // Prefill tokens of requests that have no first token yet.
  double prefill = 1e18;
  // What one request counts at most: it holds up one endpoint, however long
  // its prompt is. A request with more prefill is a long one.
  double prefill_per_request = 1e18;
};

struct AdmissionRequest {
  RequestId id;
  AccountId account;
  PriorityClass priority = PriorityClass::kNormal;
  CostUnits cost = 1;
  // The part of it that is prefill.
  Tokens prefill = 0;
  // By when the caller wants the first token, if it said so. It can shorten
  // the longest wait, not prolong it.
  std::optional<MonotonicTime> first_token_deadline;
  // From start to first token on an unloaded endpoint.
  Microseconds unloaded_first_token{0};
};

enum class AdmissionVerdict { kAdmitted, kQueued, kRefused };

struct AdmissionDecision {
  AdmissionVerdict verdict = AdmissionVerdict::kAdmitted;
  // When refused: kOverloaded, kDeadlineUnreachable or kAccountLimit. The
  // request has not run and will not.
  ResultCode code = ResultCode::kOk;
  Milliseconds retry_after{0};
  // The grounds, for `explain`: cost to be served first, and how long that
  // takes at the measured rate.
  CostUnits cost_ahead = 0;
  Microseconds expected_wait{0};
};

struct ExpiredRequest {
  RequestId id;
  ResultCode code = ResultCode::kOverloaded;
  Milliseconds retry_after{0};
};

// What to do after a change: start `admitted` in this order, answer `expired`
// at once (they have not run).
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

  // Adds the account or changes its share. An account never set has weight 1.
  void SetAccount(const AccountId& account, const AccountShare& share);

  // Call Pop afterwards.
  void SetCapacity(const AdmissionCapacity& capacity);

  // Decides about a new request; ids are unique among those not finished.
  [[nodiscard]] AdmissionDecision Arrive(const AdmissionRequest& request,
                                         MonotonicTime now);

  // Starts what fits and gives up what can't be started in time any more.
  [[nodiscard]] AdmissionStep Pop(MonotonicTime now);

  // The run's prefill is over. Unknown ids are ignored. Call Pop afterwards.
  void OnFirstToken(const RequestId& id);

  // The run has ended. `actual_cost` corrects the account's share where the
  // estimate was wrong. Unknown ids are ignored. Call Pop afterwards.
  void Finish(const RequestId& id, CostUnits actual_cost);

  // The caller is gone; the request waits or runs. False if unknown. Call Pop
  // afterwards.
  bool Cancel(const RequestId& id);

  // When Pop must be called even if nothing else happens: the first expiry.
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
  struct Item;
  struct ByRank {
    bool operator()(const Item* a, const Item* b) const;
  };
  struct ByExpiry {
    bool operator()(const Item* a, const Item* b) const;
  };
  // An account in the order of its next request, or of its next short one.
  struct Turn {
    double finish_tag = 0;
    // Decides between equal tags, so that no address does.
    std::uint64_t account_number = 0;
    Account* account = nullptr;
    friend auto operator<=>(const Turn&, const Turn&) = default;
  };

  Account& FindOrAddAccount(const AccountId& id);
  [[nodiscard]] bool HasFreePlace() const;
  [[nodiscard]] bool IsLong(const AdmissionRequest& request) const;
  [[nodiscard]] CostUnits CostAhead(const Account& lane,
                                    const AdmissionRequest& request) const;
  // At the rate of the long requests or of all.
  [[nodiscard]] Microseconds TimeFor(CostUnits cost, bool is_long) const;
  void ObserveBacklog(MonotonicTime now);
  [[nodiscard]] AdmissionDecision Refuse(ResultCode code,
                                         Account* lane,
                                         const AdmissionRequest& request,
                                         AdmissionDecision decision,
                                         MonotonicTime now);
  [[nodiscard]] Milliseconds RetryAfter(Account* lane,
                                        const RequestId& id,
                                        CostUnits cost,
                                        bool is_long,
                                        Microseconds expected_wait,
                                        MonotonicTime now) const;
  // All weights that compete with the lane, its own included.
  [[nodiscard]] double WeightsBeside(const Account& lane) const;
  [[nodiscard]] MonotonicTime RankOf(const AdmissionRequest& request,
                                     MonotonicTime now) const;
  void Enqueue(Item* item);
  void Dequeue(Item* item);
  void Rekey(Account* lane);
  void Unkey(Account* lane);
  void BeginRun(Item* item);
  void EndPrefill(Item* item);
  [[nodiscard]] bool LongMayStart() const;
  // The next to start, or null if none may.
  Item* TakeNext();
  void GiveUpExpired(MonotonicTime now, AdmissionStep* step);
  void Forget(const RequestId& id);

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
  // Start tag of the last request started, and the largest tag given.
  double virtual_time_ = 0;
  double largest_tag_ = 0;
  // All starts while short requests wait, and long ones while long ones do.
  // A long request that waits beside its turn says nothing about the others.
  DrainRate drain_;
  DrainRate long_drain_;
  std::unordered_map<AccountId, std::unique_ptr<Account>> accounts_;
  std::unique_ptr<Account> common_lane_;
  std::unordered_map<RequestId, std::unique_ptr<Item>> items_;
  // Accounts with requests that wait, and those with short ones among them.
  std::set<Turn> active_;
  std::set<Turn> active_short_;
  std::set<Item*, ByExpiry> expiry_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_ADMISSION_ADMISSION_QUEUE_H_
