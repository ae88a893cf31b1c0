#include "carobshift/config/checkpoint_planner.h"

namespace carobshift {
namespace {

// An entry without a declaration waits longer before it writes a reset, so that
// an entry that still has the declaration writes first. It does write one in
// the end, so that operators can start again if every copy is lost.
constexpr int kResetDelayFactorWithoutText = 3;

Milliseconds ScaleBy(Milliseconds whole, double draw) {
  return Milliseconds(static_cast<Milliseconds::rep>(
      static_cast<double>(whole.count()) * draw));
}

}  // namespace

CheckpointPlanner::CheckpointPlanner(CheckpointOptions options)
    : options_(options) {}

std::optional<ConfigRecord> CheckpointPlanner::Plan(
    const ConfigStateMachine& fold,
    LogOffset first_retained,
    MonotonicTime now,
    double draw) {
  if (fold.has_gap() != had_gap_) {
    had_gap_ = fold.has_gap();
    due_at_.reset();
  }
  const bool has_text = fold.state().accepted.has_value();
  const Milliseconds delay = ScaleBy(options_.max_jitter, draw);
  if (fold.has_gap()) {
    const Milliseconds reset_delay =
        options_.min_gap_duration *
        (has_text ? 1 : kResetDelayFactorWithoutText);
    // While the validity of an earlier reset is unknown, another reset couldn't
    // be evaluated either, and the gap would never close.
    const bool reset_can_apply =
        !fold.undecidable_reset() || *fold.undecidable_reset() < first_retained;
    if (IsDue(reset_can_apply, reset_delay + delay, now))
      return ResetRecord{fold.state(), first_retained};
    return std::nullopt;
  }
  const bool is_old = CheckpointIsOld(fold, first_retained, now);
  if (IsDue(has_text && is_old && !options_.mutation_no_checkpoints, delay,
            now))
    return CheckpointRecord{fold.state()};
  return std::nullopt;
}

bool CheckpointPlanner::CheckpointIsOld(const ConfigStateMachine& fold,
                                        LogOffset first_retained,
                                        MonotonicTime now) {
  const LogOffset checkpoint = fold.state().checkpoint;
  if (checkpoint_ != checkpoint) {
    if (checkpoint_)
      checkpoint_seen_at_ = now;
    checkpoint_ = checkpoint;
  }
  if (!checkpoint_seen_at_)
    return true;
  // If retention is by number of records rather than by time, the distance to
  // `first_retained` shows the checkpoint's age.
  const std::uint64_t kept = fold.next().value() - first_retained.value();
  const bool near_end =
      first_retained.value() > 0 &&
      checkpoint.value() <
          first_retained.value() + kept / options_.renewals_per_retention;
  return near_end || now - *checkpoint_seen_at_ >=
                         options_.retention / options_.renewals_per_retention;
}

bool CheckpointPlanner::IsDue(bool wanted,
                              Milliseconds delay,
                              MonotonicTime now) {
  if (!wanted) {
    due_at_.reset();
    return false;
  }
  if (!due_at_)
    due_at_ = now + delay;
  if (now < *due_at_)
    return false;
  due_at_ = now + options_.max_jitter + delay;
  return true;
}

}  // namespace carobshift
