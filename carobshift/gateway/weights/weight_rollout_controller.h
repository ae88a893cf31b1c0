// WeightRolloutController brings engines to the weights that the operator has
// named. It seeks the lease when an engine is behind, and sends orders to
// engines while it holds the lease.
//
//   WeightRolloutController controller(loop, client, settings, dialects,
//                                      cluster, registry, deadlines);
//   controller.SetTarget(model, number);
//   controller.OnTick();
//
// The next instance in line observes the lease's stream, so that it knows when
// a dead holder's lease expires.
//
// The holder's records state when weights were named. Every instance reads them
// when it starts: the operator's record contains the newest number, but neither
// its time nor earlier numbers.
//
// An instance that reaches no engine can give no orders. If it held the lease
// and renewed it, the engines would keep their old weights for as long as the
// loss lasts. While another instance reaches the engines, it neither seeks nor
// renews the lease and gives no orders, as in a planned stop: the lease isn't
// released, so a successor still waits for the whole lease after the last
// order. The others don't wait for it to act.
//
// All instances see the same work at the same time. To avoid races for the
// lease, the live instance with the lowest id seeks it first. Each further
// instance waits kSuccessionDelay longer, and seeks it only if nothing has
// changed meanwhile.

#ifndef CAROBSHIFT_GATEWAY_WEIGHTS_WEIGHT_ROLLOUT_CONTROLLER_H_
#define CAROBSHIFT_GATEWAY_WEIGHTS_WEIGHT_ROLLOUT_CONTROLLER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/endpoints/endpoint_registry.h"
#include "carobshift/gateway/gateway_settings.h"
#include "carobshift/gateway/instances/cluster.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/gateway/weights/weight_deadlines.h"
#include "carobshift/gateway/weights/weight_rollout.h"
#include "carobshift/lease/lease.h"
#include "carobshift/net/http_fetch.h"

namespace carobshift {

class WeightRolloutController {
 public:
  // A live holder makes visible progress within this time, since an engine
  // loads for about two seconds.
  static constexpr Milliseconds kSuccessionDelay{2500};

  WeightRolloutController(EventLoop& loop,
                          HttpClient& client,
                          const GatewaySettings& settings,
                          const Dialects& dialects,
                          Cluster& cluster,
                          const EndpointRegistry& registry,
                          WeightDeadlines& deadlines);

  void SetConfig(std::shared_ptr<const ServingConfigSnapshot> config) {
    config_ = std::move(config);
  }
  // Sets weights that were named just now.
  void SetTarget(const ModelName& model, WeightNumber number);
  // Sets weights that had been named before this process started, at an unknown
  // time.
  void SetInitialTarget(const ModelName& model, WeightNumber number);
  // Called when an engine has reported to the lease holder that it has loaded
  // weights, which is up to a second before its record shows them.
  using OnLoaded =
      std::function<void(const EndpointId&, const ModelName&, WeightNumber)>;
  void SetOnLoaded(OnLoaded on_loaded) { on_loaded_ = std::move(on_loaded); }
  // Sets how to tell whether an instance, which may be this one, reaches the
  // engines of all services that declare some. Without it, all do.
  using ReachesEngines = std::function<bool(const EntryId&)>;
  void SetReachesEngines(ReachesEngines reaches_engines) {
    reaches_engines_ = std::move(reaches_engines);
  }
  void OnTick();
  // Stops sending orders. The lease is not released: a successor must wait for
  // the whole lease after the last order.
  void Stop() { stopped_ = true; }

  [[nodiscard]] bool IsHolder() const { return lease_.IsHolder(); }
  // Number of engines whose weights no request may begin on any more.
  [[nodiscard]] std::size_t overdue() const { return overdue_.size(); }
  // Returns the endpoints of `endpoints` whose weights are older than the
  // target.
  [[nodiscard]] std::set<EndpointId> OutdatedEndpoints(
      const std::set<EndpointId>& endpoints) const;

 private:
  struct Order {
    RolloutStep step;
    NetAddress address;
    EndpointStartTime start_time{};
    HttpFetch fetch;
    TimerId timer;
    MonotonicTime sent{};
  };

