// Follows the configuration log and puts accepted configurations in force.
// Fetches the state from a peer while the log is unavailable or has a gap.
// Writes checkpoints.
//
//   ConfigFollower follower(context, fold, peers, client);
//   runner.Start(follower);

#ifndef CAROBSHIFT_SERVER_TASKS_CONFIG_FOLLOWER_H_
#define CAROBSHIFT_SERVER_TASKS_CONFIG_FOLLOWER_H_

#include "carobshift/peer/peer_client.h"
#include "carobshift/server/entry_context.h"
#include "carobshift/server/once/peer_directory.h"
#include "carobshift/server/tables/config_fold_table.h"
#include "carobshift/server/tasks/background_task.h"

namespace carobshift {

class ConfigFollower : public BackgroundTask {
 public:
  ConfigFollower(EntryContext& context,
                 ConfigFoldTable& fold,
                 PeerDirectory& peers,
                 const PeerClient& client)
      : context_(context), fold_(fold), peers_(peers), client_(client) {}
  [[nodiscard]] std::string_view name() const override {
    return "config_follower";
  }
  Milliseconds RunOnce(MonotonicTime now) override;

 private:
  void AskPeer();
  void ActivateAccepted();
  void WriteCheckpoint(LogOffset first_retained, MonotonicTime now);

  EntryContext& context_;
  ConfigFoldTable& fold_;
  PeerDirectory& peers_;
  const PeerClient& client_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TASKS_CONFIG_FOLLOWER_H_
