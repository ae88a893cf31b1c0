// Background tasks that keep the cache table up to date and run its exports,
// pins and drops, off the request path.
//
//   CacheTask cache(context);
//   ExportTask exports(context);
//   runner.Start(cache);
//   runner.Start(exports);

#ifndef CAROBSHIFT_SERVER_TASKS_CACHE_TASK_H_
#define CAROBSHIFT_SERVER_TASKS_CACHE_TASK_H_

#include "carobshift/server/entry_context.h"
#include "carobshift/server/tasks/background_task.h"

namespace carobshift {

// Reads the engines' cache events, lists an engine's blocks again after a gap
// in its events, and polls the stores' status.
class CacheTask : public BackgroundTask {
 public:
  explicit CacheTask(EntryContext& context) : context_(context) {}
  [[nodiscard]] std::string_view name() const override { return "cache"; }
  Milliseconds RunOnce(MonotonicTime now) override;

 private:
  void FollowEngine(const EndpointInfo& engine);
  void PollStores();

  EntryContext& context_;
  MonotonicTime next_store_poll_{};
};

// Runs one export at a time and the pins and drops that are due. Several tasks
// run in parallel, because an export blocks for its whole transfer.
class ExportTask : public BackgroundTask {
 public:
  explicit ExportTask(EntryContext& context) : context_(context) {}
  [[nodiscard]] std::string_view name() const override { return "export"; }
  Milliseconds RunOnce(MonotonicTime now) override;

 private:
  void Export(const ExportMove& move);
  [[nodiscard]] EndpointInfo FindEngine(const EndpointId& id) const;

  EntryContext& context_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TASKS_CACHE_TASK_H_
