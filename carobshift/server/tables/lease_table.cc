#include "carobshift/server/tables/lease_table.h"

#include <chrono>

namespace carobshift {

LeaseAction LeaseTable::Next(MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  return lease_.Next(now);
}

void LeaseTable::OnRead(const Result<LogBatch>& batch, MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  lease_.OnRead(batch, now);
}

void LeaseTable::OnAppended(const Result<LogOffset>& offset,
                            MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  lease_.OnAppended(offset, now);
}

void LeaseTable::Resign() {
  const std::lock_guard lock(mutex_);
  lease_.Resign();
}

std::optional<FencingNumber> LeaseTable::MayOrder(bool checks_fencing,
                                                  MonotonicTime now) const {
  const std::lock_guard lock(mutex_);
  return lease_.MayOrder(checks_fencing, now);
}

std::optional<LeaseHolding> LeaseTable::holding() const {
  const std::lock_guard lock(mutex_);
  return lease_.holding();
}

nlohmann::json LeaseTable::DumpState() const {
  const std::lock_guard lock(mutex_);
  const auto& holding = lease_.holding();
  if (!holding)
    return {{"holder", nullptr}};
  const auto left = std::chrono::duration_cast<Milliseconds>(lease_.expires() -
                                                             MonotonicNow());
  return {{"holder", holding->held ? holding->holder.value() : ""},
          {"number", holding->number.value()},
          {"held_here", lease_.IsHolder()},
          {"left_ms", lease_.IsHolder() ? left.count() : 0}};
}

}  // namespace carobshift
