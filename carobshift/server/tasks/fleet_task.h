// Keeps the declared replicas running: orders idle engines to load what a
// service lacks. Only the first entry by id gives orders.
//
//   FleetTask fleet(context);
//   runner.Start(fleet);

#ifndef CAROBSHIFT_SERVER_TASKS_FLEET_TASK_H_
#define CAROBSHIFT_SERVER_TASKS_FLEET_TASK_H_

#include <vector>

#include "carobshift/server/entry_context.h"
#include "carobshift/server/tasks/background_task.h"

namespace carobshift {

class FleetTask : public BackgroundTask {
 public:
  explicit FleetTask(EntryContext& context) : context_(context) {}
  [[nodiscard]] std::string_view name() const override { return "fleet"; }
  Milliseconds RunOnce(MonotonicTime now) override;

 private:
  [[nodiscard]] bool IsFirstEntry() const;
  void Restore(const ServiceSpec& service, std::vector<EndpointInfo>& engines);

  EntryContext& context_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TASKS_FLEET_TASK_H_
