#include "benchmarks/sim/fake_engine.h"

#include <algorithm>
#include <utility>

namespace carobshift {

namespace {

constexpr Microseconds kConnectTime{1000};

}  // namespace

FakeEngine::FakeEngine(EventLoop& loop, std::string id)
    : loop_(loop), id_(std::move(id)) {}

std::uint64_t FakeEngine::Submit(EngineJob job) {
  const std::uint64_t number = next_number_++;
  if (!alive_ || leaving_) {
    const ResultCode code =
        alive_ ? ResultCode::kEndpointRefused : ResultCode::kNoEndpoint;
    loop_.After(kConnectTime, [on_end = job.on_end, code] { on_end(code); });
    return number;
  }
  jobs_.emplace(number, Running{.job = std::move(job)});
  queue_.push_back(number);
  StartQueued();
  return number;
}

void FakeEngine::Cancel(std::uint64_t number) {
  const auto it = jobs_.find(number);
  if (it == jobs_.end())
    return;
  if (it->second.started)
    --running_count_;
  else
    queue_.remove(number);
  jobs_.erase(it);
  StartQueued();
}

void FakeEngine::Crash() {
  auto jobs = std::move(jobs_);
  jobs_.clear();
  queue_.clear();
  running_count_ = 0;
  alive_ = false;
  ClearCache();
  for (auto& [number, running] : jobs) {
    loop_.After(kConnectTime, [on_end = running.job.on_end] {
      on_end(ResultCode::kEndpointFailed);
    });
  }
}

void FakeEngine::Restart() {
  alive_ = true;
  ++incarnation_;
  prefill_idle_at_ = loop_.now();
}

void FakeEngine::ClearCache() {
  lru_.clear();
  cache_.clear();
  cached_tokens_ = 0;
}

EngineStatus FakeEngine::Status() const {
  EngineStatus status;
  status.incarnation = incarnation_;
  status.state = leaving_ ? EngineState::kLeaving : EngineState::kReady;
  status.running = running_count_;
  status.queued = static_cast<int>(queue_.size());
  for (const std::uint64_t number : queue_)
    status.queued_prefill_tokens += jobs_.at(number).job.prompt_tokens;
  const auto prefilling = std::chrono::duration<double>(
      std::max(Microseconds(0), prefill_idle_at_ - loop_.now()));
  status.queued_prefill_tokens +=
      static_cast<Tokens>(prefilling.count() * kEnginePrefillTokensPerSecond);
  return status;
}

Tokens FakeEngine::CachedTokens(std::uint64_t prefix) const {
  const auto it = cache_.find(prefix);
  return it == cache_.end() ? 0 : it->second.tokens;
}

void FakeEngine::StartQueued() {
  while (!queue_.empty() && running_count_ < kEngineSlots) {
    const std::uint64_t number = queue_.front();
    queue_.pop_front();
    Start(number);
  }
}

void FakeEngine::Start(std::uint64_t number) {
  Running& running = jobs_.at(number);
  running.started = true;
  ++running_count_;
  if (stalled_)
    return;
  EngineJob& job = running.job;
  Tokens cached = std::min(CachedTokens(job.prefix), job.prefix_tokens);
  MonotonicTime begin = std::max(loop_.now(), prefill_idle_at_);
  if (job.imported && cached < job.prefix_tokens) {
    cached = job.prefix_tokens;
    begin = std::max(begin, job.import_ready);
  }
  const auto prefill = static_cast<double>(job.prompt_tokens - cached);
  prefill_idle_at_ =
      begin + ScaledTime(prefill / kEnginePrefillTokensPerSecond);
  loop_.At(prefill_idle_at_ + ScaledTime(0.0167), [this, number, cached] {
    if (jobs_.contains(number) && !stalled_)
      OnPrefilled(number, cached);
  });
}

void FakeEngine::OnPrefilled(std::uint64_t number, Tokens cached) {
  Running& running = jobs_.at(number);
  if (running.job.crashes_engine) {
    Crash();
    return;
  }
  Touch(running.job.prefix, running.job.prefix_tokens);
  const auto tokens = static_cast<double>(running.job.decode_tokens);
  loop_.After(
      ScaledTime(tokens *
                 std::chrono::duration<double>(kDecodeInterval).count()),
      [this, number] {
        if (jobs_.contains(number) && !stalled_)
          OnDecoded(number);
      });
  running.job.on_first_token(cached);
}

void FakeEngine::OnDecoded(std::uint64_t number) {
  const auto on_end = jobs_.at(number).job.on_end;
  jobs_.erase(number);
  --running_count_;
  StartQueued();
  on_end(ResultCode::kOk);
}

void FakeEngine::Touch(std::uint64_t prefix, Tokens tokens) {
  if (const auto it = cache_.find(prefix); it != cache_.end()) {
    cached_tokens_ -= it->second.tokens;
    lru_.erase(it->second.lru_position);
    cache_.erase(it);
  }
  lru_.push_back(prefix);
  cache_[prefix] = {tokens, std::prev(lru_.end())};
  cached_tokens_ += tokens;
  while (cached_tokens_ > kEngineCacheTokens) {
    const auto oldest = cache_.find(lru_.front());
    cached_tokens_ -= oldest->second.tokens;
    cache_.erase(oldest);
    lru_.pop_front();
  }
}

Microseconds FakeEngine::ScaledTime(double seconds) const {
  return Microseconds(static_cast<std::int64_t>(seconds * slowdown_ * 1e6));
}

}  // namespace carobshift
