// Sends and receives the membership's gossip datagrams over UDP and drives its
// ticks.
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
  // Call before the task runs. Returns kInternal if the port can't be bound.
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
  // The last version of each suspected-request fact that was published or
  // merged.
  std::map<std::string, FactVersion> suspect_versions_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TASKS_GOSSIP_TASK_H_
