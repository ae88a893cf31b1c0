// Plans one attempt of a request: chooses the endpoint (placement.h) and fills
// the fields that the endpoint gets with it, which are the weight version, the
// scope of the cached parts, the holders to fetch parts from and the stores to
// save them in.
//
//   AttemptPlanner planner(registry, health, eligibility, loads, sizes,
//                          contents, deadlines);
//   const std::optional<AttemptPlan> plan = planner.Plan(setup, wish, now);
//
// Invariants: a request never runs on KV cache that was computed with other
// weights, nor, for an isolated account, on KV cache of another account. The
// cache scope is therefore a digest of model, weight number and the accounts
// that may share (cache_scope.h), and the endpoint is told to run the request
// only with those weights. An endpoint whose weights are unknown gets a scope
// that no other request shares. A request never begins on weights that were
// replaced longer ago than the operator allows, even if no other endpoint is
// available: its caller would take the answer for one of the named weights.
//
// Thread-compatible. Reads the tables passed to the constructor, which must
// outlive the planner.

#ifndef CAROBSHIFT_GATEWAY_PLACEMENT_ATTEMPT_PLANNER_H_
#define CAROBSHIFT_GATEWAY_PLACEMENT_ATTEMPT_PLANNER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "carobshift/gateway/cache/cache_contents.h"
#include "carobshift/gateway/cache/cache_scope.h"
#include "carobshift/gateway/endpoints/endpoint_eligibility.h"
#include "carobshift/gateway/endpoints/endpoint_health.h"
#include "carobshift/gateway/endpoints/endpoint_registry.h"
#include "carobshift/gateway/load/load_tracker.h"
#include "carobshift/gateway/placement/placement.h"
#include "carobshift/gateway/placement/prompt_sizes.h"
#include "carobshift/gateway/placement/queue_ahead.h"
#include "carobshift/gateway/placement/recent_saves.h"
#include "carobshift/gateway/placement/urgency_ranks.h"
#include "carobshift/gateway/request/caller_request.h"
#include "carobshift/gateway/request/exchange.h"
#include "carobshift/gateway/weights/weight_deadlines.h"

namespace carobshift {

struct AttemptPlan {
  EndpointRecord endpoint;
  AttemptFields fields;
  // Prompt tokens that the endpoint has to prefill itself.
  double prefill_tokens = 0;
  // Expected cost until the first token at this endpoint, in tokens to prefill;
  // 0 for requests without a prompt.
  double cost = 0;
  // The part of `cost` that is caused by other requests or by lack of memory.
  QueueAhead queue_ahead;
  // The same as `queue_ahead` for a prompt of the mean size of its kind.
  // Overload is judged by this value: judged by their own need, the largest
  // prompts of a kind would be refused first and hardly ever be served.
  QueueAhead queue_ahead_of_mean;
  // Numbers of prompt parts that the endpoint may fetch, and that it is to save
  // in a store.
  int fetch_count = 0;
  int save_count = 0;
  // Ids of the parts that are saved.
  std::vector<std::string> saved_parts;
};

// The endpoints whose load is queried before a request is placed.
//
// Load pattern: a quarter of the engines is gone and the others are four fifths
// full. For one prompt in five, all four engines that are queried have a queue;
// it would be refused while engines that weren't queried are idle.
struct LoadShortlist {
  std::vector<EndpointId> first;
  // Queried if the request would have to wait at all of the first ones.
  std::vector<EndpointId> second;
};

class AttemptPlanner {
 public:
  // Share of an engine's memory that prompts are placed into. The rest covers
  // the difference between the load counted here and the memory the engine
  // holds: reports are 200 ms old, and outputs differ from their estimate.
  static constexpr double kUsableMemoryShare = 0.9;
  // Cost of each request beyond an engine's slots, in tokens to prefill. It is
  // larger than the placement tolerance, so that requests go where a slot is
  // free.
  static constexpr double kNoFreeSlotCost = 2000;
  // Cost of a token that is fetched instead of prefilled. By the platform's
  // data sheets a link transfers a token in 1/20 (engines) to 1/3 (slow stores)
  // of the time of its prefill.
  static constexpr double kFetchCost = 0.15;
  // A prompt waits for its fetches for this many times the prefill time of the
  // fetched parts. Fetches queue behind other transfers: when links are full or
  // slow, a few hundred tokens, which take some tens of milliseconds to
  // prefill, would delay a short question by a second. Parts that take long to
  // prefill may wait longer, since prefilling them again for many requests
  // delays all others.
  static constexpr double kFetchTimeoutFactor = 6;
  static constexpr Milliseconds kMinFetchTimeout{100};
  static constexpr Milliseconds kMaxFetchTimeout{1000};
  // Retry-after for callers whose endpoints all have to load weights first. By
  // the platform's data sheets a load takes one to two seconds, and one is in
  // progress.
  static constexpr Milliseconds kRetryAfterWeightLoad{1000};

