// Carries the membership's datagrams: receives, sends and ticks.
//
//   GossipTask gossip(context);
//   Status bound = gossip.Bind(address);
//   runner.Start(gossip);

#ifndef CAROBSHIFT_SERVER_TASKS_GOSSIP_TASK_H_
#define CAROBSHIFT_SERVER_TASKS_GOSSIP_TASK_H_

#include <Poco/Net/DatagramSocket.h>

#include <map>
#include <string>
#include <vector>

#include "carobshift/base/net_address.h"
#include "carobshift/base/result.h"
#include "carobshift/membership/membership.h"
#include "carobshift/server/entry_context.h"
#include "carobshift/server/tasks/background_task.h"

namespace carobshift {

class GossipTask : public BackgroundTask {
 public:
  explicit GossipTask(EntryContext& context) : context_(context) {}
  // To be called before the task runs. kInternal if the port is taken.
  [[nodiscard]] Status Bind(const NetAddress& address);

  [[nodiscard]] std::string_view name() const override { return "gossip"; }
  // Waits up to one tick for datagrams.
  Milliseconds RunOnce(MonotonicTime now) override;

 private:
  void Receive();
  void Tick(MonotonicTime now);
  void SendAll(const std::vector<SendDatagram>& datagrams);
  void ExchangeSuspects(MonotonicTime now);
  void LogChanges();

  EntryContext& context_;
  Poco::Net::DatagramSocket socket_;
  MonotonicTime next_tick_{};
  std::map<EntryId, MemberState> states_;
  // The statements about suspected requests that were merged already.
  std::map<std::string, FactVersion> suspect_versions_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TASKS_GOSSIP_TASK_H_
