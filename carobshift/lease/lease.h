// One entry's part in the lease on a scope of the fleet, as a state machine
// over the log stream "lease-<scope>". The holder may give orders.
//
//   Lease lease(options, self, incarnation, now);
//   LeaseAction action = lease.Next(now);      // read, append or wait
//   lease.OnRead(batch_or_error, now);         // or OnAppended(...)
//   if (auto number = lease.MayOrder(checks_fencing, MonotonicNow())) ...
//
// The log gives an order of records, not a clock. So the holder counts its
// time from before it sent the record, and a successor from after it read it,
// each on its own steady clock: whatever the delays are, the holder's time is
// over first. The successor waits the lease, the clock drift and the order
// timeout, so that orders sent at the last moment have ended too.
//
// What can go wrong, and what is noticed:
// - The reply to an append is lost after it took effect. Writing again under a
//   new record would make a holder displace itself, and one that believed in
//   its append without reading might have lost a race. The outcome is settled
//   by reading alone, whatever the reply said.
// - The holder is paused past its lease and goes on unaware. MayOrder() takes
//   the time of the call and is asked just before each order. Two entries that
//   both order would be seen as endpoints that change to and fro.
// - The log is down. The holder can't renew; nobody can succeed it either, but
//   it can't know whether it is only cut off. Endpoints that check fencing may
//   still be ordered under its number, which a successor's higher one bars;
//   the others only within the lease.
// - The log drops old records. A reader behind them would ask for them for ever
//   and could never hold the lease, nor anybody who starts later. It goes on
//   from the first that is kept, and forgets the holder that it knew: another
//   one may have begun in what is gone, and its renewals would not be heard.
// - The holder's process is killed and starts again. Its former orders are few
//   and soon over, and it alone has the address bound, so it waits for those
//   and not for the lease; otherwise nobody would order for seconds.
// - The process pauses between MayOrder() and the moment the order leaves the
//   machine. Endpoints that check fencing refuse it. For the others the order
//   timeout stands twice: in the successor's wait for orders on their way, in
//   the holder's margin for such a pause up to that length. Nothing covers a
//   longer one; the endpoint's state is read back after each order.

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

// Removes one mechanism, to show that the fuzz test notices. For tests only.
enum class LeaseMutation {
  kNone,
  // The holder's time counts from when it read its record back.
  kExpiryFromRead,
  // A successor does not wait for the holder's time to end.
  kNoSuccessorWait,
  // The holder does not look at the time before it orders.
  kNoExpiryCheck,
  // An append is believed without reading it back.
  kTrustAppendReply,
  // Orders may start with less lease left than they take.
  kNoOrderMargin,
  // A process that starts again does not wait for its former orders.
  kNoFormerOrdersWait,
  // A reader that lost records goes by the holder that it knew.
  kKeepHolderOverGap,
};

struct LeaseOptions {
  Milliseconds duration{3000};
  // Longest time from the decision to order until the order has ended.
  Milliseconds order_timeout{1000};
  // How far two steady clocks may run apart during one lease.
  Milliseconds clock_drift{200};
  // "HOST:PORT" that this process has bound before it seeks the lease, so that
  // no other process of this entry can run; empty if there is none.
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
// One at a time: the next is asked for after the outcome was reported.
using LeaseAction = std::variant<ReadLog, AppendLog, WaitUntil>;

// Thread-compatible.
class Lease {
 public:
  Lease(const LeaseOptions& options,
        EntryId self,
        Incarnation incarnation,
        MonotonicTime now);

  [[nodiscard]] LeaseAction Next(MonotonicTime now);
  // The same for an entry that would succeed the holder but doesn't seek the
  // lease now: it reads along and never appends. Without it a successor would
  // begin to wait for the holder's end only when it first reads, seconds after
  // the holder has died.
  [[nodiscard]] LeaseAction Observe(MonotonicTime now) const;

  // The answer to a ReadLog.
  void OnRead(const Result<LogBatch>& batch, MonotonicTime now);
  // The same when the records asked for are gone: the log keeps those from
  // `first_retained` on.
  void OnDropped(LogOffset first_retained, MonotonicTime now);
  // The answer to an AppendLog, an error included.
  void OnAppended(const Result<LogOffset>& offset, MonotonicTime now);

  // What goes into the records that are written from now on.
  void SetNote(std::string note) { note_ = std::move(note); }

  // From now on this entry orders nothing and does not seek the lease; it
  // releases the lease if held. Call it when no order is on its way.
  void Resign() { resigned_ = true; }

  // The number to order under at `now`, which must be the time just before
  // the order is sent; nothing if this entry may not order.
  [[nodiscard]] std::optional<FencingNumber> MayOrder(bool checks_fencing,
                                                      MonotonicTime now) const;

  // The last holding read, ours or another's.
  [[nodiscard]] const std::optional<LeaseHolding>& holding() const {
    return fold_.holding();
  }
  // End of our own time, on our clock; in the past if not held.
  [[nodiscard]] MonotonicTime expires() const { return expires_; }
  [[nodiscard]] bool IsHolder() const;
  // Whether all records that there were have been dropped, so that nothing is
  // known of former holders.
  [[nodiscard]] bool HistoryGone() const {
    return !fold_.holding() && next_ > LogOffset(0);
  }

 private:
  // Attempts whose outcome may still come to light; older ones are forgotten
  // and then simply don't prolong the lease.
  static constexpr std::size_t kMaxAttempts = 16;

  void Take(const LogRecord& record, MonotonicTime now);
  // Goes on from the first record kept, if some in between are gone.
  void SkipTo(LogOffset first_retained, MonotonicTime now);
  // When the lease is free if this is the last that was written of it.
  [[nodiscard]] MonotonicTime FreeAfter(const LeaseHolding& holding,
                                        MonotonicTime now) const;
  // Longest time for which a holder may act that nothing is known of.
  [[nodiscard]] Milliseconds WholeWait() const;
  [[nodiscard]] AppendLog Append(LeaseRecordKind kind, MonotonicTime now);
  [[nodiscard]] std::optional<LeaseRecordKind> WantedRecord(
      MonotonicTime now) const;

  LeaseOptions options_;
  EntryId self_;
  Incarnation incarnation_;
  LeaseFold fold_;
  LogOffset next_;
  // True while everything on the log as of the last successful read is known
  // and no append of ours is open.
  bool settled_ = false;
  bool resigned_ = false;
  std::uint64_t attempts_ = 0;
  std::map<std::uint64_t, MonotonicTime> sent_;
  MonotonicTime started_;
  std::string note_;
  MonotonicTime expires_;
  // Nobody else may hold the lease after this time, as far as we have read.
  MonotonicTime free_at_;
  MonotonicTime next_read_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_LEASE_LEASE_H_
