#include "benchmarks/gateway/holder_model.h"

#include <algorithm>
#include <utility>

namespace carobshift {
namespace {

std::string Key(const std::string& scope, const std::string& part) {
  return scope + '\n' + part;
}

Microseconds FromMs(double ms) {
  constexpr double kMicrosecondsPerMs = 1000;
  return Microseconds(static_cast<std::int64_t>(ms * kMicrosecondsPerMs));
}

}  // namespace

void HolderLog::Append(const StoreEvent& event, MonotonicTime now) {
  events_.push_back(event);
  times_.push_back(now);
}

MonotonicTime HolderModel::TransferEnd(Tokens tokens, MonotonicTime now) const {
  return std::max(now, busy_until_) +
         FromMs(static_cast<double>(tokens) / link_rate());
}

StoreEvents HolderLog::After(std::uint64_t since, MonotonicTime now) const {
  StoreEvents out;
  out.epoch = 1;
  out.next = since;
  for (std::size_t i = since; i < events_.size() && times_[i] + kLag <= now;
       ++i) {
    out.events.push_back(events_[i]);
    out.next = i + 1;
  }
  out.clock = WallTime(
      std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()));
  return out;
}

void StoreModel::Save(const std::string& scope, const PromptPart& part) {
  const std::string key = Key(scope, part.id);
  if (parts_.contains(key))
    return;
  if (used_ + part.tokens > capacity_) {
    ++counts_.store_full_saves;
    return;
  }
  used_ += part.tokens;
  parts_[key] = part.tokens;
  log_.Append({true, scope, part.id, part.tokens}, simulation_.now());
}

void StoreModel::Free(const std::vector<StoreEvent>& parts) {
  for (const StoreEvent& part : parts) {
    const auto found = parts_.find(Key(part.scope, part.part));
    if (found == parts_.end())
      continue;
    used_ -= found->second;
    parts_.erase(found);
    log_.Append({false, part.scope, part.part, 0}, simulation_.now());
  }
}

bool StoreModel::Holds(const std::string& scope,
                       const std::string& part) const {
  return parts_.contains(Key(scope, part));
}

Tokens EngineModel::UnsharedTokens(const EngineJob& job) {
  return job.prompt.parts.back().tokens + job.prompt.max_output_tokens;
}

bool EngineModel::Holds(const std::string& scope,
                        const std::string& part) const {
  return std::any_of(cache_.begin(), cache_.end(), [&](const auto& cached) {
    return cached.scope == scope && cached.part.id == part;
  });
}

EngineModel::Cache::iterator EngineModel::Find(const std::string& scope,
                                               const std::string& part) {
  return std::find_if(cache_.begin(), cache_.end(), [&](const auto& cached) {
    return cached.scope == scope && cached.part.id == part;
  });
}

void EngineModel::Submit(EngineJob job) {
  waiting_.push_back(std::move(job));
  StartNext();
}

void EngineModel::LoadWeights(Milliseconds load_time) {
  loading_ = true;
  for (auto it = cache_.begin(); it != cache_.end();) {
    const auto part = it++;
    Evict(part);
  }
  simulation_.After(load_time, [this] {
    loading_ = false;
    StartNext();
  });
}

void EngineModel::StartNext() {
  if (prefilling_ || loading_ || waiting_.empty())
    return;
  // Memory of running requests can't be evicted.
  Tokens pinned = running_tokens_;
  for (const CachedPart& cached : cache_)
    pinned += cached.users > 0 ? cached.part.tokens : 0;
  if (running_ > 0 &&
      pinned + waiting_.front().prompt.prompt_tokens > options_.kv_capacity)
    return;
  EngineJob job = std::move(waiting_.front());
  waiting_.pop_front();
  StartPrefill(std::move(job));
}

bool EngineModel::TryFetch(const EngineJob& job,
                           std::size_t index,
                           double& fetch_ms) const {
  const AttemptFields& fields = job.plan.fields;
  if (index >= fields.fetch_from.size() || !fields.fetch_from[index])
    return false;
  const auto holder = holders_.find(*fields.fetch_from[index]);
  const PromptPart& part = job.prompt.parts[index];
  if (holder == holders_.end() ||
      !holder->second->Holds(fields.cache_scope, part.id))
    return false;
  if (options_.serialize_transfers)
    return TryQueuedFetch(job, index, *holder->second, fetch_ms);
  const double end =
      fetch_ms + static_cast<double>(part.tokens) / holder->second->link_rate();
  const auto now = std::chrono::duration_cast<Milliseconds>(
      simulation_.now().time_since_epoch());
  if (fields.fetch_until && now + Milliseconds(static_cast<std::int64_t>(end)) >
                                fields.fetch_until->time_since_epoch())
    return false;
  fetch_ms = end;
  return true;
}

