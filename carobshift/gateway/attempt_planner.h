// Where one attempt goes and what is said to its endpoint: the endpoint by
// placement.h, its weights, the scope of its cached parts, and the stores that
// parts are read from and kept in.
//
//   AttemptPlanner planner(registry, health, contents, options);
//   const std::optional<AttemptPlan> plan = planner.Plan(setup, wish, now);
//
// What must hold: no request may run on KV cache that was made by other
// weights, nor, for an isolated account, by another account. The scope of the
// cache is a digest of model, weight number and account, and the endpoint is
// told to run the request only with those weights. An endpoint whose weights
// aren't known gets a scope that nothing shares.
//
// Thread-compatible; reads the tables that it was given.

#ifndef CAROBSHIFT_GATEWAY_ATTEMPT_PLANNER_H_
#define CAROBSHIFT_GATEWAY_ATTEMPT_PLANNER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carobshift/gateway/caller_request.h"
#include "carobshift/gateway/endpoint_health.h"
#include "carobshift/gateway/endpoint_registry.h"
#include "carobshift/gateway/exchange.h"
#include "carobshift/gateway/load_book.h"
#include "carobshift/gateway/placement.h"
#include "carobshift/gateway/store_contents.h"

namespace carobshift {

struct AttemptPlan {
  EndpointRecord endpoint;
  AttemptFields fields;
  bool home = false;
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
  // How long a fetch may last from the plan on. Reading a part of ten thousand
  // tokens takes an engine a tenth of a second; a link that is so full or slow
  // that the fetch takes twice that is worse than reading.
  static constexpr Milliseconds kFetchLife{200};
  // A part that is being kept is not sent to its store again for this long; by
  // then the store has told that it is whole, or it never will be.
  static constexpr Milliseconds kSaveMemory{3000};

  AttemptPlanner(const EndpointRegistry& registry,
                 const EndpointHealthBook& health,
                 const LoadBook& loads,
                 const StoreContents& contents)
      : registry_(registry),
        health_(health),
        loads_(loads),
        contents_(contents) {}

  void SetConfig(const ServingConfig& config);
  // Endpoints that are to be kept free of new work, as they load weights.
  void SetDraining(std::set<EndpointId> draining) {
    draining_ = std::move(draining);
  }
  // What an endpoint said of its weights, newer than its record.
  void NoteWeights(const EndpointId& id,
                   const ModelName& model,
                   WeightNumber weights);
  // Call when an endpoint's record changes.
  void ForgetWeights(const EndpointId& id) { noted_.erase(id); }

  // Nothing if no endpoint takes work of the service.
  [[nodiscard]] std::optional<AttemptPlan> Plan(const ExchangeSetup& setup,
                                                const AttemptWish& wish,
                                                MonotonicTime now);
  // How long until some endpoint of the service is worth another try.
  [[nodiscard]] Milliseconds ReturnAfter(const ServiceName& service,
                                         MonotonicTime now) const;
  [[nodiscard]] std::optional<WeightNumber> WeightsOf(
      const EndpointRecord& endpoint,
      const ModelName& model) const;

 private:
  struct Candidates {
    std::vector<const EndpointRecord*> endpoints;
    std::vector<PlacementCandidate> placement;
  };

  [[nodiscard]] Candidates CandidatesOf(const ExchangeSetup& setup,
                                        const AttemptWish& wish,
                                        MonotonicTime now) const;
  // Load and room in the unit that binds the service.
  [[nodiscard]] PlacementCandidate Measure(
      const EndpointRecord& record,
      const RequestFootprint& footprint) const;
  void AddPromptFields(const ExchangeSetup& setup,
                       const EndpointRecord& endpoint,
                       AttemptFields& fields,
                       MonotonicTime now);
  void AddStores(const PromptTraits& prompt,
                 AttemptFields& fields,
                 MonotonicTime now);
  bool NoteSave(const std::string& scope,
                const std::string& part,
                MonotonicTime now);

  const EndpointRegistry& registry_;
  const EndpointHealthBook& health_;
  const LoadBook& loads_;
  const StoreContents& contents_;
  std::map<ServiceName, EngineTraits> engines_;
  std::vector<StoreChoice> stores_;
  bool store_per_part_ = false;
  std::set<EndpointId> draining_;
  std::map<EndpointId, std::map<ModelName, WeightNumber>> noted_;
  std::map<std::string, MonotonicTime> saves_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ATTEMPT_PLANNER_H_
