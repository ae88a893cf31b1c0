#include "carobshift/lease/lease.h"

#include <algorithm>
#include <utility>

namespace carobshift {
namespace {

// Interval between reads of the stream, and retry delay of a failed call.
constexpr Milliseconds kReadInterval{200};
// The holder renews after 1/kRenewDivisor of the lease, so two renewals may
// fail before the lease expires.
constexpr int kRenewDivisor = 3;
// In order timeouts: an order of the previous process may have been delayed for
// one timeout before it was sent and for another one in flight.
constexpr int kPreviousOrdersWait = 2;

}  // namespace

// A process that has just started cannot tell how long ago the last record it
// will read was written, nor whether retention dropped a record. It therefore
// waits a full lease before it claims.
Lease::Lease(const LeaseOptions& options,
             EntryId self,
             Incarnation incarnation,
             MonotonicTime now)
    : options_(options),
      self_(std::move(self)),
      incarnation_(incarnation),
      start_time_(now),
      expires_(now),
      free_at_(now + FullWait()),
      next_read_(now) {
  if (options_.mutation == LeaseMutation::kNoSuccessorWait)
    free_at_ = now;
}

Milliseconds Lease::FullWait() const {
  return options_.duration + options_.clock_drift + options_.order_timeout;
}

LeaseAction Lease::Next(MonotonicTime now) {
  if (renewal_requested_ && caught_up_ && IsHolder() && !resigned_)
    return Append(LeaseRecordKind::kRenew, now);
  if (now >= next_read_)
    return ReadLog{next_};
  if (caught_up_) {
    if (const auto kind = NextRecordKind(now))
      return Append(*kind, now);
  }
  return WaitUntil{next_read_};
}

LeaseAction Lease::Observe(MonotonicTime now) const {
  if (now >= next_read_)
    return ReadLog{next_};
  return WaitUntil{next_read_};
}

std::optional<LeaseRecordKind> Lease::NextRecordKind(MonotonicTime now) const {
  if (IsHolder()) {
    if (resigned_)
      return LeaseRecordKind::kRelease;
    // The holder also renews after expiry: if no successor's claim precedes the
    // renewal on the log, the renewal counts and extends the lease.
    const MonotonicTime renew_at =
        expires_ - options_.duration + options_.duration / kRenewDivisor;
    return now >= renew_at ? std::optional(LeaseRecordKind::kRenew)
                           : std::nullopt;
  }
  if (resigned_ || now < free_at_)
    return std::nullopt;
  return LeaseRecordKind::kAcquire;
}

AppendLog Lease::Append(LeaseRecordKind kind, MonotonicTime now) {
  caught_up_ = false;
  renewal_requested_ = false;
  const std::uint64_t attempt = ++attempts_;
  append_times_[attempt] = now;
  if (append_times_.size() > kMaxAttempts)
    append_times_.erase(append_times_.begin());
  const FencingNumber number =
      state_.holding() ? state_.holding()->number : FencingNumber(0);
  return AppendLog{EncodeLeaseRecord({.kind = kind,
                                      .holder = self_,
                                      .incarnation = incarnation_,
                                      .attempt = attempt,
                                      .read_up_to = next_,
                                      .number = number,
                                      .duration = options_.duration,
                                      .address = options_.address,
                                      .note = note_})};
}

void Lease::OnAppended(const Result<LogOffset>& offset, MonotonicTime now) {
  next_read_ = offset.ok() ? now : now + kReadInterval;
  if (offset.ok() && options_.mutation == LeaseMutation::kTrustAppendReply) {
    state_.Apply(offset.value(), {.kind = LeaseRecordKind::kAcquire,
                                  .holder = self_,
                                  .incarnation = incarnation_,
                                  .attempt = attempts_,
                                  .read_up_to = offset.value(),
                                  .number = FencingNumber(0),
                                  .duration = options_.duration,
                                  .address = options_.address,
                                  .note = note_});
    expires_ = append_times_[attempts_] + options_.duration;
  }
}

void Lease::OnRead(const Result<LogBatch>& batch, MonotonicTime now) {
  next_read_ = now + kReadInterval;
  if (!batch.ok())
    return;
  SkipTo(batch.value().first_retained, now);
  for (const LogRecord& record : batch.value().records) {
    if (record.offset >= next_)
      ApplyRecord(record, now);
  }
  next_ = std::max(next_, batch.value().next);
  // The stream has never had a record and none was dropped, so there is no
  // previous holder to wait for.
  if (next_ == LogOffset(0) && batch.value().first_retained == LogOffset(0))
    free_at_ = now;
  // More records may follow a non-empty batch.
  caught_up_ = batch.value().records.empty();
  if (!caught_up_)
    next_read_ = now;
}

void Lease::OnDropped(LogOffset first_retained, MonotonicTime now) {
  caught_up_ = false;
  next_read_ = first_retained > next_ ? now : now + kReadInterval;
  SkipTo(first_retained, now);
}

void Lease::SkipTo(LogOffset first_retained, MonotonicTime now) {
  if (first_retained <= next_)
    return;
  next_ = first_retained;
  if (options_.mutation == LeaseMutation::kKeepHolderOverGap)
    return;
  state_.SkipTo(first_retained);
  // No other instance can have acquired the lease before this holder's lease
  // expires.
  if (IsHolder() && now < expires_)
    return;
  state_.ForgetHolder();
  expires_ = now;
  free_at_ = now + FullWait();
}

MonotonicTime Lease::FreeTimeAfter(const LeaseHolding& holding,
                                   MonotonicTime now) const {
  if (!holding.held || options_.mutation == LeaseMutation::kNoSuccessorWait)
    return now;
  const bool is_previous_process =
      !options_.address.empty() && holding.address == options_.address &&
      holding.holder == self_ && holding.incarnation != incarnation_;
  if (!is_previous_process)
    return now + holding.duration + options_.clock_drift +
           options_.order_timeout;
  return options_.mutation == LeaseMutation::kNoPreviousOrdersWait
             ? now
             : start_time_ + kPreviousOrdersWait * options_.order_timeout;
}

void Lease::ApplyRecord(const LogRecord& record, MonotonicTime now) {
  const Result<LeaseRecord> decoded = DecodeLeaseRecord(record.payload);
  if (!decoded.ok() || !state_.Apply(record.offset, decoded.value()))
    return;
  const LeaseHolding& holding = *state_.holding();
  free_at_ = FreeTimeAfter(holding, now);
  if (holding.incarnation != incarnation_ || !holding.held) {
    expires_ = now;
    return;
  }
  const auto sent = append_times_.find(decoded.value().attempt);
  if (sent == append_times_.end())
    return;
  const MonotonicTime counted_from =
      options_.mutation == LeaseMutation::kExpiryFromRead ? now : sent->second;
  expires_ = std::max(expires_, counted_from + options_.duration);
}

bool Lease::IsHolder() const {
  const auto& holding = state_.holding();
  return holding && holding->held && holding->incarnation == incarnation_;
}

std::optional<FencingNumber> Lease::MayOrder(bool checks_fencing,
                                             MonotonicTime now) const {
  if (!IsHolder() || resigned_)
    return std::nullopt;
  const FencingNumber number = state_.holding()->number;
  if (checks_fencing || options_.mutation == LeaseMutation::kNoExpiryCheck)
    return number;
  const Milliseconds margin = options_.mutation == LeaseMutation::kNoOrderMargin
                                  ? Milliseconds(0)
                                  : options_.order_timeout;
  if (now + margin >= expires_)
    return std::nullopt;
  return number;
}

}  // namespace carobshift
