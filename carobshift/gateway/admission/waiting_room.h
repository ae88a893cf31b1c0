// Decides in which order requests wait for capacity at the endpoints of one
// service, and which of them are refused.
//
//   WaitingRoom room(options, usage_of);
//   if (room.MustQueue(request, now) || !Place(request)) {
//     const WaitDecision decision = room.Enter(request, now);
//     if (decision.refusal != WaitRefusal::kNone)
//       Refuse(request, decision.retry_after);
//   }
//   while (const std::optional<RequestId> id = room.Next(now)) {
//     if (Place(*id))
//       room.OnStarted(*id, now);
//     else
//       room.OnNoRoom(*id, now);
//   }
//   for (const ExpiredWait& expired : room.Expire(now))
//     Refuse(expired.id, expired.retry_after);
//
// Load pattern: a burst of one kind exceeds the memory of the engines for some
// seconds. A request that misses its latency target at the best endpoint could
// still be answered long before its deadline. If it is refused instead, its
// caller retries into the same burst and is refused again.
//
// Requests that can still be answered in time come first: in order of arrival
// alone, every request of a long queue would be answered late. They are ordered
// by urgency, retries before others, then by the recent usage of the account,
// then by arrival. Late requests follow in order of their latest start and get
// every fourth start, so that a lasting overload doesn't let all of them
// expire. Late requests with more than kPressingShare of their time behind them
// come first among the late ones.
//
// A request without room is held back for `retry_pause`, together with every
// request that is neither more urgent nor cheaper, because it would find no
// room either. All others are still tried.
//
// Decisions are linear scans. They take a few microseconds at the default
// limits and need no index that changes with the time and with the usage of
// accounts.
//
// Thread-compatible. Holds one entry for each waiting request.

#ifndef CAROBSHIFT_GATEWAY_ADMISSION_WAITING_ROOM_H_
#define CAROBSHIFT_GATEWAY_ADMISSION_WAITING_ROOM_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "carobshift/admission/drain_rate.h"
#include "carobshift/base/ids.h"
#include "carobshift/base/result.h"
#include "carobshift/base/units.h"

namespace carobshift {

struct WaitingRequest {
  RequestId id;
  // Empty without an account.
  AccountId account;
  // The route's name.
  std::string kind;
  // 0 is the most urgent.
  int urgency = 0;
  // Engine memory, in tokens.
  double cost = 0;
  // Memory of this instance that the request uses while it waits.
  std::size_t bytes = 0;
  // Arrival of this attempt at this instance.
  MonotonicTime arrived{};
  // Latest start for an answer in time.
  MonotonicTime target{};
  // Latest start for any answer.
  MonotonicTime last_start{};
  // A retry at the time given in Retry-After. RequestService doesn't set it
  // yet.
  bool returning = false;
};

enum class WaitRefusal { kNone, kFull, kNoTime };

struct WaitDecision {
  WaitRefusal refusal = WaitRefusal::kNone;
  Milliseconds expected_wait{0};
  // Set if refused.
  Milliseconds retry_after{0};
};

struct ExpiredWait {
  RequestId id;
  Milliseconds retry_after{0};
};

// The waiting requests of one kind and account.
struct WaitingCount {
  std::string kind;
  AccountId account;
  std::size_t requests = 0;
  std::size_t bytes = 0;
  double cost = 0;
};

struct WaitingRoomOptions {
  std::int64_t max_requests = 512;
  // The default is 1/16 of the smallest instance's memory limit (160 MB).
  Bytes max_bytes = 10'000'000;
  // Time for which a request without room is held back. Each try queries the
  // load of several endpoints; shorter pauses would multiply these queries.
  Milliseconds retry_pause{100};
  // Requests whose wait is expected to end later than this before their latest
  // start are refused; for long waits the margin is larger (kWaitPerMargin).
  // The default is one retry pause, because a request may become startable just
  // after it was held back.
  Milliseconds start_margin{100};
  // Late requests get one start after this many starts of requests in time.
  int in_time_starts_per_late_start = 3;
  // Number of requests that are tried at the same time. More of them would see
  // the same room free and fill it several times over.
  int max_tries = 1;
};

// Returns an error if the options can't be met on an instance with this memory
// limit.
[[nodiscard]] Status ValidateWaitingRoomOptions(
    const WaitingRoomOptions& options,
    Bytes memory_limit_bytes);

class WaitingRoom {
 public:
  // Returns the recent usage of an account, in tokens. Accounts with less usage
  // are scheduled first.
  using UsageOf = std::function<double(const AccountId&)>;

  // Share of the time from arrival to latest start after which a late request
  // comes before other late ones.
  static constexpr double kPressingShare = 0.75;
  // The margin between the end of an expected wait and the latest start is at
  // least the wait divided by this: if a quarter of the engines fails, the wait
  // becomes longer by a third.
  static constexpr int kWaitPerMargin = 3;
  // As for OverloadGuard: 1/10 of the shortest deadline of a streamed answer,
  // so that the load has changed when a caller retries.
  static constexpr Milliseconds kMinRetryAfter{300};
  static constexpr Milliseconds kMaxRetryAfter{3000};
  // Separates the retries of a batch that is refused while little else waits.
  static constexpr Milliseconds kMinRetrySpread{100};

  // The options must be valid. Without `usage_of`, accounts have no influence
  // on the order.
  WaitingRoom(const WaitingRoomOptions& options, UsageOf usage_of);

