// WeightRollout decides in which order engines load the weights that the
// operator has named.
//
//   WeightRollout rollout(options);
//   rollout.SetTarget(model, number);
//   for (const RolloutStep& step : rollout.Next(engines, now)) ...
//
// Load pattern: new weights are named under load. An engine that loads weights
// serves nothing for about two seconds and loses its prompt cache. Loading on
// all engines at once would refuse every caller; loading one engine at a time
// would leave callers on old weights for half a minute. More than a few
// concurrent loads slow each other down.
//
// Algorithm: a share of a model's engines loads at a time. The next engines are
// drained towards the end of the preceding loads, so that they have no running
// work when their turn comes. If engines have different numbers, those furthest
// behind go first: an engine's turn ends with any load, including one of
// weights that were replaced meanwhile, and the engine is queued again by the
// weights it then has. A busy engine keeps its slot among the loading engines,
// so that no more than the share load at once, but for at most
// order_retry_interval; after that the other engines go first. Engines whose
// orders fail are retried without blocking the drain of others. At most as many
// again as the share are drained, since lost answers could make every engine
// fail.
//
// The share is a sixth of the engines, and it does not grow when time is short:
// loads slow each other down, so a wider rollout ends no sooner and serves
// fewer callers meanwhile (docs/CAPACITY.md).
//
// Thread-compatible. This class is not a lease: the caller must hold one.

#ifndef CAROBSHIFT_GATEWAY_WEIGHTS_WEIGHT_ROLLOUT_H_
#define CAROBSHIFT_GATEWAY_WEIGHTS_WEIGHT_ROLLOUT_H_

#include <map>
#include <optional>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

struct RolloutOptions {
  double max_concurrent_share = 1.0 / 6;
  // Minimum time for which an engine is drained before its order.
  Milliseconds drain{250};
  // Delay after an engine has begun to load before the next engine is drained
  // to take its slot. If the drain began with the preceding order, the next
  // engine would be idle for a whole load longer than necessary; a third of the
  // engines would be unavailable, and callers would be refused.
  Milliseconds drain_delay{900};
  // Time after which an order without effect is repeated. A load takes up to
  // two seconds, and the engine finishes its running work first.
  Milliseconds order_retry_interval{5000};
};

// The rollout's view of an engine.
struct RolloutEngine {
  EndpointId id;
  ModelName model;
  WeightNumber weights{};
};

enum class RolloutStepKind {
  // Send the engine no new work.
  kDrain,
  // Order the engine to load.
  kOrder,
};

struct RolloutStep {
  RolloutStepKind kind = RolloutStepKind::kDrain;
  EndpointId endpoint;
  ModelName model;
  WeightNumber number{};
  // The weights that the engine is assumed to have. If it reports newer ones,
  // it has loaded since and its turn is over.
  WeightNumber weights{};
};

class WeightRollout {
 public:
  // Limit of the retry delay. An engine that crashed is back after one to two
  // seconds.
  static constexpr Milliseconds kMaxRetryDelay{800};

  explicit WeightRollout(const RolloutOptions& options) : options_(options) {}

  // Sets the target weights of a model. A number lower than the present target
  // is ignored.
  void SetTarget(const ModelName& model, WeightNumber number);
  [[nodiscard]] std::optional<WeightNumber> Target(
      const ModelName& model) const;

  // Returns whether any engine has weights older than its target.
  [[nodiscard]] bool HasWork(const std::vector<RolloutEngine>& engines) const;

  // Returns the steps to take now. Each step is returned once, and again only
  // if it had no effect.
  [[nodiscard]] std::vector<RolloutStep> Next(
      const std::vector<RolloutEngine>& engines,
      MonotonicTime now);
  // Reports that an order was not accepted or that its outcome is unknown. It
  // is repeated after `wait`; each further failure doubles the delay, up to
  // kMaxRetryDelay. Otherwise an engine that is gone would take each slot that
  // becomes free from engines that can load.
  void OnOrderFailed(const EndpointId& endpoint,
                     Milliseconds wait,
                     MonotonicTime now);
  // Reports that the engine has accepted the order and is now loading.
  void OnAccepted(const EndpointId& endpoint, MonotonicTime now);
  // Reports that the engine is already loading, by this or another order. It
  // keeps its slot, and the order is repeated after `wait`.
  void OnBusy(const EndpointId& endpoint, Milliseconds wait, MonotonicTime now);
  // Reports that the engine has newer weights than its step stated: its turn is
  // over.
  void OnNewerWeights(const EndpointId& endpoint) { turns_.erase(endpoint); }

 private:
  // An engine's turn for one of its models. An engine has one turn at a time,
  // because it rejects other orders while it executes one. If the turn were
  // mistaken for one of another of its models, the order would be repeated at
  // each tick and would cancel the order in flight.
  struct Turn {
    ModelName model;
    WeightNumber number{};
    // The weights that the engine had when its turn began.
    WeightNumber weights{};
    // When an order for `number` was sent that is in flight or accepted.
    std::optional<MonotonicTime> ordered_at;
    // When the engine began to load, as far as known.
    std::optional<MonotonicTime> loading_since;
    // True if its last answer was that it is busy.
    bool busy = false;
    // Consecutive failed orders.
    int failures = 0;
    // Earliest time of the next order.
    MonotonicTime not_before{};
  };

  // Counts of the engines behind their model's target.
  struct ActiveCounts {
    int draining = 0;
    int loading = 0;
    // Loading engines that began only recently.
    int begun = 0;
    int failing = 0;
  };

  [[nodiscard]] bool IsBehind(const RolloutEngine& engine) const;
  // Returns the engine's turn for this model; null if it has none.
  [[nodiscard]] const Turn* FindTurn(const RolloutEngine& engine) const;
  // Returns whether its turn is for another of its models.
  [[nodiscard]] bool HasTurnForOtherModel(const RolloutEngine& engine) const;
  // Returns whether it occupies a slot among the loading engines.
  [[nodiscard]] bool OccupiesSlot(const Turn& turn_state,
                                  MonotonicTime now) const;
  // Returns whether it has been busy for so long that its slot was reassigned.
  [[nodiscard]] bool IsStuck(const RolloutEngine& engine,
                             MonotonicTime now) const;
  // Returns the engines behind the target: the furthest behind first, stuck
  // ones last.
  [[nodiscard]] std::vector<const RolloutEngine*> EnginesBehind(
      const ModelName& model,
      const std::vector<RolloutEngine>& engines,
      MonotonicTime now) const;
  // Returns how many of the model's engines may drain, and load, concurrently.
  [[nodiscard]] int MaxConcurrent(
      const ModelName& model,
      const std::vector<RolloutEngine>& engines) const;
  [[nodiscard]] ActiveCounts CountActive(
      const std::vector<const RolloutEngine*>& behind,
      MonotonicTime now) const;
  void AddSteps(const ModelName& model,
                const std::vector<RolloutEngine>& engines,
                MonotonicTime now,
                std::vector<RolloutStep>& steps);
  // Ends completed turns and applies newer targets.
  void UpdateTurns(const std::vector<RolloutEngine>& engines,
                   MonotonicTime now);

  RolloutOptions options_;
  std::map<ModelName, WeightNumber> targets_;
  std::map<EndpointId, Turn> turns_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_WEIGHTS_WEIGHT_ROLLOUT_H_