  // Upper bound of the wait at an engine: by the platform's data sheets callers
  // give up after a quarter of it.
  static constexpr Milliseconds kMaxEngineWait{60'000};

  // Number of endpoints in each part of a shortlist.
  static constexpr std::size_t kShortlistSize = 4;
  static constexpr double kSecondQueryShare = 0.25;
  // In tokens to prefill. Smaller differences in cost between two engines don't
  // matter to the caller.
  static constexpr double kShortlistCostStep = 500;

  AttemptPlanner(const EndpointRegistry& registry,
                 const EndpointHealthTable& health,
                 const EndpointEligibility& eligibility,
                 const LoadTracker& loads,
                 const PromptSizes& sizes,
                 const CacheContents& contents,
                 const WeightDeadlines& deadlines)
      : registry_(registry),
        health_(health),
        eligibility_(eligibility),
        loads_(loads),
        sizes_(sizes),
        contents_(contents),
        deadlines_(deadlines) {}

  void SetConfig(const ServingConfig& config);
  // Sets the endpoints that get no new work if others are usable, because they
  // load weights.
  void SetDraining(std::set<EndpointId> draining) {
    draining_ = std::move(draining);
  }
  // Sets the check whether a connection to an address is available now.
  // Endpoints without one are used last. Without this call all endpoints count
  // as available.
  void SetConnectionCheck(
      std::function<bool(const NetAddress&)> has_connection) {
    has_connection_ = std::move(has_connection);
  }
  // Sets the function that estimates how long a request waits at an endpoint of
  // a service behind the given cost in tokens to prefill. Without this call the
  // estimated wait is 0.
  void SetWaitEstimate(
      std::function<Milliseconds(const ServiceName&, double)> wait) {
    wait_ = std::move(wait);
  }
  // Returns the memory that the request uses at an engine, with its priority.
  [[nodiscard]] RequestFootprint FootprintOf(const ExchangeSetup& setup) const;
  // Records the weights that an endpoint reported, which are newer than those
  // in its record. The report is valid until the endpoint restarts; then the
  // endpoint has the weights named in its record.
  void OnWeightsReported(const EndpointId& id,
                         const ModelName& model,
                         WeightNumber weights);
  // Call when an endpoint's record changes.
  void DropReportedWeights(const EndpointId& id) {
    reported_weights_.erase(id);
  }

  // Returns the endpoints whose current load should be queried before the
  // request is placed: those at which its own prompt costs least, and among
  // equals always the same ones for a session. Placement by the exact load of a
  // few endpoints spreads work nearly as well as by that of all, and the cost
  // of the queries doesn't depend on the number of endpoints.
  [[nodiscard]] LoadShortlist Shortlist(const ExchangeSetup& setup,
                                        MonotonicTime now);
  // Returns whether the second part of the shortlist should be queried too,
  // because the request would wait at each of the `queried` endpoints for more
  // than kSecondQueryShare of its latency target.
  [[nodiscard]] bool NeedsSecondQuery(
      const ExchangeSetup& setup,
      std::span<const EndpointId> queried) const;

  // Returns nullopt if no endpoint of the service accepts work, or if all that
  // do are rate limited or run weights on which no request may begin any more.
  // Chooses one of `among` if one of them is usable and not avoided, otherwise
  // one of all endpoints.
  [[nodiscard]] std::optional<AttemptPlan> Plan(
      const ExchangeSetup& setup,
      const AttemptParams& wish,
      MonotonicTime now,
      std::span<const EndpointId> among = {});
  // Records that the plan is carried out, so that the parts that it saves
  // aren't sent to a store again for RecentSaves::kRetryInterval.
  void MarkSaved(const AttemptPlan& plan, MonotonicTime now);
  // Returns whether there is no plan because all endpoints run overdue weights.
  [[nodiscard]] bool OnlyOverdueWeights(const ExchangeSetup& setup,
                                        MonotonicTime now) const;
  // Returns the obstacle at all endpoints without overdue weights; if they
  // differ, the one that passes soonest. Returns kNone if a request may be sent
  // to one of them now, and kNotServing if the service has none.
  [[nodiscard]] SendObstacle ObstacleTo(const ExchangeSetup& setup,
                                        MonotonicTime now) const;
  // Returns the time until an endpoint of the service is worth another try.
  [[nodiscard]] Milliseconds RetryAfter(const ExchangeSetup& setup,
                                        MonotonicTime now) const;
  [[nodiscard]] std::optional<WeightNumber> WeightsOf(
      const EndpointRecord& endpoint,
      const ModelName& model) const;

 private:
  // Kinds of holders in the order of preference for fetches.
  enum class SourceRank {
    // The engine's link is several times as fast as a store's.
    kEngine,
    kStore,
    // An engine known only through another instance's report. Under load an
    // engine evicts parts within a second of their use, so it may not hold the
    // part any more.
    kEngineReportedByPeer,
  };
  // A holder that a part can be fetched from.
  struct Source {
    CacheHolder holder;
    NetAddress address;
    ZoneName zone;
    SourceRank rank = SourceRank::kStore;
  };
  struct Candidate {
    const EndpointRecord* record = nullptr;
    std::string scope;
    std::optional<WeightNumber> weights;
    double prefill_tokens = 0;
    double cost = 0;
    QueueAhead queue_ahead;
  };
  struct Choice {
    Candidate candidate;
    // Only avoided endpoints were left.
    bool avoided = false;
  };
  // Indexed by part of the prompt.
  using Sources = std::vector<std::vector<Source>>;
  // Weights that an endpoint has reported since it started.
  struct ReportedWeights {
    EndpointStartTime start_time{};
    std::map<ModelName, WeightNumber> weights;
  };

  // Chooses among `among`, or among all endpoints if that is empty.
  [[nodiscard]] std::optional<Choice> Choose(const ExchangeSetup& setup,
                                             const AttemptParams& wish,
                                             std::span<const EndpointId> among,
                                             MonotonicTime now);
  [[nodiscard]] Candidate MakeCandidate(const ExchangeSetup& setup,
                                        const EndpointRecord& record) const;
  // Returns the queue before the request at the endpoint, without its own
  // prompt.
  [[nodiscard]] QueueAhead QueueAheadAt(const RequestFootprint& footprint,
                                        const EndpointRecord& record,
                                        const EngineTraits& engine) const;
  // Returns the estimated duration of that queue.
  [[nodiscard]] Milliseconds ExpectedWaitAt(const ExchangeSetup& setup,
                                            const EndpointRecord& record) const;
  // Sets the candidate's prefill tokens and its costs.
  void ComputeCost(const ExchangeSetup& setup,
                   const RequestFootprint& footprint,
                   Candidate& candidate,
                   MonotonicTime now);
  // Returns the sources of each part of the prompt but the last. Looked up once
  // for each scope of a plan.
  const Sources& SourcesOf(const PromptTraits& prompt,
                           const std::string& scope,
                           MonotonicTime now);
  [[nodiscard]] std::vector<Source> FindSources(const PromptPart& part,
                                                const std::string& scope,
                                                MonotonicTime now) const;
  // Returns a source of the best rank, and in the reader's zone if there is
  // one: between zones a transfer takes twice as long. Returns null if only
  // `reader` itself holds the part.
  [[nodiscard]] static const Source* NearestSource(
      const std::vector<Source>& sources,
      const EndpointRecord& reader);
  // Returns whether the endpoint takes the request now, or when its rates
  // permit.
  [[nodiscard]] bool AcceptsWork(const ExchangeSetup& setup,
                                 const EndpointRecord& record,
                                 MonotonicTime now) const;
  // Returns whether the request may be sent to the endpoint now.
  [[nodiscard]] bool CanSend(const ExchangeSetup& setup,
                             const EndpointRecord& record,
                             MonotonicTime now) const;
  // Returns whether the request would begin on overdue weights by the time the
  // endpoint starts it. Checked against the current time only, a request behind
  // a long queue would begin seconds past the bound. Unknown weights count as
  // the oldest.
  [[nodiscard]] bool WeightsOverdue(const ExchangeSetup& setup,
                                    const EndpointRecord& record,
                                    MonotonicTime now) const;
  // Returns whether the endpoint is usable but should be chosen last.
  [[nodiscard]] bool IsAvoided(const EndpointRecord& record,
                               const AttemptParams& wish,
                               MonotonicTime now) const;
  [[nodiscard]] AttemptFields FieldsFor(const ExchangeSetup& setup,
                                        const AttemptParams& wish,
                                        const Candidate& chosen,
                                        MonotonicTime now);
  void AddCacheFields(const ExchangeSetup& setup,
                      const Candidate& candidate,
                      AttemptFields& fields,
                      MonotonicTime now);
  // Returns the time from the plan to the end of the request's fetches: the
  // estimated queueing time plus the fetch timeout of its parts.
  [[nodiscard]] Milliseconds FetchTimeout(const ExchangeSetup& setup,
                                          const Candidate& candidate) const;

  const EndpointRegistry& registry_;
  const EndpointHealthTable& health_;
  const EndpointEligibility& eligibility_;
  const LoadTracker& loads_;
  const PromptSizes& sizes_;
  const CacheContents& contents_;
  const WeightDeadlines& deadlines_;
  std::map<ServiceName, EngineTraits> engines_;
  PlacementOptions placement_;
  std::vector<StoreChoice> stores_;
  bool store_per_part_ = false;
  std::set<EndpointId> draining_;
  std::function<bool(const NetAddress&)> has_connection_;
  std::function<Milliseconds(const ServiceName&, double)> wait_;
  UrgencyRanks urgency_;
  IsolatedAccounts isolated_;
  std::map<EndpointId, ReportedWeights> reported_weights_;
  RecentSaves recent_saves_;
  // Cache for the current plan, by scope.
  std::map<std::string, Sources> sources_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_PLACEMENT_ATTEMPT_PLANNER_H_
