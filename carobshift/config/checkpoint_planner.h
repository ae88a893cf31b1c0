// CheckpointPlanner decides when an entry writes a checkpoint or a reset to the
// config stream, so that the accepted declaration outlives the log's retention.
//
//   std::optional<ConfigRecord> record =
//       planner.Plan(fold, batch.first_retained, now, draw);
//   if (record) log.Append(stream, EncodeConfigRecord(*record)...);
//
// All entries follow the same stream, so at the two-year size 420 of them find
// the checkpoint due at the same moment. Each entry waits for a random share of
// `spread` (jitter); the first record written resets the timers of the others.
// Without the jitter, 420 appends of the whole text would use the log's
// capacity of several hundred appends per second for a second.
//
// Deterministic, no I/O. Thread-compatible; constant memory.

#ifndef CAROBSHIFT_CONFIG_CHECKPOINT_PLANNER_H_
#define CAROBSHIFT_CONFIG_CHECKPOINT_PLANNER_H_

#include <optional>

#include "carobshift/base/units.h"
#include "carobshift/config/acceptance.h"
#include "carobshift/config/config_record.h"

namespace carobshift {

struct CheckpointOptions {
  // How long the log keeps a record.
  Milliseconds retention = std::chrono::hours(24);
  // A checkpoint is renewed after a third of the retention, which leaves time
  // for two more attempts at the same interval before the last checkpoint is
  // dropped.
  int renewals_per_retention = 3;
  // Upper bound of the jitter before a write. Two appends with a timeout of two
  // seconds each fit into it, and five seconds are negligible against any
  // sensible retention.
  Milliseconds max_jitter{5000};
  // How long a gap may last before a reset is written. Longer than `spread`
  // plus an append, so that a checkpoint by an entry without a gap comes first.
  Milliseconds min_gap_duration{20'000};
  // For tests only: never write a checkpoint.
  bool mutation_no_checkpoints = false;
};

class CheckpointPlanner {
 public:
  explicit CheckpointPlanner(CheckpointOptions options);

  // Returns the record to append now, if any. `first_retained` is the value
  // that the last read returned; `draw` is a new random number in [0, 1). Call
  // it after each successful read. If an append fails, a later call returns a
  // record again.
  [[nodiscard]] std::optional<ConfigRecord> Plan(const ConfigStateMachine& fold,
                                                 LogOffset first_retained,
                                                 MonotonicTime now,
                                                 double draw);

 private:
  [[nodiscard]] bool CheckpointIsOld(const ConfigStateMachine& fold,
                                     LogOffset first_retained,
                                     MonotonicTime now);
  // Returns true once `wanted` has been true for `delay`; the next time is
  // after `spread` plus `delay`.
  [[nodiscard]] bool IsDue(bool wanted, Milliseconds delay, MonotonicTime now);

  CheckpointOptions options_;
  std::optional<LogOffset> checkpoint_;
  // When `checkpoint_` was first observed; nullopt if it existed at the start,
  // so that its age is unknown.
  std::optional<MonotonicTime> checkpoint_seen_at_;
  std::optional<MonotonicTime> due_at_;
  bool had_gap_ = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CONFIG_CHECKPOINT_PLANNER_H_
