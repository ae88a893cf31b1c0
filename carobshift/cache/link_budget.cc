#include "carobshift/cache/link_budget.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace carobshift {
namespace {

// Fraction of the bucket's capacity reserved for imports.
constexpr double kImportReserve = 0.5;

double SecondsBetween(MonotonicTime from, MonotonicTime to) {
  return std::chrono::duration<double>(to - from).count();
}

}  // namespace

LinkBudget::LinkBudget(Bytes bytes_per_second)
    : bytes_per_second_(std::max<Bytes>(1, bytes_per_second)),
      level_(static_cast<double>(bytes_per_second_) * kBurstSeconds) {}

double LinkBudget::capacity() const {
  return static_cast<double>(bytes_per_second_) * kBurstSeconds;
}

double LinkBudget::LevelAt(MonotonicTime now) const {
  const double refill = static_cast<double>(bytes_per_second_) * kRefillShare *
                        std::max(0.0, SecondsBetween(level_updated_at_, now));
  return std::min(capacity(), level_ + refill);
}

// An object larger than the bucket requires a full bucket.
double LinkBudget::LevelNeeded(TransferKind kind, Bytes bytes) const {
  const double reserve =
      kind == TransferKind::kExport ? capacity() * kImportReserve : 0.0;
  return std::min(capacity(), static_cast<double>(bytes) + reserve);
}

bool LinkBudget::TryTake(TransferKind kind, Bytes bytes, MonotonicTime now) {
  if (WaitFor(kind, bytes, now) > Milliseconds(0))
    return false;
  level_ = LevelAt(now) - static_cast<double>(bytes);
  level_updated_at_ = now;
  (kind == TransferKind::kImport ? taken_imports_ : taken_exports_) += bytes;
  return true;
}

std::optional<Milliseconds> LinkBudget::BookImport(Bytes bytes,
                                                   MonotonicTime now) {
  const Milliseconds wait = WaitFor(TransferKind::kImport, bytes, now);
  if (wait > kMaxImportWait)
    return std::nullopt;
  // Later bookings wait for the debt, so the sum of the transfers at their
  // start times stays within the budget.
  level_ = LevelAt(now) - static_cast<double>(bytes);
  level_updated_at_ = now;
  taken_imports_ += bytes;
  return wait;
}

Milliseconds LinkBudget::WaitFor(TransferKind kind,
                                 Bytes bytes,
                                 MonotonicTime now) const {
  const auto rate = static_cast<double>(bytes_per_second_);
  if (static_cast<double>(bytes) > rate * kLargestObjectSeconds)
    return Milliseconds::max();
  const double missing = LevelNeeded(kind, bytes) - LevelAt(now);
  // A deficit below one byte is a rounding error.
  if (missing < 1.0)
    return Milliseconds(0);
  const double seconds = missing / (rate * kRefillShare);
  return Milliseconds(static_cast<std::int64_t>(std::ceil(seconds * 1000.0)));
}

void LinkBudget::Return(Bytes bytes) {
  level_ = std::min(capacity(), level_ + static_cast<double>(bytes));
}

double LinkBudget::pressure(MonotonicTime now) const {
  return std::clamp(1.0 - LevelAt(now) / capacity(), 0.0, 1.0);
}

}  // namespace carobshift
