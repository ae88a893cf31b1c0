// Lease is one instance's view of a lease that is kept as records on the log
// stream "lease-<scope>". It is a state machine without I/O: it returns the
// next action and takes the result. The lease holder may send orders.
//
//   Lease lease(options, self, incarnation, now);
//   LeaseAction action = lease.Next(now);      // read, append or wait
//   lease.OnRead(batch_or_error, now);         // or OnAppended(...)
//   if (auto number = lease.MayOrder(checks_fencing, MonotonicNow())) ...
//
// The log orders records but provides no clock. The holder therefore counts its
// lease from before it sent the record, and a successor from after it read the
// record, each on its own steady clock. Whatever the delays, the holder's lease
// expires first. The successor waits for the lease, the clock drift and the
// order timeout, so that orders sent at the last moment have also ended.
//
// Failures and how they are handled:
// - The reply to an append is lost after the append took effect. Writing a new
//   record would make a holder displace itself, and a holder that trusted its
//   append without reading might have lost a race. Only reading settles the
//   outcome, whatever the reply was.
// - The holder is paused past its lease and continues unaware. MayOrder() takes
//   the time of the call and is called just before each order. With two
//   instances sending orders, endpoints would change back and forth.
// - The log is down. The holder cannot renew. No instance can succeed it
//   either, but the holder cannot tell whether only its own connection is down.
//   It may still send orders under its number to endpoints that check fencing,
//   because a successor's higher number overrides it; to other endpoints it may
//   send orders only within the lease.
// - The log drops old records. A reader that is behind them would request them
//   forever, and neither it nor any instance started later could acquire the
//   lease. The reader continues from the first retained record and discards the
//   holder it knew: another one may have acquired the lease in the dropped
//   records, and its renewals would be ignored.
// - The holder's process is killed and restarts. Its previous orders are few
//   and end soon, and only this process can have the address bound. It waits
//   for those orders and not for the lease; otherwise no orders would be sent
//   for seconds.
// - The process pauses between MayOrder() and the moment the order leaves the
//   machine. Endpoints that check fencing reject the order. For the others the
//   order timeout applies twice: in the successor's wait for orders in flight,
//   and in the holder's margin for a pause of up to that length. A longer pause
//   is not covered; the endpoint's state is read back after each order.

#ifndef CAROBSHIFT_LEASE_LEASE_H_
#define CAROBSHIFT_LEASE_LEASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "carobshift/base/ids.h"
#include "carobshift/base/result.h"
#include "carobshift/base/units.h"
#include "carobshift/external/log_service.h"
#include "carobshift/lease/lease_record.h"

namespace carobshift {

// Disables one mechanism, to show that the fuzz test detects its absence. For
// tests only.
enum class LeaseMutation {
  kNone,
  // The holder's lease counts from when it read its record back.
  kExpiryFromRead,
  // A successor does not wait for the holder's lease to expire.
  kNoSuccessorWait,
  // The holder does not check its expiry before it sends an order.
  kNoExpiryCheck,
  // An append is trusted without reading it back.
  kTrustAppendReply,
  // Orders may start with less lease time left than they take.
  kNoOrderMargin,
  // A restarted process does not wait for its previous orders.
  kNoPreviousOrdersWait,
  // A reader that lost records keeps the holder it knew.
  kKeepHolderOverGap,
};

struct LeaseOptions {
  Milliseconds duration{3000};
  // Longest time from the decision to order until the order has ended.
  Milliseconds order_timeout{1000};
  // Maximum drift between two steady clocks during one lease.
  Milliseconds clock_drift{200};
  // "HOST:PORT" that this process has bound before it tries to acquire the
  // lease, so that no other process of this instance can run; empty if there is
  // none.
  std::string address{};
  // For tests only.
  LeaseMutation mutation = LeaseMutation::kNone;
};

struct ReadLog {
  LogOffset from;
};
struct AppendLog {
  std::string payload;
};
struct WaitUntil {
  MonotonicTime time;
};
// One action at a time: the next one is requested after the outcome of the
// previous one was reported.
using LeaseAction = std::variant<ReadLog, AppendLog, WaitUntil>;

// Thread-compatible.
class Lease {
 public:
  Lease(const LeaseOptions& options,
        EntryId self,
        Incarnation incarnation,
        MonotonicTime now);

