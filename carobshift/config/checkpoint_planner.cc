#include "carobshift/config/checkpoint_planner.h"

namespace carobshift {
namespace {

// An entry that holds no text would reset to nothing, so that operators can
// begin anew where every text is lost; whoever holds one comes first.
constexpr int kPatienceWithoutText = 3;

Milliseconds Share(Milliseconds whole, double draw) {
  return Milliseconds(static_cast<Milliseconds::rep>(
      static_cast<double>(whole.count()) * draw));
}

}  // namespace

CheckpointPlanner::CheckpointPlanner(CheckpointOptions options)
    : options_(options) {}

std::optional<ConfigRecord> CheckpointPlanner::Plan(const ConfigFold& fold,
                                                    LogOffset first_retained,
                                                    MonotonicTime now,
                                                    double draw) {
  if (fold.has_gap() != had_gap_) {
    had_gap_ = fold.has_gap();
    due_at_.reset();
  }
  const bool has_text = fold.state().accepted.has_value();
  const Milliseconds delay = Share(options_.spread, draw);
  if (fold.has_gap()) {
    const Milliseconds patience =
        options_.reset_after * (has_text ? 1 : kPatienceWithoutText);
    // Writing on while a reset is in doubt would only add another such one,
    // and the gap would stay open for good.
    const bool may_hold =
        !fold.doubtful_reset() || *fold.doubtful_reset() < first_retained;
    if (HeldFor(may_hold, patience + delay, now))
      return ResetRecord{fold.state(), first_retained};
    return std::nullopt;
  }
  const bool old = CheckpointIsOld(fold, first_retained, now);
  if (HeldFor(has_text && old && !options_.mutation_no_checkpoints, delay, now))
    return CheckpointRecord{fold.state()};
  return std::nullopt;
}

bool CheckpointPlanner::CheckpointIsOld(const ConfigFold& fold,
                                        LogOffset first_retained,
                                        MonotonicTime now) {
  const LogOffset checkpoint = fold.state().checkpoint;
  if (checkpoint_ != checkpoint) {
    if (checkpoint_)
      seen_at_ = now;
    checkpoint_ = checkpoint;
  }
  if (!seen_at_)
    return true;
  // Where retention goes by number and not by time, the distance tells.
  const std::uint64_t kept = fold.next().value() - first_retained.value();
  const bool near_end =
      first_retained.value() > 0 &&
      checkpoint.value() <
          first_retained.value() + kept / options_.renewals_per_retention;
  return near_end || now - *seen_at_ >=
                         options_.retention / options_.renewals_per_retention;
}

bool CheckpointPlanner::HeldFor(bool wanted,
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
  due_at_ = now + options_.spread + delay;
  return true;
}

}  // namespace carobshift