  // Weights that an engine reported more recently than its record. They apply
  // to one start of the engine only: an engine that restarts under its id may
  // have older weights. If its earlier report still counted, it would keep the
  // older weights permanently.
  struct Reported {
    EndpointStartTime start_time{};
    std::map<ModelName, WeightNumber> weights;
  };

  [[nodiscard]] std::vector<RolloutEngine> Engines() const;
  // Returns the models of the engine's record and those that its service
  // declares. An engine whose record is partly broken would otherwise keep
  // replaced weights permanently.
  [[nodiscard]] std::set<ModelName> ModelsOf(
      const EndpointRecord& record) const;
  [[nodiscard]] WeightNumber WeightsOf(const EndpointRecord& record,
                                       const ModelName& model) const;
  [[nodiscard]] bool ShouldSeekLease(MonotonicTime now);
  // Returns whether this instance reaches no engines while another one does.
  [[nodiscard]] bool LeavesOrdersToOthers() const;
  // Returns this instance's place among the live ones that reach the engines.
  [[nodiscard]] std::size_t RankInReach() const;
  // Returns whether this instance is next if the holder dies.
  [[nodiscard]] bool IsSuccessor() const;
  void RaiseTarget(const ModelName& model, WeightNumber number);
  // Merges the namings from the note of the holder's last record.
  void ReadNote();
  // Called when the lease's stream has been read to its end: determines from
  // when the bound counts for the targets found at the start.
  void ResolveFoundTargetTimes();
  // Logs each engine that becomes overdue, and each that is no longer overdue.
  void LogOverdueChanges(const std::vector<RolloutEngine>& engines);
  void DriveLease();
  // Reads the lease's stream without seeking the lease.
  void ObserveLease();
  void OnLeaseRead(const Result<LogBatch>& batch, std::string_view body);
  void Perform(const LeaseAction& action);
  void ReadLease(LogOffset from);
  void AppendLease(const std::string& payload);
  void ExecuteSteps(const std::vector<RolloutEngine>& engines);
  // Queries how many orders the engine has accepted, then sends the order.
  void QueryThenOrder(const RolloutStep& step);
  void SendOrder(const std::shared_ptr<Order>& order,
                 const EngineReport& report);
  void OnOrderReply(const std::shared_ptr<Order>& order,
                    const FetchOutcome& outcome);
  // Records that an engine has newer weights than when its order was decided.
  // Returns false if it has not.
  bool UpdateLoadedWeights(const std::shared_ptr<Order>& order,
                           const EngineReport& report);
  // Polls the engine's weights until it has the ordered ones. Its record shows
  // them too, but later, and not at all while this instance does not reach the
  // log.
  void SchedulePoll(const std::shared_ptr<Order>& order, Milliseconds wait);
  void OnPollAnswer(const std::shared_ptr<Order>& order,
                    const FetchOutcome& outcome);
  // Returns the fencing number for an order at `now`; nullopt if none may be
  // sent.
  [[nodiscard]] std::optional<FencingNumber> MayOrder(MonotonicTime now) const;
  void DropOrder(const EndpointId& endpoint);

  EventLoop& loop_;
  HttpClient& client_;
  const GatewaySettings& settings_;
  Dialects dialects_;
  Cluster& cluster_;
  const EndpointRegistry& registry_;
  std::shared_ptr<const ServingConfigSnapshot> config_;
  WeightRollout rollout_;
  WeightDeadlines& deadlines_;
  // Targets found at the start whose time is not determined yet.
  std::map<ModelName, WeightNumber> found_targets_;
  // True if the lease's stream has been read to its end.
  bool lease_history_read_ = false;
  std::set<EndpointId> overdue_;
  LogStream stream_;
  Lease lease_;
  HttpFetch lease_call_;
  MonotonicTime lease_wait_{};
  // True if the last call for the lease had no answer.
  bool log_failing_ = false;
  std::map<EndpointId, Reported> reported_;
  std::map<EndpointId, std::shared_ptr<Order>> orders_;
  OnLoaded on_loaded_;
  ReachesEngines reaches_engines_ = [](const EntryId&) { return true; };
  bool stopped_ = false;
  // The engines' weights at the last change.
  std::vector<WeightNumber> last_engine_weights_;
  MonotonicTime last_change_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_WEIGHTS_WEIGHT_ROLLOUT_CONTROLLER_H_