  [[nodiscard]] LeaseAction Next(MonotonicTime now);
  // Like Next(), for an instance that would succeed the holder but does not try
  // to acquire the lease now: it reads and never appends. Otherwise a successor
  // would start to wait for the holder's expiry only at its first read, seconds
  // after the holder has died.
  [[nodiscard]] LeaseAction Observe(MonotonicTime now) const;

  // Reports the result of a ReadLog.
  void OnRead(const Result<LogBatch>& batch, MonotonicTime now);
  // Reports that the requested records were dropped. `first_retained` is the
  // first record that the log still keeps.
  void OnDropped(LogOffset first_retained, MonotonicTime now);
  // Reports the result of an AppendLog, including errors.
  void OnAppended(const Result<LogOffset>& offset, MonotonicTime now);

  // Sets the note in all records written from now on.
  void SetNote(std::string note) { note_ = std::move(note); }
  // Makes a holder renew at once, because its note has changed. A successor
  // would otherwise lack the change if this process were killed before the next
  // renewal.
  void RequestRenewal() { renewal_requested_ = true; }

  // Stops this instance from sending orders and from acquiring the lease, and
  // releases the lease if held. Call it when no order is in flight.
  void Resign() { resigned_ = true; }

  // Returns the fencing number for an order at `now`, which must be the time
  // just before the order is sent; nullopt if this instance may not send
  // orders.
  [[nodiscard]] std::optional<FencingNumber> MayOrder(bool checks_fencing,
                                                      MonotonicTime now) const;

  // The last holding read, of this or another instance.
  [[nodiscard]] const std::optional<LeaseHolding>& holding() const {
    return state_.holding();
  }
  // When this instance's lease expires, on its own clock; in the past if not
  // held.
  [[nodiscard]] MonotonicTime expires() const { return expires_; }
  [[nodiscard]] bool IsHolder() const;
  // Returns whether all records have been dropped, so that previous holders are
  // unknown.
  [[nodiscard]] bool HistoryDropped() const {
    return !state_.holding() && next_ > LogOffset(0);
  }

 private:
  // Number of appends whose outcome may still become known. Older ones are
  // discarded and then do not extend the lease.
  static constexpr std::size_t kMaxAttempts = 16;

  void ApplyRecord(const LogRecord& record, MonotonicTime now);
  // Continues from the first retained record if records in between were
  // dropped.
  void SkipTo(LogOffset first_retained, MonotonicTime now);
  // Returns when the lease becomes free if `holding` is the last record.
  [[nodiscard]] MonotonicTime FreeTimeAfter(const LeaseHolding& holding,
                                            MonotonicTime now) const;
  // Longest time for which an unknown holder may act.
  [[nodiscard]] Milliseconds FullWait() const;
  [[nodiscard]] AppendLog Append(LeaseRecordKind kind, MonotonicTime now);
  [[nodiscard]] std::optional<LeaseRecordKind> NextRecordKind(
      MonotonicTime now) const;

  LeaseOptions options_;
  EntryId self_;
  Incarnation incarnation_;
  LeaseState state_;
  LogOffset next_;
  // True while every record on the log as of the last successful read is known
  // and none of this instance's appends is pending.
  bool caught_up_ = false;
  bool resigned_ = false;
  std::uint64_t attempts_ = 0;
  std::map<std::uint64_t, MonotonicTime> append_times_;
  MonotonicTime start_time_;
  std::string note_;
  bool renewal_requested_ = false;
  MonotonicTime expires_;
  // According to the records read, no other instance may hold the lease after
  // this time.
  MonotonicTime free_at_;
  MonotonicTime next_read_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_LEASE_LEASE_H_
