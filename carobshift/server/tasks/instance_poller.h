// Keeps the endpoint table up to date: reads the platform's list and asks each
// engine for its status.
//
//   ListPoller list(context);
//   StatusSchedule schedule;
//   StatusPoller poller(context, schedule);
//   runner.Start(list);
//   runner.Start(poller);

#ifndef CAROBSHIFT_SERVER_TASKS_INSTANCE_POLLER_H_
#define CAROBSHIFT_SERVER_TASKS_INSTANCE_POLLER_H_

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

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

// Which engine is to be asked next, shared by several pollers. A silent engine
// keeps the poller that asked it waiting until its timeout; with one poller it
// would keep the news of all others away. Thread-safe; bounded by the engines
// given.
class StatusSchedule {
 public:
  // The engine that has waited longest, if its `interval` is over; it is not
  // given out again until Done.
  [[nodiscard]] std::optional<EndpointInfo> Take(
      const std::vector<EndpointInfo>& engines,
      Milliseconds interval,
      MonotonicTime now);
  void Done(const EndpointId& engine);

 private:
  std::mutex mutex_;
  std::map<EndpointId, MonotonicTime> asked_;
  std::set<EndpointId> in_progress_;
};

class StatusPoller : public BackgroundTask {
 public:
  StatusPoller(EntryContext& context, StatusSchedule& schedule)
      : context_(context), schedule_(schedule) {}
  [[nodiscard]] std::string_view name() const override {
    return "status_poller";
  }
  Milliseconds RunOnce(MonotonicTime now) override;

 private:
  void Ask(const EndpointInfo& engine);

  EntryContext& context_;
  StatusSchedule& schedule_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TASKS_INSTANCE_POLLER_H_
