// Performs the fleet lease's reads and appends on the log.
//
//   LeaseTask lease(context);
//   runner.Start(lease);

#ifndef CAROBSHIFT_SERVER_TASKS_LEASE_TASK_H_
#define CAROBSHIFT_SERVER_TASKS_LEASE_TASK_H_

#include <optional>

#include "carobshift/lease/lease.h"
#include "carobshift/server/entry_context.h"
#include "carobshift/server/tasks/background_task.h"

namespace carobshift {

// The log stream of the lease. Must be a single path segment, as the log's
// routes require.
inline constexpr char kLeaseStream[] = "lease-fleet";

class LeaseTask : public BackgroundTask {
 public:
  explicit LeaseTask(EntryContext& context) : context_(context) {}
  [[nodiscard]] std::string_view name() const override { return "lease"; }
  Milliseconds RunOnce(MonotonicTime now) override;

 private:
  void LogChange();

  EntryContext& context_;
  std::optional<FencingNumber> known_number_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TASKS_LEASE_TASK_H_
