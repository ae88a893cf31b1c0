// Queries the current load of a few endpoints before work is placed, and sends
// this instance's own load to the aggregators of the endpoints
// (load_aggregator.h).
//
//   LoadQueryService service(loop, identity, datagrams, load_tracker);
//   service.OnTick();
//   if (service.active())
//     service.Query(endpoints, [](const auto& known) { PlaceAmong(known); });
//
// Failures: an aggregator is dead, suspended or slow, or a datagram is lost.
// The work is placed after kQueryTimeout among the endpoints that were answered
// by then; callers don't notice a delay this short. An endpoint without an
// answer is left out, since it would seem to be idle.

#ifndef CAROBSHIFT_GATEWAY_LOAD_LOAD_QUERY_SERVICE_H_
#define CAROBSHIFT_GATEWAY_LOAD_LOAD_QUERY_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "carobshift/gateway/instances/local_instance.h"
#include "carobshift/gateway/instances/peer_datagrams.h"
#include "carobshift/gateway/load/load_aggregator.h"
#include "carobshift/gateway/load/load_tracker.h"
#include "carobshift/net/event_loop.h"

namespace carobshift {

class LoadQueryService {
 public:
  // Up to this number of instances, periodic reports (load_tracker.h) are
  // frequent enough.
  static constexpr std::size_t kMaxReportingInstances = 12;
  // A round trip between zones takes some milliseconds, and an instance with
  // 1/8 of a processor answers within as many again.
  static constexpr Milliseconds kQueryTimeout{15};

  LoadQueryService(EventLoop& loop,
                   LocalInstance instance,
                   PeerDatagrams& datagrams,
                   LoadTracker& load_tracker);
  ~LoadQueryService();
  LoadQueryService(const LoadQueryService&) = delete;
  LoadQueryService& operator=(const LoadQueryService&) = delete;

  // Call about every Membership::kTick.
  void OnTick();
  // Returns whether enough instances are alive that queries are worth their
  // cost.
  [[nodiscard]] bool active() const {
    return members_.size() > kMaxReportingInstances;
  }
  // Receives the endpoints whose load is known, in the order of the query.
  using Done = std::function<void(const std::vector<EndpointId>& answered)>;

  // Queries the load of `endpoints` and stores it in the load tracker. Calls
  // `done` when all aggregators have answered or after kQueryTimeout;
  // immediately if no other instance has to be asked.
  void Query(const std::vector<EndpointId>& endpoints, Done done);

 private:
  struct PendingQuery {
    std::vector<EndpointId> endpoints;
    // Hashes of the endpoints that have not been answered.
    std::set<std::uint64_t> unanswered;
    Done done;
    TimerId timer;
  };

  void OnChanged(const EndpointId& endpoint);
  void SendUpdate(std::uint64_t endpoint, const EndpointLoad& load);
  void RepeatUpdates();
  void OnUpdate(std::string_view payload);
  void OnQuery(std::string_view payload);
  void OnAnswer(std::string_view payload);
  void Finish(std::uint64_t number);

  EventLoop& loop_;
  LocalInstance instance_;
  PeerDatagrams& datagrams_;
  LoadTracker& load_tracker_;
  LoadAggregator load_aggregator_;
  std::vector<MemberInfo> members_;
  std::uint64_t sequence_ = 0;
  std::uint64_t last_query_number_ = 0;
  std::map<std::uint64_t, PendingQuery> pending_queries_;
  MonotonicTime next_repeat_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_LOAD_LOAD_QUERY_SERVICE_H_
