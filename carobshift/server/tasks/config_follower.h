// Follows the platform's log for accepted configurations and puts them in
// force.
//
//   ConfigFollower follower(context);
//   runner.Start(follower);

#ifndef CAROBSHIFT_SERVER_TASKS_CONFIG_FOLLOWER_H_
#define CAROBSHIFT_SERVER_TASKS_CONFIG_FOLLOWER_H_

#include "carobshift/config/acceptance.h"
#include "carobshift/server/entry_context.h"
#include "carobshift/server/tasks/background_task.h"

namespace carobshift {

class ConfigFollower : public BackgroundTask {
 public:
  explicit ConfigFollower(EntryContext& context) : context_(context) {}
  [[nodiscard]] std::string_view name() const override {
    return "config_follower";
  }
  Milliseconds RunOnce(MonotonicTime now) override;

 private:
  EntryContext& context_;
  ConfigFold fold_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TASKS_CONFIG_FOLLOWER_H_
