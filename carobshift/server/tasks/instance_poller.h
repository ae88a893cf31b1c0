// Background tasks that keep the endpoint table up to date: one reads the
// platform's instance list, the others poll each engine's status.
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

// Chooses the engine to poll next, shared by several pollers. An engine that
// does not answer blocks its poller until the timeout; a single poller would
// then delay the status of all other engines. Thread-safe. Bounded by the
// number of engines given.
class StatusSchedule {
 public:
  // Returns the engine that was polled least recently, if `interval` has passed
  // since then. The engine is not returned again until Done.
  [[nodiscard]] std::optional<EndpointInfo> Take(
      const std::vector<EndpointInfo>& engines,
      Milliseconds interval,
      MonotonicTime now);
  void Done(const EndpointId& engine);

 private:
  std::mutex mutex_;
  std::map<EndpointId, MonotonicTime> last_poll_times_;
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
  void PollEngine(const EndpointInfo& engine);

  EntryContext& context_;
  StatusSchedule& schedule_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TASKS_INSTANCE_POLLER_H_
