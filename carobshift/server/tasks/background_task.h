// Runs an entry's periodic work on background threads.
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
  // The task's name in logs; a string literal.
  [[nodiscard]] virtual std::string_view name() const = 0;
  // Runs one round and returns the delay before the next. May block on the
  // platform up to its timeouts. Exceptions are logged and the round is
  // retried.
  virtual Milliseconds RunOnce(MonotonicTime now) = 0;
};

// Runs each task on its own thread until stopped.
class TaskRunner {
 public:
  TaskRunner() = default;
  ~TaskRunner();
  TaskRunner(const TaskRunner&) = delete;
  TaskRunner& operator=(const TaskRunner&) = delete;

  // `task` must stay valid until StopAll has returned.
  void Start(BackgroundTask& task);

  // Wakes and joins all threads. A round in progress is completed first.
  void StopAll();

 private:
  void Loop(BackgroundTask& task);
  // Waits for `delay`. False if the runner was stopped meanwhile.
  [[nodiscard]] bool WaitFor(Milliseconds delay);

  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TASKS_BACKGROUND_TASK_H_