bool EngineModel::TryQueuedFetch(const EngineJob& job,
                                 std::size_t index,
                                 HolderModel& holder,
                                 double& fetch_ms) const {
  const MonotonicTime now = simulation_.now();
  const MonotonicTime end = holder.TransferEnd(job.prompt.parts[index].tokens,
                                               now + FromMs(fetch_ms));
  const auto& until = job.plan.fields.fetch_until;
  const bool too_late =
      until && end.time_since_epoch() > until->time_since_epoch();
  if (!too_late)
    holder.ReserveUntil(end);
  const Microseconds waited =
      too_late
          ? std::max(Microseconds(0), Microseconds(until->time_since_epoch() -
                                                   now.time_since_epoch()))
          : Microseconds(end - now);
  constexpr double kMicrosecondsPerMillisecond = 1000;
  fetch_ms = std::max(fetch_ms, static_cast<double>(waited.count()) /
                                    kMicrosecondsPerMillisecond);
  return !too_late;
}

void EngineModel::CountPrefill(const std::string& scope,
                               const PromptPart& part) {
  const bool repeated =
      !counts_.prefilled_parts.insert(Key(scope, part.id)).second;
  if (repeated)
    counts_.repeated_tokens += static_cast<double>(part.tokens);
}

double EngineModel::FetchOrPrefill(const EngineJob& job,
                                   double& uncached_tokens) {
  const std::string& scope = job.plan.fields.cache_scope;
  double fetch_ms = 0;
  bool must_prefill = false;
  for (std::size_t i = 0; i + 1 < job.prompt.parts.size(); ++i) {
    const PromptPart& part = job.prompt.parts[i];
    // Attention depends on all earlier tokens, so every part after a prefilled
    // part has to be prefilled too.
    must_prefill = must_prefill || (Find(scope, part.id) == cache_.end() &&
                                    !TryFetch(job, i, fetch_ms));
    if (must_prefill) {
      uncached_tokens += static_cast<double>(part.tokens);
      CountPrefill(scope, part);
    }
    Touch(scope, part);
  }
  return fetch_ms;
}

void EngineModel::StartPrefill(EngineJob job) {
  prefilling_ = true;
  most_running_ = std::max(most_running_, ++running_);
  running_tokens_ += UnsharedTokens(job);
  auto uncached_tokens = static_cast<double>(job.prompt.parts.back().tokens);
  const double fetch_ms = FetchOrPrefill(job, uncached_tokens);
  counts_.prefill_tokens += uncached_tokens;
  simulation_.After(FromMs(fetch_ms + uncached_tokens / options_.prefill_rate),
                    [this, job = std::move(job)] { OnPrefillEnd(job); });
}

void EngineModel::OnPrefillEnd(const EngineJob& job) {
  prefilling_ = false;
  const AttemptFields& fields = job.plan.fields;
  for (std::size_t i = 0; i < fields.save_to.size(); ++i) {
    if (!fields.save_to[i])
      continue;
    if (const auto store = stores_.find(*fields.save_to[i]);
        store != stores_.end())
      store->second->Save(fields.cache_scope, job.prompt.parts[i]);
  }
  job.on_first_token();
  simulation_.After(options_.token_time * job.prompt.max_output_tokens,
                    [this, job] { OnEnd(job); });
  StartNext();
}

void EngineModel::OnEnd(const EngineJob& job) {
  --running_;
  running_tokens_ -= UnsharedTokens(job);
  for (const PromptPart& part : job.prompt.parts) {
    const auto found = Find(job.plan.fields.cache_scope, part.id);
    if (found != cache_.end() && found->users > 0)
      --found->users;
  }
  job.on_end();
  StartNext();
}

void EngineModel::Touch(const std::string& scope, const PromptPart& part) {
  const auto found = Find(scope, part.id);
  if (found != cache_.end()) {
    ++found->users;
    cache_.splice(cache_.end(), cache_, found);
    return;
  }
  cache_.push_back({scope, part, 1});
  cached_tokens_ += part.tokens;
  log_.Append({true, scope, part.id, part.tokens}, simulation_.now());
  EvictUnused();
}

void EngineModel::EvictUnused() {
  auto it = cache_.begin();
  while (cached_tokens_ + running_tokens_ > options_.kv_capacity &&
         it != cache_.end()) {
    const auto part = it++;
    if (part->users == 0)
      Evict(part);
  }
}

void EngineModel::Evict(Cache::iterator part) {
  log_.Append({false, part->scope, part->part.id, 0}, simulation_.now());
  cached_tokens_ -= part->part.tokens;
  cache_.erase(part);
}

}  // namespace carobshift
