#include "testing/engine_core.h"

#include <algorithm>
#include <utility>

namespace carobshift {

EngineCore::EngineCore(const EngineCosts& costs, std::size_t cache_blocks)
    : costs_(costs),
      cache_(cache_blocks),
      scheduler_([this](const std::stop_token& stop) { RunSteps(stop); }) {}

EngineCore::~EngineCore() = default;

void EngineCore::Submit(const std::shared_ptr<EngineSequence>& sequence) {
  {
    const std::lock_guard lock(mutex_);
    const auto position =
        std::find_if(queued_.begin(), queued_.end(), [&](const auto& other) {
          return other->priority > sequence->priority;
        });
    queued_.insert(position, sequence);
  }
  work_available_.notify_all();
}

Tokens EngineCore::WaitForTokens(EngineSequence& sequence,
                                 Tokens received,
                                 Milliseconds timeout,
                                 bool& prefilled) {
  std::unique_lock lock(mutex_);
  sequence.changed.wait_for(lock, timeout, [&] {
    return sequence.generated > received || sequence.prefilled != prefilled;
  });
  prefilled = sequence.prefilled;
  return sequence.generated;
}

void EngineCore::Cancel(const std::shared_ptr<EngineSequence>& sequence) {
  const std::lock_guard lock(mutex_);
  sequence->cancelled = true;
  std::erase(queued_, sequence);
}

EngineLoad EngineCore::Load() const {
  const std::lock_guard lock(mutex_);
  EngineLoad load;
  load.running = static_cast<int>(running_.size());
  load.queued = static_cast<int>(queued_.size());
  for (const auto& sequence : queued_)
    load.queued_prefill_tokens += EstimateTokens(sequence->prompt);
  return load;
}

void EngineCore::WithCache(const std::function<void(PrefixCache&)>& callback) {
  const std::lock_guard lock(mutex_);
  callback(cache_);
}

void EngineCore::set_slowdown(std::int64_t factor) {
  const std::lock_guard lock(mutex_);
  slowdown_ = std::max<std::int64_t>(1, factor);
}

void EngineCore::RunSteps(const std::stop_token& stop) {
  std::unique_lock lock(mutex_);
  MonotonicTime step_end = MonotonicNow();
  while (work_available_.wait(
      lock, stop, [&] { return !queued_.empty() || !running_.empty(); })) {
    std::erase_if(running_, [](const auto& s) { return s->cancelled; });
    StartQueued();
    std::vector<Tokens> prefill(running_.size(), 0);
    // A step starts at the end of the previous step unless the engine was idle.
    step_end =
        std::max(step_end, MonotonicNow() - costs_.step) + PlanStep(prefill);
    lock.unlock();
    std::this_thread::sleep_until(step_end);
    lock.lock();
    ApplyStep(prefill);
  }
}

void EngineCore::StartQueued() {
  while (!queued_.empty() && running_.size() < costs_.max_running) {
    std::shared_ptr<EngineSequence> sequence = std::move(queued_.front());
    queued_.pop_front();
    const auto chain = BlockChain(sequence->cache_namespace, sequence->prompt);
    const Tokens tokens = EstimateTokens(sequence->prompt);
    // At least one prompt token is computed, because the first output token
    // needs it.
    sequence->cached_tokens = std::min(
        static_cast<Tokens>(cache_.Match(chain)) * kBlockTokens, tokens - 1);
    sequence->prefill_left = tokens - sequence->cached_tokens;
    running_.push_back(std::move(sequence));
  }
}

Microseconds EngineCore::PlanStep(std::vector<Tokens>& prefill) const {
  Tokens prefill_budget = costs_.prefill_per_step;
  Microseconds cost = costs_.step;
  for (std::size_t i = 0; i < running_.size(); ++i) {
    prefill[i] = std::min(running_[i]->prefill_left, prefill_budget);
    prefill_budget -= prefill[i];
    cost += costs_.prefill * prefill[i];
    if (running_[i]->prefilled)
      cost += costs_.decode;
  }
  return cost * slowdown_;
}

void EngineCore::ApplyStep(const std::vector<Tokens>& prefill) {
  for (std::size_t i = 0; i < prefill.size(); ++i) {
    EngineSequence& sequence = *running_[i];
    sequence.prefill_left -= prefill[i];
    if (sequence.cancelled || sequence.prefill_left > 0)
      continue;
    if (!sequence.prefilled) {
      sequence.prefilled = true;
      cache_.Insert(BlockChain(sequence.cache_namespace, sequence.prompt));
    }
    if (sequence.next + sequence.generated < sequence.end)
      ++sequence.generated;
    if (sequence.next + sequence.generated >= sequence.end)
      Finish(sequence);
    sequence.changed.notify_all();
  }
  std::erase_if(running_, [](const auto& s) {
    return s->prefilled && s->next + s->generated >= s->end;
  });
}

void EngineCore::Finish(EngineSequence& sequence) {
  std::string text = sequence.prompt;
  for (Tokens i = sequence.next; i < sequence.end; ++i)
    text += sequence.answer.Token(i);
  cache_.Insert(BlockChain(sequence.cache_namespace, text));
}

}  // namespace carobshift
