// Where one attempt goes and what is said to its endpoint: the endpoint by
// placement.h, its weights, the scope of its cached parts, the holders that
// parts are fetched from and the stores that they are kept in.
//
//   AttemptPlanner planner(registry, health, limits, loads, sizes, contents,
//                          deadlines);
//   const std::optional<AttemptPlan> plan = planner.Plan(setup, wish, now);
//
// What must hold: no request may run on KV cache that was made by other
// weights, nor, for an isolated account, by another account. The scope of the
// cache is a digest of model, weight number and account, and the endpoint is
// told to run the request only with those weights. An endpoint whose weights
// aren't known gets a scope that nothing shares. And no request may begin on
// weights that were replaced longer ago than the operator allows, however few
// other endpoints there are: its caller would take the answer for one of the
// named weights.
//
// Thread-compatible; reads the tables that it was given.

#ifndef CAROBSHIFT_GATEWAY_ATTEMPT_PLANNER_H_
#define CAROBSHIFT_GATEWAY_ATTEMPT_PLANNER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "carobshift/gateway/cache_contents.h"
#include "carobshift/gateway/caller_request.h"
#include "carobshift/gateway/endpoint_health.h"
#include "carobshift/gateway/endpoint_registry.h"
#include "carobshift/gateway/exchange.h"
#include "carobshift/gateway/load_book.h"
#include "carobshift/gateway/placement.h"
#include "carobshift/gateway/prompt_sizes.h"
#include "carobshift/gateway/queue_ahead.h"
#include "carobshift/gateway/rate_limits.h"
#include "carobshift/gateway/weight_deadlines.h"

namespace carobshift {

struct AttemptPlan {
  EndpointRecord endpoint;
  AttemptFields fields;
  // Tokens of the prompt that the endpoint has to read itself.
  double unread = 0;
  // What stands before its first token there, in the unit of placement; 0 for
  // requests without a prompt.
  double cost = 0;
  // The part of it that is other requests' or lacks memory.
  QueueAhead ahead;
  // What would stand before a prompt of its kind's mean size there. Whether the
  // request is refused goes by this: by its own need, the largest of a kind
  // would be refused first and hardly ever be served.
  QueueAhead ahead_of_mean;
  // Parts of the prompt that the endpoint may fetch, and that it is to keep in
  // a store.
  int sources = 0;
  int saves = 0;
};

// The text under which an endpoint finds cached parts. `account` only where it
// shares nothing.
[[nodiscard]] std::string CacheScope(const ModelName& model,
                                     WeightNumber weights,
                                     const std::optional<AccountId>& account);

class AttemptPlanner {
 public:
  // Of an engine's memory that prompts are placed into. The rest is for the
  // difference between what is counted here and what the engine holds: reports
  // are a fifth of a second old, and outputs differ from their estimate.
  static constexpr double kMemoryShare = 0.9;
  // Each request beyond an engine's places, in tokens to be read: more than
  // placement's tolerance, so that it goes where a place is free.
  static constexpr double kNoPlaceCost = 2000;
  // A token that is fetched instead of read. By the platform's sheets a link
  // moves it in a twentieth (engines) to a third (slow stores) of that time.
  static constexpr double kFetchCost = 0.15;
  // A prompt waits for its fetches for this many times what reading the parts
  // would take. Fetches wait behind other transfers; when links are full or
  // slow a few hundred tokens, which are read in some tens of milliseconds,
  // would hold up a short question for a second. What takes an engine long to
  // read is waited for longer: read again by many, it holds up everybody.
  static constexpr double kFetchPatience = 6;
  static constexpr Milliseconds kLeastFetchLife{100};
  static constexpr Milliseconds kLongestFetchLife{1000};
  // A part that is being kept is not sent to its store again for this long; by
  // then the store has told that it is whole, or it never will be.
  static constexpr Milliseconds kSaveMemory{3000};
  // For callers whose endpoints all have to load first. By the platform's
  // sheets a load takes one to two seconds, and one is under way.
  static constexpr Milliseconds kReturnAfterLoad{1000};

