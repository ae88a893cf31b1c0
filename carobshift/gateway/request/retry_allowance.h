// Limits the retries of this process to each service, so that all processes
// together stay within what the platform allows.
//
//   RetryAllowance allowance(limits);
//   allowance.OnMembers(members, now);
//   allowance.OnRequest(service, now);
//   if (allowance.TrySpend(service, now)) ...
//   allowance.Settle(service, last_arrival, now);  // or Refund(service)
//
// Load pattern: 1/3 of the endpoints fails, and each failed attempt is retried
// at the others, which are full already. The retries then make first attempts
// fail too, and the overload outlives its cause. The platform counts the
// retries of all processes together and allows a share of the requests in a
// sliding window plus a fixed number.
//
// The platform counts a retry when it arrives. A partition or a frozen endpoint
// holds back a retry that was sent, and it would arrive among those of the next
// window, up to twice the allowed number. A retry therefore counts from its
// sending until a window after the last moment at which it can still arrive,
// which Settle() states. The retries of this process that arrive in any one
// window were all counted when the last of them was sent, so they are no more
// than what was allowed then.
//
// Each process uses, without coordination, half of the share of its own
// requests and a part of the fixed number.
//
// Half of the share. The platform allows the share of the requests in the
// window or in the one before it, whichever has more. A process that is killed,
// or whose callers move away, has spent for requests of the window before; its
// successor, or the instance that its callers move to, spends for those of this
// window. Every request is counted by one process, and every retry that arrives
// in a window was allowed by requests of this window and the one before it, so
// that all processes together spend at most half of the share of both. This
// holds whoever is killed, moves or is cut off, and whatever the processes know
// of each other. A process needs no history to have its part: it earns a retry
// for 2 / share requests from its start on.
//
// The fixed number. Each process has an equal part among the known members. The
// largest number of members seen within kMembershipHoldTime counts, since
// members that are only partitioned off go on spending. Until the retries of a
// predecessor are out of the window, a process has no part of it. A process of
// a deployment that starts for the first time has no predecessor.
//
// A process that has started behind a partition sees some of the members or
// none. In its first kMembershipHoldTime it assumes at least kAssumedMembers,
// unless the whole deployment has just started and it sees others.
//
// Late arrivals. A link may hold back a retry until the requests that allowed
// it are out of the windows that the platform examines. The retries that may
// still arrive are therefore limited by the requests of the last window without
// its first kLateArrivalTime as well.
//
// kUsableFraction leaves 1/5 of the fixed number unused, for members that are
// counted wrong. kAssumedMembers is high enough that an instance behind a
// partition doesn't spend the part of the others.
//
// Thread-compatible. Holds a RequestHistory and the retries of a window for
// each service.

#ifndef CAROBSHIFT_GATEWAY_REQUEST_RETRY_ALLOWANCE_H_
#define CAROBSHIFT_GATEWAY_REQUEST_RETRY_ALLOWANCE_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/request/request_history.h"

namespace carobshift {

struct RetryLimits {
  // Allowed retries as a share of the requests in the window.
  double share = 0.1;
  // Additional retries in the window, for all processes together.
  double extra = 10;
  Milliseconds window{10000};
  // The deployment starts for the first time, so that no earlier process of
  // this instance can have spent anything.
  bool first_start = false;
};

// What an instance has counted for one service, for the state dump.
struct RetryAccount {
  ServiceName service;
  // In the window.
  double requests = 0;
  // Retries that count now, and those of them that may still arrive.
  double retries = 0;
  double unsettled = 0;
  // Retries allowed by the share of the requests, and by the fixed number.
  double by_share = 0;
  double fixed = 0;
  double left = 0;
};

class RetryAllowance {
 public:
  static constexpr double kUsableFraction = 0.8;
  // A retry may be allowed by a request of either of two windows.
  static constexpr double kShareFraction = 0.5;
  static constexpr Milliseconds kMembershipHoldTime{60000};
  static constexpr int kAssumedMembers = 8;
  // What was sent may arrive for this long, also if its process is killed: the
  // kernel delivers it until the user timeout of its connection.
  static constexpr Milliseconds kLateArrivalTime{4000};

  explicit RetryAllowance(const RetryLimits& limits) : limits_(limits) {}

  void OnRequest(const ServiceName& service, MonotonicTime now);
  // `members` counts all that may be spending: this process and the others that
  // are alive, leaving or not reached. It is at least 1. The first call sets
  // the start time of this process.
  void OnMembers(int members, MonotonicTime now);

  // Counts a retry and returns true if one is left. Each retry is ended by one
  // call of Settle() or Refund().
  [[nodiscard]] bool TrySpend(const ServiceName& service, MonotonicTime now);
  // The retry has arrived, or can't arrive after `last_arrival`, which may lie
  // in the future.
  void Settle(const ServiceName& service,
              MonotonicTime last_arrival,
              MonotonicTime now);
  // Gives back a retry that was never sent: the endpoint wasn't connected, so
  // it has no part in the load that retries cause. An instance that reaches no
  // endpoint would otherwise have none left when its paths return.
  void Refund(const ServiceName& service);
  [[nodiscard]] double Left(const ServiceName& service,
                            MonotonicTime now) const;
  [[nodiscard]] std::vector<RetryAccount> Accounts(MonotonicTime now) const;
  // Number of members among which the fixed number is divided.
  [[nodiscard]] int members() const { return members_; }

 private:
  struct Counts {
    explicit Counts(Milliseconds window) : requests(window) {}

    RequestHistory requests;
    // Retries that may still arrive.
    int unsettled = 0;
    // When the others arrived at the latest.
    std::multiset<MonotonicTime> settled;
  };

  [[nodiscard]] Counts& CountsOf(const ServiceName& service);
  // Returns the retries that count now.
  [[nodiscard]] double RetriesOf(const Counts& counts, MonotonicTime now) const;
  // Returns the retries that may still arrive.
  [[nodiscard]] static double RetriesOnTheWay(const Counts& counts,
                                              MonotonicTime now);
  // Returns the retries allowed by the share of the requests in the last
  // `time`.
  [[nodiscard]] double ByShare(const Counts& counts,
                               Milliseconds time,
                               MonotonicTime now) const;

  // Returns this process's part of the fixed number.
  [[nodiscard]] double FixedShare(MonotonicTime now) const;

  RetryLimits limits_;
  std::map<ServiceName, Counts> counts_;
  int members_ = 1;
  MonotonicTime members_seen_at_{};
  std::optional<MonotonicTime> started_at_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_RETRY_ALLOWANCE_H_
