#include "carobshift/server/tasks/background_task.h"

#include <Poco/Exception.h>

#include <string>

#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr Milliseconds kDelayAfterFault{500};

void LogFault(std::string_view task, const std::string& reason) {
  LogEvent(LogLevel::kError, "task_fault",
           {{"task", task}, {"reason", reason}});
}

}  // namespace

TaskRunner::~TaskRunner() {
  StopAll();
}

void TaskRunner::Start(BackgroundTask& task) {
  threads_.emplace_back([this, &task] { Loop(task); });
}

void TaskRunner::StopAll() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
}

void TaskRunner::Loop(BackgroundTask& task) {
  Milliseconds delay{0};
  while (WaitFor(delay)) {
    try {
      delay = task.RunOnce(MonotonicNow());
    } catch (const Poco::Exception& e) {
      LogFault(task.name(), e.displayText());
      delay = kDelayAfterFault;
    } catch (const std::exception& e) {
      LogFault(task.name(), e.what());
      delay = kDelayAfterFault;
    }
  }
}

bool TaskRunner::WaitFor(Milliseconds delay) {
  std::unique_lock lock(mutex_);
  return !wake_.wait_for(lock, delay, [this] { return stopping_; });
}

}  // namespace carobshift
