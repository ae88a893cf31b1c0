// Replays a synthetic load against the gateway's decision code in virtual time.
// The instances place requests, refuse them under overload, exchange load and
// cache state and free store space with the product's own classes. Engines and
// stores are models (holder_model.h).
//
//   LoadReplay replay(options, seed);
//   replay.At(Seconds(5), [&] { replay.DeployWeights(2); });
//   const ReplayResult result = replay.Run(Seconds(20));

#ifndef BENCHMARKS_GATEWAY_LOAD_REPLAY_H_
#define BENCHMARKS_GATEWAY_LOAD_REPLAY_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "benchmarks/gateway/holder_model.h"
#include "carobshift/gateway/cache/cache_relay.h"
#include "carobshift/gateway/cache/obsolete_part_selector.h"
#include "carobshift/gateway/load/load_query_service.h"
#include "carobshift/gateway/placement/overload_guard.h"

namespace carobshift {

// Load of one request class. The first class has the highest priority.
struct RequestClassLoad {
  double per_second = 0;
  int sessions = 1;
  Tokens session_tokens = 1000;
  Tokens own_tokens = 300;
  Tokens output_tokens = 40;
  Milliseconds target{800};
  // Standard deviation of the logarithm of the sizes of sessions and of own
  // parts; 0 gives all prompts the same size.
  double size_spread = 0;
};

struct ReplayOptions {
  int instances = 3;
  int engines = 6;
  // Event readers that one holder accepts.
  int event_readers = 12;
  Tokens store_capacity = 2'000'000;
  // Tokens per millisecond.
  double store_link_rate = 800;
  EngineOptions engine;
  std::vector<RequestClassLoad> request_classes;
  // Mechanisms that a run can switch off for comparison.
  bool sheds_load = true;
  bool relays_cache_events = true;
  bool frees_stores = true;
  bool queries_aggregators = true;
  // Queries further engines if the first ones have a queue.
  bool queries_twice = true;
  bool abandons_slow_fetches = true;
};

// The outcome of one prompt.
struct SizedOutcome {
  Tokens prompt_tokens = 0;
  // The first token was sent, in time or late.
  bool served = false;
};

struct RequestClassResult {
  int offered = 0;
  int in_target = 0;
  int late = 0;
  // Refused on arrival and again on its only retry.
  int refused = 0;
  // One for each prompt that was served or refused.
  std::vector<SizedOutcome> outcomes;

  [[nodiscard]] double InTarget() const {
    return offered == 0 ? 0 : static_cast<double>(in_target) / offered;
  }
  // Share of served prompts among those whose rank by size, ascending, lies
  // between the fractions `from` and `to` of all prompts.
  [[nodiscard]] double ServedBetween(double from, double to) const;
};

struct ReplayResult {
  std::vector<RequestClassResult> request_classes;
  PrefillCounts counts;
  int most_running = 0;
  // Longest time from a caller's first attempt to the first token.
  Milliseconds longest_wait{0};

  // Share of all prefilled tokens that belong to parts which had been prefilled
  // before.
  [[nodiscard]] double RepeatedPrefillShare() const {
    return counts.prefill_tokens == 0
               ? 0
               : counts.repeated_tokens / counts.prefill_tokens;
  }
};

class LoadReplay {
 public:
  LoadReplay(const ReplayOptions& options, std::uint64_t seed);
  ~LoadReplay();

  void At(Milliseconds time, std::function<void()> event) {
    simulation_.After(time, std::move(event));
  }
  // Publishes weights `number`; engines load them two at a time.
  void DeployWeights(std::uint64_t number);
  // Removes the first `count` engines at once.
  void RemoveEngines(int count);

  [[nodiscard]] ReplayResult Run(Milliseconds time);

 private:
  struct Instance;
  struct Call {
    std::size_t request_class = 0;
    ExchangeSetup setup;
    MonotonicTime arrived{};
    bool retried = false;
  };

  void AddHolders();
  void ScheduleArrival(std::size_t request_class);
  // Draws a size around `mean` with the class's spread.
  [[nodiscard]] static Tokens DrawSize(const RequestClassLoad& load,
                                       Tokens mean,
                                       SeededRandom& random);
  [[nodiscard]] PromptTraits DrawPrompt(std::size_t request_class,
                                        const RequestId& request);
  void RecordOutcome(const Call& call, bool served);
  void SendToInstance(const std::shared_ptr<Call>& call);
  // Copies the aggregated load of `endpoints` to the instance.
  void QueryLoads(Instance& instance, const std::vector<EndpointId>& endpoints);
  void Serve(Instance& instance, const std::shared_ptr<Call>& call);
  void Place(Instance& instance,
             const std::shared_ptr<Call>& call,
             const std::vector<EndpointId>& shortlist);
  // Whether there are so many instances that they query the load aggregators
  // before they place a request.
  [[nodiscard]] bool QueriesAggregators() const;
  [[nodiscard]] Instance& AggregatorAt(std::uint64_t endpoint);
  void SendLoadUpdate(Instance& instance, const EndpointId& endpoint);
  void ExpireLoads();
  void Send(Instance& instance,
            const std::shared_ptr<Call>& call,
            const AttemptPlan& plan);
  void LoadNextEngines(std::uint64_t number, int engine);
  void PublishWeights(int engine, std::uint64_t number);
  void SendLoadReports();
  void ReadEvents();
  [[nodiscard]] CacheReaderRole RoleOf(const CacheHolder& holder,
                                       std::size_t instance) const;
  // Computes the event reader roles once: the set of instances is constant
  // during a replay.
  void AssignRoles();
  void ReadEventsAt(std::size_t index);
  void DeliverCacheUpdate(const CacheUpdate& update);
  void FreeStores();

  ReplayOptions options_;
  Simulation simulation_;
  ReplayResult result_;
  Holders holders_;
  std::map<NetAddress, StoreModel*> store_addresses_;
  std::vector<std::unique_ptr<EngineModel>> engines_;
  std::vector<EndpointRecord> records_;
  std::vector<std::unique_ptr<StoreModel>> stores_;
  std::map<CacheHolder, HolderModel*> holders_by_name_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<EntryId> live_;
  std::vector<MemberInfo> members_;
  // Keyed by holder; the vector is in the order of the instances.
  std::map<CacheHolder, std::vector<CacheReaderRole>> roles_;
  std::vector<Route> routes_;
  ObsoletePartSelector part_selector_;
  std::uint64_t calls_ = 0;
};

}  // namespace carobshift

#endif  // BENCHMARKS_GATEWAY_LOAD_REPLAY_H_
