#include "carobshift/lease/lease.h"

#include <algorithm>
#include <utility>

namespace carobshift {
namespace {

// The stream is read this often, and a failed call tried again after it.
constexpr Milliseconds kReadInterval{200};
// The holder renews when this part of its lease is over: two renewals may
// fail before the lease does.
constexpr int kRenewDivisor = 3;
// In order timeouts: an order of the former process may have been held up that
// long before it was sent, and that long on its way.
constexpr int kFormerOrdersWait = 2;

}  // namespace

// A process that has just started can't know how long ago the last record was
// written that it will read, nor whether retention dropped one: it waits a
// whole lease before it claims.
Lease::Lease(const LeaseOptions& options,
             EntryId self,
             Incarnation incarnation,
             MonotonicTime now)
    : options_(options),
      self_(std::move(self)),
      incarnation_(incarnation),
      started_(now),
      expires_(now),
      free_at_(now + WholeWait()),
      next_read_(now) {
  if (options_.mutation == LeaseMutation::kNoSuccessorWait)
    free_at_ = now;
}

Milliseconds Lease::WholeWait() const {
  return options_.duration + options_.clock_drift + options_.order_timeout;
}

LeaseAction Lease::Next(MonotonicTime now) {
  if (now >= next_read_)
    return ReadLog{next_};
  if (settled_) {
    if (const auto kind = WantedRecord(now))
      return Append(*kind, now);
  }
  return WaitUntil{next_read_};
}

LeaseAction Lease::Observe(MonotonicTime now) const {
  if (now >= next_read_)
    return ReadLog{next_};
  return WaitUntil{next_read_};
}

std::optional<LeaseRecordKind> Lease::WantedRecord(MonotonicTime now) const {
  if (IsHolder()) {
    if (resigned_)
      return LeaseRecordKind::kRelease;
    // Also after its end: if no successor's claim lies before it on the log,
    // the renewal counts, and the holder's time begins anew.
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
  settled_ = false;
  const std::uint64_t attempt = ++attempts_;
  sent_[attempt] = now;
  if (sent_.size() > kMaxAttempts)
    sent_.erase(sent_.begin());
  const FencingNumber number =
      fold_.holding() ? fold_.holding()->number : FencingNumber(0);
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
    fold_.Apply(offset.value(), {.kind = LeaseRecordKind::kAcquire,
                                 .holder = self_,
                                 .incarnation = incarnation_,
                                 .attempt = attempts_,
                                 .read_up_to = offset.value(),
                                 .number = FencingNumber(0),
                                 .duration = options_.duration,
                                 .address = options_.address,
                                 .note = note_});
    expires_ = sent_[attempts_] + options_.duration;
  }
}

void Lease::OnRead(const Result<LogBatch>& batch, MonotonicTime now) {
  next_read_ = now + kReadInterval;
  if (!batch.ok())
    return;
  SkipTo(batch.value().first_retained, now);
  for (const LogRecord& record : batch.value().records) {
    if (record.offset >= next_)
      Take(record, now);
  }
  next_ = std::max(next_, batch.value().next);
  // Nothing was ever on the stream, and nothing was dropped from it: there is
  // no former holder to wait for.
  if (next_ == LogOffset(0) && batch.value().first_retained == LogOffset(0))
    free_at_ = now;
  // More may follow a batch that was not empty.
  settled_ = batch.value().records.empty();
  if (!settled_)
    next_read_ = now;
}

void Lease::OnDropped(LogOffset first_retained, MonotonicTime now) {
  settled_ = false;
  next_read_ = first_retained > next_ ? now : now + kReadInterval;
  SkipTo(first_retained, now);
}

void Lease::SkipTo(LogOffset first_retained, MonotonicTime now) {
  if (first_retained <= next_)
    return;
  next_ = first_retained;
  if (options_.mutation == LeaseMutation::kKeepHolderOverGap)
    return;
  fold_.SkipTo(first_retained);
  // Nobody else can have begun while this holder's time runs.
  if (IsHolder() && now < expires_)
    return;
  fold_.ForgetHolder();
  expires_ = now;
  free_at_ = now + WholeWait();
}

MonotonicTime Lease::FreeAfter(const LeaseHolding& holding,
                               MonotonicTime now) const {
  if (!holding.held || options_.mutation == LeaseMutation::kNoSuccessorWait)
    return now;
  const bool former_self =
      !options_.address.empty() && holding.address == options_.address &&
      holding.holder == self_ && holding.incarnation != incarnation_;
  if (!former_self)
    return now + holding.duration + options_.clock_drift +
           options_.order_timeout;
  return options_.mutation == LeaseMutation::kNoFormerOrdersWait
             ? now
             : started_ + kFormerOrdersWait * options_.order_timeout;
}

void Lease::Take(const LogRecord& record, MonotonicTime now) {
  const Result<LeaseRecord> decoded = DecodeLeaseRecord(record.payload);
  if (!decoded.ok() || !fold_.Apply(record.offset, decoded.value()))
    return;
  const LeaseHolding& holding = *fold_.holding();
  free_at_ = FreeAfter(holding, now);
  if (holding.incarnation != incarnation_ || !holding.held) {
    expires_ = now;
    return;
  }
  const auto sent = sent_.find(decoded.value().attempt);
  if (sent == sent_.end())
    return;
  const MonotonicTime begin =
      options_.mutation == LeaseMutation::kExpiryFromRead ? now : sent->second;
  expires_ = std::max(expires_, begin + options_.duration);
}

bool Lease::IsHolder() const {
  const auto& holding = fold_.holding();
  return holding && holding->held && holding->incarnation == incarnation_;
}

std::optional<FencingNumber> Lease::MayOrder(bool checks_fencing,
                                             MonotonicTime now) const {
  if (!IsHolder() || resigned_)
    return std::nullopt;
  const FencingNumber number = fold_.holding()->number;
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
