// Keeps the endpoint table up to date: reads the platform's list and asks each
// engine for its status.
//
//   InstancePoller poller(context);
//   runner.Start(poller);

#ifndef CAROBSHIFT_SERVER_TASKS_INSTANCE_POLLER_H_
#define CAROBSHIFT_SERVER_TASKS_INSTANCE_POLLER_H_

#include "carobshift/server/entry_context.h"
#include "carobshift/server/tasks/background_task.h"

namespace carobshift {

class ListPoller : public BackgroundTask {
 public:
  explicit ListPoller(EntryContext& context) : context_(context) {}
  [[nodiscard]] std::string_view name() const override { return "list_poller"; }
  Milliseconds RunOnce(MonotonicTime now) override;

 private:
  EntryContext& context_;
};

class StatusPoller : public BackgroundTask {
 public:
  explicit StatusPoller(EntryContext& context) : context_(context) {}
  [[nodiscard]] std::string_view name() const override {
    return "status_poller";
  }
  Milliseconds RunOnce(MonotonicTime now) override;

 private:
  EntryContext& context_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TASKS_INSTANCE_POLLER_H_
