// Work that an entry repeats besides answering callers.
//
//   class ListPoller : public BackgroundTask { ... };
//   TaskRunner runner;
//   runner.Start(poller);
//   runner.StopAll();

#ifndef CAROBSHIFT_SERVER_TASKS_BACKGROUND_TASK_H_
#define CAROBSHIFT_SERVER_TASKS_BACKGROUND_TASK_H_

#include <condition_variable>
#include <mutex>
#include <string_view>
#include <thread>
#include <vector>

#include "carobshift/base/units.h"

namespace carobshift {

class BackgroundTask {
 public:
  virtual ~BackgroundTask() = default;
  // For logs; a string literal.
  [[nodiscard]] virtual std::string_view name() const = 0;
  // Does one round and returns how long to wait before the next. May block on
  // the platform up to its timeouts. Exceptions are logged and the round is
  // tried again.
  virtual Milliseconds RunOnce(MonotonicTime now) = 0;
};

// Runs each task on a thread of its own until stopped.
class TaskRunner {
 public:
  TaskRunner() = default;
  ~TaskRunner();
  TaskRunner(const TaskRunner&) = delete;
  TaskRunner& operator=(const TaskRunner&) = delete;

  // `task` must outlive the runner's stop.
  void Start(BackgroundTask& task);

  // Wakes and joins all; a round in progress ends first.
  void StopAll();

 private:
  void Loop(BackgroundTask& task);
  // Waits out the delay; false if stopped meanwhile.
  [[nodiscard]] bool WaitFor(Milliseconds delay);

  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TASKS_BACKGROUND_TASK_H_
