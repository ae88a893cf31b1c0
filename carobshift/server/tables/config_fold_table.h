// The state folded from the configuration log, shared by the task that reads
// the log and by peers that request the state.
//
//   auto decisions = fold.OnBatch(batch);
//   ConfigState state = fold.state();
//
// Thread-safe. The mutex is a leaf lock.

#ifndef CAROBSHIFT_SERVER_TABLES_CONFIG_FOLD_TABLE_H_
#define CAROBSHIFT_SERVER_TABLES_CONFIG_FOLD_TABLE_H_

#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "carobshift/config/acceptance.h"
#include "carobshift/config/checkpoint_planner.h"

namespace carobshift {

class ConfigFoldTable {
 public:
  ConfigFoldTable() : planner_(CheckpointOptions{}) {}

  [[nodiscard]] LogOffset next() const {
    const std::lock_guard lock(mutex_);
    return fold_.next();
  }
  std::vector<EditDecision> OnBatch(const LogBatch& batch) {
    const std::lock_guard lock(mutex_);
    return fold_.OnBatch(batch);
  }
  bool OnPeerState(const ConfigState& state) {
    const std::lock_guard lock(mutex_);
    return fold_.OnPeerState(state);
  }
  // See CheckpointPlanner.
  [[nodiscard]] std::optional<ConfigRecord> Plan(LogOffset first_retained,
                                                 MonotonicTime now,
                                                 double draw) {
    const std::lock_guard lock(mutex_);
    return planner_.Plan(fold_, first_retained, now, draw);
  }
  [[nodiscard]] std::shared_ptr<const AcceptedConfig> in_force() const {
    const std::lock_guard lock(mutex_);
    return fold_.in_force();
  }
  [[nodiscard]] ConfigState state() const {
    const std::lock_guard lock(mutex_);
    return fold_.state();
  }
  [[nodiscard]] bool has_gap() const {
    const std::lock_guard lock(mutex_);
    return fold_.has_gap();
  }

 private:
  mutable std::mutex mutex_;
  ConfigStateMachine fold_;
  CheckpointPlanner planner_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TABLES_CONFIG_FOLD_TABLE_H_