  // No request waits longer at an engine: callers of the platform's sheets
  // leave after a quarter of it.
  static constexpr Milliseconds kLongestWait{60'000};

  static constexpr std::size_t kShortlist = 4;
  // Tokens to be read by which one engine costs a prompt felt more than
  // another.
  static constexpr double kShortlistStep = 500;

  AttemptPlanner(const EndpointRegistry& registry,
                 const EndpointHealthBook& health,
                 const RateLimits& limits,
                 const LoadBook& loads,
                 const PromptSizes& sizes,
                 const CacheContents& contents,
                 const WeightDeadlines& deadlines)
      : registry_(registry),
        health_(health),
        limits_(limits),
        loads_(loads),
        sizes_(sizes),
        contents_(contents),
        deadlines_(deadlines) {}

  void SetConfig(const ServingConfig& config);
  // Endpoints that are to be kept free of new work, as they load weights.
  void SetDraining(std::set<EndpointId> draining) {
    draining_ = std::move(draining);
  }
  // Whether a connection to the address can be had now; endpoints without one
  // are taken last. All have one if this is never called.
  void SetRoomCheck(std::function<bool(const NetAddress&)> has_room) {
    has_room_ = std::move(has_room);
  }
  // How long a request waits at a service's endpoint behind that much, in the
  // unit of placement. Nothing waits if this is never called.
  void SetWaitEstimate(
      std::function<Milliseconds(const ServiceName&, double)> wait) {
    wait_ = std::move(wait);
  }
  // What an endpoint said of its weights, newer than its record. It counts
  // until the endpoint starts again: then it has the weights that its record
  // names.
  void NoteWeights(const EndpointId& id,
                   const ModelName& model,
                   WeightNumber weights);
  // Call when an endpoint's record changes.
  void ForgetWeights(const EndpointId& id) { noted_.erase(id); }

  // The endpoints whose present load is worth asking for before the request is
  // placed: those at which its own prompt costs least, and among them always
  // the same ones for a session. At most kShortlist. By a few that are known
  // exactly work spreads nearly as well as by all, and asking them costs the
  // same whatever their number is.
  [[nodiscard]] std::vector<EndpointId> Shortlist(const ExchangeSetup& setup,
                                                  MonotonicTime now);

  // Nothing if no endpoint of the service takes work, or only with weights on
  // which nothing may begin any more. One of `among`, if one of them is usable
  // without being avoided, or of all.
  [[nodiscard]] std::optional<AttemptPlan> Plan(
      const ExchangeSetup& setup,
      const AttemptWish& wish,
      MonotonicTime now,
      std::span<const EndpointId> among = {});
  // Whether the second is why there is no plan.
  [[nodiscard]] bool OnlyReplacedWeights(const ExchangeSetup& setup,
                                         MonotonicTime now) const;
  // Whether there is no plan because endpoints take no more requests a second.
  [[nodiscard]] bool OnlyRateLimited(const ExchangeSetup& setup,
                                     MonotonicTime now) const;
  // How long until some endpoint of the service is worth another try.
  [[nodiscard]] Milliseconds ReturnAfter(const ExchangeSetup& setup,
                                         MonotonicTime now) const;
  [[nodiscard]] std::optional<WeightNumber> WeightsOf(
      const EndpointRecord& endpoint,
      const ModelName& model) const;

 private:
  // Kinds of holders, the best to fetch from first.
  enum class SourceRank {
    // Its link is several times as fast as a store's.
    kEngine,
    kStore,
    // It drops parts within a second of their use, and has perhaps done so.
    kEngineByNews,
  };
  // Where a part can be fetched from.
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
    double unread = 0;
    double cost = 0;
    QueueAhead ahead;
  };
  struct Choice {
    Candidate candidate;
    // Only avoided ones were left.
    bool avoided = false;
  };
  // By part.
  using Sources = std::vector<std::vector<Source>>;
  // What an endpoint has said since it was born.
  struct NotedWeights {
    EndpointBirth born{};
    std::map<ModelName, WeightNumber> weights;
  };

