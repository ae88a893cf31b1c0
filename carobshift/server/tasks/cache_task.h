// Keeps the cache table up to date and carries out its moves, off the request
// path.
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

// Reads the engines' cache events, lists an engine again after a gap, and asks
// the stores for their status.
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

// Orders one export at a time and whatever drops and pins are due. Several run
// side by side: an export blocks for the time of its transfer.
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
