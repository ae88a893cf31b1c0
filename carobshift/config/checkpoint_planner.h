// Decides when an entry writes a checkpoint or a reset to the config stream,
// so that the accepted declaration outlives the log's retention.
//
//   std::optional<ConfigRecord> record =
//       planner.Plan(fold, batch.first_retained, now, draw);
//   if (record) log.Append(stream, EncodeConfigRecord(*record)...);
//
// Load pattern: all entries follow the same stream, so at the two-year size
// 420 of them find the checkpoint old at the same moment. Each waits for a
// random share of `spread` first; the first one's record resets the others.
// Without that, 420 appends of the whole text would take the log's several
// hundred appends a second for a second.
//
// Pure; thread-compatible; constant memory.

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
  // A checkpoint is renewed at a third of the retention: two more tries of
  // that length fit in before the last one is dropped.
  int renewals_per_retention = 3;
  // Two appends with one timeout of two seconds each fit into it, and five
  // seconds are nothing against any sensible retention.
  Milliseconds spread{5000};
  // How long a gap may stay open before a reset is written. Longer than
  // `spread` plus an append, so that an entry without a gap is faster.
  Milliseconds reset_after{20'000};
  // For tests only: never write a checkpoint.
  bool mutation_no_checkpoints = false;
};

class CheckpointPlanner {
 public:
  explicit CheckpointPlanner(CheckpointOptions options);

  // The record to append now, if any. `first_retained` is what the last read
  // told; `draw` is a fresh random number in [0, 1). Call it after each read
  // that succeeded. If an append fails, a later call returns a record again.
  [[nodiscard]] std::optional<ConfigRecord> Plan(const ConfigFold& fold,
                                                 LogOffset first_retained,
                                                 MonotonicTime now,
                                                 double draw);

 private:
  [[nodiscard]] bool CheckpointIsOld(const ConfigFold& fold,
                                     LogOffset first_retained,
                                     MonotonicTime now);
  // True once `wanted` has held for `delay`, and then no more for as long.
  [[nodiscard]] bool HeldFor(bool wanted,
                             Milliseconds delay,
                             MonotonicTime now);

  CheckpointOptions options_;
  std::optional<LogOffset> checkpoint_;
  // When `checkpoint_` was first seen; none if it was there from the start, so
  // that its age is unknown.
  std::optional<MonotonicTime> seen_at_;
  std::optional<MonotonicTime> due_at_;
  bool had_gap_ = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CONFIG_CHECKPOINT_PLANNER_H_