  // Of `among`, or of all if that is empty.
  [[nodiscard]] std::optional<Choice> Choose(const ExchangeSetup& setup,
                                             const AttemptWish& wish,
                                             std::span<const EndpointId> among,
                                             MonotonicTime now);
  [[nodiscard]] Candidate Describe(const ExchangeSetup& setup,
                                   const EndpointRecord& record) const;
  // What stands before the request there, without its own prompt.
  [[nodiscard]] QueueAhead Ahead(const RequestFootprint& footprint,
                                 const EndpointRecord& record,
                                 const EngineTraits& engine) const;
  // How long that takes.
  [[nodiscard]] Milliseconds WaitAt(const ExchangeSetup& setup,
                                    const EndpointRecord& record) const;
  // Sets the candidate's unread tokens and its costs.
  void Measure(const ExchangeSetup& setup,
               const RequestFootprint& footprint,
               Candidate& candidate,
               MonotonicTime now);
  // For each part of the prompt but the last; found once for each scope.
  const Sources& SourcesOf(const PromptTraits& prompt,
                           const std::string& scope,
                           MonotonicTime now);
  [[nodiscard]] std::vector<Source> FindSources(const PromptPart& part,
                                                const std::string& scope,
                                                MonotonicTime now) const;
  // Of the best rank, and in the reader's zone if there is one: between zones a
  // transfer takes twice as long. Null if only `reader` itself holds the part.
  [[nodiscard]] static const Source* NearestSource(
      const std::vector<Source>& sources,
      const EndpointRecord& reader);
  [[nodiscard]] bool TakesWork(const ExchangeSetup& setup,
                               const EndpointRecord& record) const;
  // Whether the request may be sent there now.
  [[nodiscard]] bool Allowed(const ExchangeSetup& setup,
                             const EndpointRecord& record,
                             MonotonicTime now) const;
  // Whether the request may not begin on the endpoint's weights any more by the
  // time at which its turn comes there. If it were looked at only when it is
  // sent, a request behind a long queue would begin seconds past the bound.
  // Weights that nobody knows may be the oldest.
  [[nodiscard]] bool Overdue(const ExchangeSetup& setup,
                             const EndpointRecord& record,
                             MonotonicTime now) const;
  // Usable, but taken last.
  [[nodiscard]] bool Avoided(const EndpointRecord& record,
                             const AttemptWish& wish,
                             MonotonicTime now) const;
  [[nodiscard]] AttemptFields FieldsFor(const ExchangeSetup& setup,
                                        const AttemptWish& wish,
                                        const Candidate& chosen,
                                        MonotonicTime now);
  void AddCacheFields(const ExchangeSetup& setup,
                      const Candidate& candidate,
                      AttemptFields& fields,
                      MonotonicTime now);
  // How long the request's fetches may last from the plan on, until its turn
  // comes and then until their patience is over.
  [[nodiscard]] Milliseconds FetchLife(const ExchangeSetup& setup,
                                       const Candidate& candidate) const;
  bool NoteSave(const std::string& scope,
                const std::string& part,
                MonotonicTime now);

  const EndpointRegistry& registry_;
  const EndpointHealthBook& health_;
  const RateLimits& limits_;
  const LoadBook& loads_;
  const PromptSizes& sizes_;
  const CacheContents& contents_;
  const WeightDeadlines& deadlines_;
  std::map<ServiceName, EngineTraits> engines_;
  PlacementOptions placement_;
  std::vector<StoreChoice> stores_;
  bool store_per_part_ = false;
  std::set<EndpointId> draining_;
  std::function<bool(const NetAddress&)> has_room_;
  std::function<Milliseconds(const ServiceName&, double)> wait_;
  std::map<EndpointId, NotedWeights> noted_;
  std::map<std::string, MonotonicTime> saves_;
  // Of the plan under way.
  std::map<std::string, Sources> sources_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ATTEMPT_PLANNER_H_
