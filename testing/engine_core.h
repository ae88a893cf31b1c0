// Simulates continuous batching for the stand-in engine. A scheduler thread
// runs steps; each step prefills some tokens, decodes one token for every
// running sequence, and takes the time that the cost model gives.
//
//   EngineCore core(costs, cache_blocks);
//   core.Submit(sequence);
//   bool prefilled = false;
//   Tokens ready = core.WaitForTokens(*sequence, 0, timeout, prefilled);

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

// Cost model: step time = step + prefilled tokens * prefill + decoding
// sequences * decode.
struct EngineCosts {
  Microseconds step{8000};
  Microseconds decode{20};
  Microseconds prefill{100};
  Tokens prefill_per_step = 512;
  std::size_t max_running = 64;
};

// One request in the engine. After Submit() the fields are guarded by the mutex
// of EngineCore.
struct EngineSequence {
  CacheNamespace cache_namespace;
  std::string prompt;
  AnswerFunction answer{"", "", "", ""};
  // Index of the first token to generate, and one past the last.
  Tokens next = 0;
  Tokens end = 0;
  int priority = 0;
  Tokens imported_blocks = 0;

  // The scheduler sets these from the start of the prefill on.
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

// Thread-safe.
class EngineCore {
 public:
  EngineCore(const EngineCosts& costs, std::size_t cache_blocks);
  ~EngineCore();
  EngineCore(const EngineCore&) = delete;
  EngineCore& operator=(const EngineCore&) = delete;

  void Submit(const std::shared_ptr<EngineSequence>& sequence);
  // Waits up to `timeout` until more than `received` tokens are generated or
  // the prefill state differs from `prefilled`. Returns the number of generated
  // tokens and updates `prefilled`.
  Tokens WaitForTokens(EngineSequence& sequence,
                       Tokens received,
                       Milliseconds timeout,
                       bool& prefilled);
  void Cancel(const std::shared_ptr<EngineSequence>& sequence);

  [[nodiscard]] EngineLoad Load() const;
  // Calls `callback` with the cache while holding the mutex.
  void WithCache(const std::function<void(PrefixCache&)>& callback);
  // Multiplies all costs by `factor` to simulate a slow engine.
  void set_slowdown(std::int64_t factor);

 private:
  using Sequences = std::deque<std::shared_ptr<EngineSequence>>;

  void RunSteps(const std::stop_token& stop);
  void StartQueued();
  // Computes the prefill tokens of each sequence in the next step, and returns
  // the duration of the step.
  Microseconds PlanStep(std::vector<Tokens>& prefill) const;
  void ApplyStep(const std::vector<Tokens>& prefill);
  void Finish(EngineSequence& sequence);

  const EngineCosts costs_;
  mutable std::mutex mutex_;
  std::condition_variable_any work_available_;
  PrefixCache cache_;
  // Ordered by priority, then by arrival.
  Sequences queued_;
  Sequences running_;
  std::int64_t slowdown_ = 1;
  std::jthread scheduler_;
};

}  // namespace carobshift

#endif  // TESTING_ENGINE_CORE_H_
