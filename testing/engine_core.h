// The stand-in engine's continuous batching: one scheduler thread makes steps,
// each of which prefills some tokens and decodes one token for each running
// sequence, and takes as long as its cost model says.
//
//   EngineCore core(costs, cache_blocks);
//   auto sequence = core.Submit(work);
//   while (auto token = sequence->Next(timeout)) ...

#ifndef TESTING_ENGINE_CORE_H_
#define TESTING_ENGINE_CORE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "carobshift/cache/block_chain.h"
#include "testing/answer_function.h"
#include "testing/prefix_cache.h"

namespace carobshift {

// Cost model: a step takes step + prefilled tokens * prefill + decoding
// sequences * decode.
struct EngineCosts {
  Microseconds step{8000};
  Microseconds decode{20};
  Microseconds prefill{100};
  Tokens prefill_per_step = 512;
  std::size_t max_running = 64;
};

// One run. Fields are guarded by the core's mutex once submitted.
struct EngineSequence {
  CacheNamespace cache_namespace;
  std::string prompt;
  AnswerFunction answer{"", "", "", ""};
  // Index of the first token to generate, and one past the last.
  Tokens next = 0;
  Tokens end = 0;
  int priority = 0;
  Tokens imported_blocks = 0;

  // Set when the prefill begins.
  Tokens cached_tokens = 0;
  Tokens prefill_left = 0;
  bool prefilled = false;
  Tokens generated = 0;
  bool cancelled = false;
  std::condition_variable changed;
};

struct EngineLoad {
  int running = 0;
  int queued = 0;
  Tokens queued_prefill_tokens = 0;
};

class EngineCore {
 public:
  EngineCore(const EngineCosts& costs, std::size_t cache_blocks);
  ~EngineCore();
  EngineCore(const EngineCore&) = delete;
  EngineCore& operator=(const EngineCore&) = delete;

  void Submit(const std::shared_ptr<EngineSequence>& sequence);
  // Waits until tokens beyond `have` are generated, up to `wait`; returns how
  // many there are now. `prefilled` tells whether the run has started.
  Tokens Await(EngineSequence& sequence,
               Tokens have,
               Milliseconds wait,
               bool& prefilled);
  void Cancel(const std::shared_ptr<EngineSequence>& sequence);

  [[nodiscard]] EngineLoad Load() const;
  // Runs `use` with the cache, under the lock.
  void WithCache(const std::function<void(PrefixCache&)>& use);
  // Multiplies all costs, for a slow engine.
  void set_slowdown(std::int64_t factor);

 private:
  using Sequences = std::deque<std::shared_ptr<EngineSequence>>;

  void RunSteps(const std::stop_token& stop);
  void StartQueued();
  // What the next step does to each sequence, and its cost.
  Microseconds PlanStep(std::vector<Tokens>& prefill) const;
  void ApplyStep(const std::vector<Tokens>& prefill);
  void Finish(EngineSequence& sequence);

  const EngineCosts costs_;
  mutable std::mutex mutex_;
  std::condition_variable_any work_;
  PrefixCache cache_;
  // By priority, then arrival.
  Sequences queued_;
  Sequences running_;
  std::int64_t slowdown_ = 1;
  std::jthread steps_;
};

}  // namespace carobshift

#endif  // TESTING_ENGINE_CORE_H_
