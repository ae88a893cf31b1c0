// Models of engines and KV cache stores in virtual time, as far as they affect
// placement: memory, prefill, fetches, eviction, and the event logs that report
// cache contents.
//
//   EngineModel engine(simulation, options, holders, counts);
//   engine.Submit({plan, prompt, on_first_token, on_end});

#ifndef BENCHMARKS_GATEWAY_HOLDER_MODEL_H_
#define BENCHMARKS_GATEWAY_HOLDER_MODEL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "carobshift/gateway/placement/attempt_planner.h"
#include "fuzz/simulation.h"

namespace carobshift {

// Prefill and save counters, summed over all engines and stores. Tokens are
// prompt tokens.
struct PrefillCounts {
  double prefill_tokens = 0;
  // Tokens of parts that some engine had already prefilled under the same
  // scope.
  double repeated_tokens = 0;
  int store_full_saves = 0;
  std::set<std::string> prefilled_parts;
};

// The cache events of one holder. Events become readable kLag after they
// happened.
class HolderLog {
 public:
  static constexpr Milliseconds kLag{80};

  void Append(const StoreEvent& event, MonotonicTime now);
  [[nodiscard]] StoreEvents After(std::uint64_t since, MonotonicTime now) const;

 private:
  std::vector<StoreEvent> events_;
  std::vector<MonotonicTime> times_;
};

// A cache holder from which engines fetch prompt parts: an engine or a store.
class HolderModel {
 public:
  virtual ~HolderModel() = default;
  [[nodiscard]] virtual bool Holds(const std::string& scope,
                                   const std::string& part) const = 0;
  // Tokens per millisecond.
  [[nodiscard]] virtual double link_rate() const = 0;
  // When a transfer of `tokens` that is requested at `now` would end if the
  // holder's transfers run one after another.
  [[nodiscard]] MonotonicTime TransferEnd(Tokens tokens,
                                          MonotonicTime now) const;
  void ReserveUntil(MonotonicTime end) { busy_until_ = end; }
  [[nodiscard]] const HolderLog& log() const { return log_; }

 protected:
  HolderLog log_;

 private:
  MonotonicTime busy_until_{};
};

// Keyed by the address in attempt plans.
using Holders = std::map<NetAddress, HolderModel*>;

// A store that evicts nothing on its own. Saves fail while it is full.
class StoreModel : public HolderModel {
 public:
  StoreModel(Simulation& simulation,
             Tokens capacity,
             double link_rate,
             PrefillCounts& counts)
      : simulation_(simulation),
        capacity_(capacity),
        link_rate_(link_rate),
        counts_(counts) {}

  void Save(const std::string& scope, const PromptPart& part);
  void Free(const std::vector<StoreEvent>& parts);

  [[nodiscard]] bool Holds(const std::string& scope,
                           const std::string& part) const override;
  [[nodiscard]] double link_rate() const override { return link_rate_; }

 private:
  Simulation& simulation_;
  Tokens capacity_;
  double link_rate_;
  PrefillCounts& counts_;
  Tokens used_ = 0;
  std::map<std::string, Tokens> parts_;
};

struct EngineOptions {
  Tokens kv_capacity = 100'000;
  // Prefill rate in tokens per millisecond, while other requests decode.
  double prefill_rate = 60;
  Milliseconds token_time{15};
  // If true, a holder's transfers run one after another, and an engine waits
  // for its fetches until the deadline that the request names. If false,
  // transfers run in parallel, and a fetch that would end after the deadline
  // isn't started.
  bool serialize_transfers = false;
};

struct EngineJob {
  AttemptPlan plan;
  PromptTraits prompt;
  std::function<void()> on_first_token;
  std::function<void()> on_end;
};

class EngineModel : public HolderModel {
 public:
  EngineModel(Simulation& simulation,
              const EngineOptions& options,
              Holders& holders,
              std::map<NetAddress, StoreModel*>& stores,
              PrefillCounts& counts)
      : simulation_(simulation),
        options_(options),
        holders_(holders),
        stores_(stores),
        counts_(counts) {}

  void Submit(EngineJob job);
  // Drops the cache and starts no prefill for `load_time`.
  void LoadWeights(Milliseconds load_time);

  [[nodiscard]] bool Holds(const std::string& scope,
                           const std::string& part) const override;
  [[nodiscard]] double link_rate() const override { return 2500; }
  [[nodiscard]] int most_running() const { return most_running_; }

 private:
  // Parts in memory, least recently used first.
  struct CachedPart {
    std::string scope;
    PromptPart part;
    int users = 0;
  };
  using Cache = std::list<CachedPart>;

  void StartNext();
  void StartPrefill(EngineJob job);
  void OnPrefillEnd(const EngineJob& job);
  void OnEnd(const EngineJob& job);
  // Returns the milliseconds until the fetched parts have arrived; adds the
  // tokens to prefill to `uncached_tokens`.
  double FetchOrPrefill(const EngineJob& job, double& uncached_tokens);
  [[nodiscard]] bool TryFetch(const EngineJob& job,
                              std::size_t index,
                              double& fetch_ms) const;
  // Same as TryFetch for `serialize_transfers`.
  [[nodiscard]] bool TryQueuedFetch(const EngineJob& job,
                                    std::size_t index,
                                    HolderModel& holder,
                                    double& fetch_ms) const;
  void CountPrefill(const std::string& scope, const PromptPart& part);
  [[nodiscard]] Cache::iterator Find(const std::string& scope,
                                     const std::string& part);
  void Touch(const std::string& scope, const PromptPart& part);
  void EvictUnused();
  void Evict(Cache::iterator part);
  [[nodiscard]] static Tokens UnsharedTokens(const EngineJob& job);

  Simulation& simulation_;
  EngineOptions options_;
  Holders& holders_;
  std::map<NetAddress, StoreModel*>& stores_;
  PrefillCounts& counts_;
  std::deque<EngineJob> waiting_;
  Cache cache_;
  Tokens cached_tokens_ = 0;
  // Tokens that belong to running requests only.
  Tokens running_tokens_ = 0;
  int running_ = 0;
  int most_running_ = 0;
  bool prefilling_ = false;
  bool loading_ = false;
};

}  // namespace carobshift

#endif  // BENCHMARKS_GATEWAY_HOLDER_MODEL_H_
