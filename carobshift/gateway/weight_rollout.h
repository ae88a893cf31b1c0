// In which order engines are brought to the weights that the operator named.
//
//   WeightRollout rollout(options);
//   rollout.SetTarget(model, number);
//   for (const RolloutStep& step : rollout.Next(engines, now)) ...
//
// Load pattern: new weights are named while callers keep coming. An engine that
// loads weights serves nothing for about two seconds and forgets its cached
// prompts; all at once would refuse everybody, one after the other would leave
// callers on old weights for half a minute. Loads slow each other down beyond a
// few at once.
//
// How: a share of a model's engines at a time. The next ones are kept free of
// new work towards the end of their forerunners' loads, so that they have
// nothing left to finish when their turn comes. Where engines have different
// numbers already, those furthest behind go first: an engine's turn ends with
// any load, also one of weights that were replaced meanwhile, and it queues
// anew by what it has. An engine that is busy keeps its place among those that
// load, so that no more than the share load at once, for kOrderLife at most;
// after that the others go first. Engines that fail their orders are asked on,
// without keeping others from being freed; as many again as the share at most,
// since by lost answers all might fail.
//
// A sixth of the engines at once, and no more when time is short: loads slow
// each other down, so a wider rollout ends no sooner and serves fewer callers
// meanwhile (docs/CAPACITY.md).
//
// Thread-compatible. Not a lease: whoever calls it must hold one.

#ifndef CAROBSHIFT_GATEWAY_WEIGHT_ROLLOUT_H_
#define CAROBSHIFT_GATEWAY_WEIGHT_ROLLOUT_H_

#include <map>
#include <optional>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

struct RolloutOptions {
  double share_at_once = 1.0 / 6;
  // For which an engine is kept free of new work before its order, at least.
  Milliseconds drain{250};
  // For which nobody is kept free yet in the place of an engine that has begun
  // to load. Kept free from its forerunner's order on, the next engine would
  // serve nobody for a load more than it has to, and a third of the engines
  // would be out of use, seen by callers as refusals.
  Milliseconds drain_after{900};
  // After which an order without effect is given again: a load takes up to two
  // seconds, and the engine finishes its runs first.
  Milliseconds order_life{5000};
};

// An engine as the rollout sees it.
struct RolloutEngine {
  EndpointId id;
  ModelName model;
  WeightNumber weights{};
};

enum class RolloutStepKind {
  // Keep the engine free of new work.
  kDrain,
  // Order the engine to load.
  kOrder,
};

struct RolloutStep {
  RolloutStepKind kind = RolloutStepKind::kDrain;
  EndpointId endpoint;
  ModelName model;
  WeightNumber number{};
  // What the engine is thought to have. One that reports more has loaded since,
  // and its turn is over.
  WeightNumber weights{};
};

class WeightRollout {
 public:
  // An engine that crashed is back after one to two seconds.
  static constexpr Milliseconds kMaxWait{800};

  explicit WeightRollout(const RolloutOptions& options) : options_(options) {}

  // A lower number than the present target is ignored.
  void SetTarget(const ModelName& model, WeightNumber number);
  [[nodiscard]] std::optional<WeightNumber> Target(
      const ModelName& model) const;

  // Whether some engine has older weights than named.
  [[nodiscard]] bool HasWork(const std::vector<RolloutEngine>& engines) const;

  // What to do now; each step is returned once, until it proves without effect.
  [[nodiscard]] std::vector<RolloutStep> Next(
      const std::vector<RolloutEngine>& engines,
      MonotonicTime now);
  // The order was not accepted, or its fate is unknown: it is given again
  // `wait` later, and after further failures each time twice as late, up to
  // kMaxWait: an engine that is gone must not take the place of those that load
  // each time that one is free.
  void OnOrderFailed(const EndpointId& endpoint,
                     Milliseconds wait,
                     MonotonicTime now);
  // The engine has accepted the order and loads from now on.
  void OnAccepted(const EndpointId& endpoint, MonotonicTime now);
  // The engine loads already, by this order or another one. It keeps a place
  // among those that load, and is asked again `wait` later.
  void OnBusy(const EndpointId& endpoint, Milliseconds wait, MonotonicTime now);
  // The engine has higher weights than its step said: its turn is over.
  void OnAdvanced(const EndpointId& endpoint) { progress_.erase(endpoint); }

 private:
  // An engine's turn, for one of its models at a time: an engine that carries
  // out one order refuses others. Were the turn taken for that of another of
  // its models, the order would be given anew at each tick and break off the
  // one under way.
  struct Progress {
    ModelName model;
    WeightNumber number{};
    // Those that the engine had when its turn began.
    WeightNumber weights{};
    // An order for `number` is under way, or was accepted.
    std::optional<MonotonicTime> ordered_at;
    // Since when it has been loading, as far as known.
    std::optional<MonotonicTime> loading_since;
    // Its last answer was that it is busy.
    bool busy = false;
    // Orders that failed since the last that didn't.
    int failures = 0;
    // No order before this.
    MonotonicTime not_before{};
  };

  // Of the engines that wait for their model's weights.
  struct UnderWay {
    int draining = 0;
    int loading = 0;
    // Of those that load, the ones which will do so for a while yet.
    int begun = 0;
    int failing = 0;
  };

  [[nodiscard]] bool IsBehind(const RolloutEngine& engine) const;
  // The engine's turn for this model; null if it has none.
  [[nodiscard]] const Progress* TurnOf(const RolloutEngine& engine) const;
  // Whether its turn is another model's.
  [[nodiscard]] bool HasOtherTurn(const RolloutEngine& engine) const;
  // Whether it has a place among those that load.
  [[nodiscard]] bool HasPlace(const Progress& progress,
                              MonotonicTime now) const;
  // Whether it has been busy for so long that its place went to others.
  [[nodiscard]] bool IsStuck(const RolloutEngine& engine,
                             MonotonicTime now) const;
  // Those behind, the furthest first, and the stuck ones last.
  [[nodiscard]] std::vector<const RolloutEngine*> WaitingFor(
      const ModelName& model,
      const std::vector<RolloutEngine>& engines,
      MonotonicTime now) const;
  // How many of the model's engines may drain, and load, at once.
  [[nodiscard]] int WidthFor(const ModelName& model,
                             const std::vector<RolloutEngine>& engines) const;
  [[nodiscard]] UnderWay CountUnderWay(
      const std::vector<const RolloutEngine*>& waiting,
      MonotonicTime now) const;
  void AddSteps(const ModelName& model,
                const std::vector<RolloutEngine>& engines,
                MonotonicTime now,
                std::vector<RolloutStep>& steps);
  // Ends turns that are over, and takes in newer targets.
  void Forget(const std::vector<RolloutEngine>& engines, MonotonicTime now);

  RolloutOptions options_;
  std::map<ModelName, WeightNumber> targets_;
  std::map<EndpointId, Progress> progress_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_WEIGHT_ROLLOUT_H_
