// Brings engines to the weights that the operator named: seeks the lease when
// there is something to do, and gives the orders while it holds it.
//
//   WeightSteward steward(loop, client, settings, dialects, cluster, registry,
//                         deadlines);
//   steward.SetTarget(model, number);
//   steward.OnTick();
//
// The next one reads along, so that it knows the end of a dead holder's lease.
//
// The holder's records tell when weights were named. Every instance reads them
// when it starts, as it finds the newest number in the operator's record, but
// neither its time nor the numbers before it.
//
// All instances see the same work at the same time. So that they don't race for
// the lease, the one with the lowest id among those that live seeks it first;
// each further one waits kTurn longer, and only while nothing has changed.

#ifndef CAROBSHIFT_GATEWAY_WEIGHT_STEWARD_H_
#define CAROBSHIFT_GATEWAY_WEIGHT_STEWARD_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "carobshift/gateway/cluster.h"
#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/endpoint_registry.h"
#include "carobshift/gateway/gateway_settings.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/gateway/weight_deadlines.h"
#include "carobshift/gateway/weight_rollout.h"
#include "carobshift/lease/lease.h"
#include "carobshift/net/http_fetch.h"

namespace carobshift {

class WeightSteward {
 public:
  // A holder that lives has moved something within this time: an engine loads
  // for about two seconds.
  static constexpr Milliseconds kTurn{2500};

  WeightSteward(EventLoop& loop,
                HttpClient& client,
                const GatewaySettings& settings,
                const Dialects& dialects,
                Cluster& cluster,
                const EndpointRegistry& registry,
                WeightDeadlines& deadlines);

  void SetConfig(std::shared_ptr<const ConfigInForce> config) {
    config_ = std::move(config);
  }
  // Weights that were named just now.
  void SetTarget(const ModelName& model, WeightNumber number);
  // Weights that had been named when this process started, nobody says when.
  void SetFoundTarget(const ModelName& model, WeightNumber number);
  // Called when an engine has told its holder that it has loaded weights, which
  // is up to a second before its record says so.
  using OnLoaded =
      std::function<void(const EndpointId&, const ModelName&, WeightNumber)>;
  void SetOnLoaded(OnLoaded on_loaded) { on_loaded_ = std::move(on_loaded); }
  void OnTick();
  // Gives no more orders. The lease is not given back: a successor must wait
  // for the whole lease after the last order.
  void Stop() { stopped_ = true; }

  [[nodiscard]] bool IsHolder() const { return lease_.IsHolder(); }
  // Engines with weights on which nothing may begin any more.
  [[nodiscard]] std::size_t overdue() const { return overdue_.size(); }
  // Those of `endpoints` that still have older weights than named.
  [[nodiscard]] std::set<EndpointId> Behind(
      const std::set<EndpointId>& endpoints) const;

 private:
  struct Order {
    RolloutStep step;
    NetAddress address;
    EndpointBirth born{};
    HttpFetch fetch;
    TimerId timer;
    MonotonicTime sent{};
  };

  // What an engine has told of its weights, newer than its record. It counts
  // for this start of the engine only: one that starts again under its id may
  // have older weights, and taken by what it told, it would keep them for good.
  struct Reported {
    EndpointBirth born{};
    std::map<ModelName, WeightNumber> weights;
  };

  [[nodiscard]] std::vector<RolloutEngine> Engines() const;
  [[nodiscard]] WeightNumber WeightsOf(const EndpointRecord& record,
                                       const ModelName& model) const;
  [[nodiscard]] bool IsMyTurn(MonotonicTime now);
  // Whether this instance is next if the holder dies.
  [[nodiscard]] bool IsSuccessor() const;
  void RaiseTarget(const ModelName& model, WeightNumber number);
  // Takes over what the holder's last record tells of namings.
  void ReadNote();
  // Once the lease's stream was read to its end: settles since when the targets
  // count that were found at the start.
  void DateFoundTargets();
  // One log line for each engine that reaches the end of its time, and one when
  // it has left it.
  void NoteOverdue(const std::vector<RolloutEngine>& engines);
  void DriveLease();
  // Reads the lease's stream without seeking the lease.
  void ReadAlong();
  void OnLeaseRead(const Result<LogBatch>& batch, std::string_view body);
  void Perform(const LeaseAction& action);
  void ReadLease(LogOffset from);
  void AppendLease(const std::string& payload);
  void GiveOrders(const std::vector<RolloutEngine>& engines);
  // Asks the engine how many orders it has accepted, then orders.
  void AskThenOrder(const RolloutStep& step);
  void SendOrder(const std::shared_ptr<Order>& order,
                 const EngineReport& report);
  void OnOrderReply(const std::shared_ptr<Order>& order,
                    const FetchOutcome& outcome);
  // Takes note of an engine that has higher weights than when its order was
  // decided; false if it hasn't.
  bool TakeWeights(const std::shared_ptr<Order>& order,
                   const EngineReport& report);
  // Asks the engine for its weights until it has the ordered ones. Its record
  // tells too, but later, and not at all while this instance doesn't reach the
  // log.
  void WatchLater(const std::shared_ptr<Order>& order, Milliseconds wait);
  void OnWatched(const std::shared_ptr<Order>& order,
                 const FetchOutcome& outcome);
  // An order may be sent under this number now.
  [[nodiscard]] std::optional<FencingNumber> MayOrder(MonotonicTime now) const;
  void Drop(const EndpointId& endpoint);

  EventLoop& loop_;
  HttpClient& client_;
  const GatewaySettings& settings_;
  Dialects dialects_;
  Cluster& cluster_;
  const EndpointRegistry& registry_;
  std::shared_ptr<const ConfigInForce> config_;
  WeightRollout rollout_;
  WeightDeadlines& deadlines_;
  // Found at the start, and not yet dated.
  std::map<ModelName, WeightNumber> found_;
  // Whether the lease's stream was read to its end once.
  bool history_read_ = false;
  std::set<EndpointId> overdue_;
  LogStream stream_;
  Lease lease_;
  HttpFetch lease_call_;
  MonotonicTime lease_wait_{};
  // The last call for the lease had no answer.
  bool log_failing_ = false;
  std::map<EndpointId, Reported> reported_;
  std::map<EndpointId, std::shared_ptr<Order>> orders_;
  OnLoaded on_loaded_;
  bool stopped_ = false;
  // What the engines looked like when it last changed.
  std::vector<WeightNumber> seen_;
  MonotonicTime seen_at_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_WEIGHT_STEWARD_H_