  // Sets the options if they are valid; otherwise the previous ones stay in
  // force. Requests beyond lower limits continue to wait.
  Status SetOptions(const WaitingRoomOptions& options,
                    Bytes memory_limit_bytes);

  // Returns whether a new request must wait because a request that is scheduled
  // before it is already waiting. It may overtake requests that have found no
  // room, or are being tried, if it is cheaper.
  [[nodiscard]] bool MustQueue(const WaitingRequest& request,
                               MonotonicTime now) const;
  // Adds the request, or refuses it. Changes nothing if its id is waiting.
  WaitDecision Enter(const WaitingRequest& request, MonotonicTime now);
  // Returns the request to try next and marks it as being tried; nullopt if
  // none may be tried now.
  [[nodiscard]] std::optional<RequestId> Next(MonotonicTime now);
  // The request was sent to an endpoint. Requests that didn't wait are ignored:
  // if they counted, cheap ones that find room at once would give most of the
  // memory to late requests.
  void OnStarted(const RequestId& id, MonotonicTime now);
  // No endpoint has capacity for the request; it waits again.
  void OnNoRoom(const RequestId& id, MonotonicTime now);
  // Removes the request; false if it isn't waiting.
  bool Leave(const RequestId& id);
  // Removes and returns the requests past their latest start that aren't being
  // tried.
  [[nodiscard]] std::vector<ExpiredWait> Expire(MonotonicTime now);
  // Removes and returns all requests that aren't being tried. For the end of
  // the grace period of a shutdown.
  [[nodiscard]] std::vector<ExpiredWait> RefuseAll(MonotonicTime now);
  // Returns the time of the next call of Expire() and Next() that is needed
  // without another event; nullopt if there is none.
  [[nodiscard]] std::optional<MonotonicTime> NextWakeup() const;

  // The counts include requests that are being tried.
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  [[nodiscard]] std::size_t bytes() const { return bytes_; }
  // Cost started per second while requests wait; 0 while unknown.
  [[nodiscard]] double start_rate() const { return drain_.rate(); }
  [[nodiscard]] std::optional<MonotonicTime> oldest_arrival() const;
  // Returns the waiting requests by kind, then account.
  [[nodiscard]] std::vector<WaitingCount> CountsByKindAndAccount() const;

 private:
  class Usages;
  struct ScheduleKey;

  struct Entry {
    WaitingRequest request;
    // Index in `accounts_`.
    std::size_t account = 0;
    // Order of arrival in this room.
    std::uint64_t sequence = 0;
    bool being_tried = false;
    // Whether the request was late when Next() returned it.
    bool tried_late = false;
  };

  struct Account {
    AccountId id;
    std::size_t waiting = 0;
  };

  // Until `until`, requests with the same or lower urgency and the same or
  // higher cost aren't tried.
  struct Hold {
    int urgency = 0;
    double cost = 0;
    MonotonicTime until{};
  };

  // Costs from which requests are held back, by urgency.
  class HeldCosts;

  [[nodiscard]] static bool IsLate(const WaitingRequest& request,
                                   MonotonicTime now) {
    return now > request.target;
  }
  [[nodiscard]] static ScheduleKey KeyOf(const Entry& entry, MonotonicTime now);
  // Returns the key that the request would have if it entered.
  [[nodiscard]] ScheduleKey NewcomerKey(const WaitingRequest& request,
                                        MonotonicTime now) const;
  [[nodiscard]] bool IsLateStartDue() const;
  // Returns the time until the request would be started if it entered.
  [[nodiscard]] Microseconds ExpectedWait(const WaitingRequest& request,
                                          MonotonicTime now) const;
  [[nodiscard]] Milliseconds RetryAfter(const WaitingRequest& request,
                                        Microseconds wait,
                                        MonotonicTime now);
  [[nodiscard]] std::vector<ExpiredWait> RefuseIf(
      const std::function<bool(const Entry&)>& condition,
      MonotonicTime now);
  [[nodiscard]] std::size_t AddToAccount(const AccountId& account);
  [[nodiscard]] Entry* Find(const RequestId& id);
  void EndTry(Entry& entry);
  void Remove(std::size_t index);
  // Records the passage of time for the start rate.
  void Observe(MonotonicTime now);

  WaitingRoomOptions options_;
  UsageOf usage_of_;
  std::vector<Entry> entries_;
  std::unordered_map<RequestId, std::size_t> index_by_id_;
  // Slots without waiting requests are reused.
  std::vector<Account> accounts_;
  std::unordered_map<AccountId, std::size_t> index_by_account_;
  std::vector<std::size_t> free_accounts_;
  std::vector<Hold> holds_;
  std::size_t bytes_ = 0;
  double cost_ = 0;
  std::uint64_t next_sequence_ = 0;
  int tried_in_time_ = 0;
  int tried_late_ = 0;
  // Starts of requests in time since the last late start, at most
  // in_time_starts_per_late_start for each late request that may be due.
  int in_time_starts_ = 0;
  DrainRate drain_;
  // The rate of late starts: while requests in time keep arriving, a late one
  // waits several times as long as the cost ahead of it would take otherwise.
  DrainRate late_drain_;
  // Whether a late request waited at the last call of Next().
  bool late_waiting_ = false;
  MonotonicTime last_observed_{};
  // Cost of the refused requests, less what could have been started since.
  double refused_cost_ = 0;
  MonotonicTime refused_at_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ADMISSION_WAITING_ROOM_H_
