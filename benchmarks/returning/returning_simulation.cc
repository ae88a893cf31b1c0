#include "benchmarks/returning/returning_simulation.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "benchmarks/returning/conversation_workload.h"
#include "carobshift/cache/cache_transfer_planner.h"

namespace carobshift {
namespace {

constexpr Bytes kKvBytesPerToken = 131072;
constexpr double kPrefillTokensPerSecond = 8000;
constexpr Microseconds kStep{8000};
constexpr Microseconds kRoundTrip{2000};
constexpr Seconds kStatusInterval{5};
constexpr Seconds kPlanInterval{1};
constexpr Seconds kStoreDownTime{600};
constexpr double kGigabyte = 1e9;
constexpr std::uint64_t kMicrosPerMinute = 60000000;

// Block hashes of a prompt: `high` identifies the conversation, the other word
// is the block's index.
std::vector<BlockHash> ChainOf(int conversation, Tokens tokens) {
  std::vector<BlockHash> chain;
  const auto blocks = static_cast<std::uint64_t>(tokens / kBlockTokens);
  for (std::uint64_t i = 1; i <= blocks; ++i)
    chain.push_back({static_cast<std::uint64_t>(conversation) + 1, i});
  return chain;
}

Microseconds PrefillTime(Tokens tokens) {
  return Microseconds(static_cast<std::int64_t>(static_cast<double>(tokens) /
                                                kPrefillTokensPerSecond * 1e6));
}

// A link that runs one transfer after another at its actual rate.
class Link {
 public:
  MonotonicTime Transfer(Bytes bytes, double rate, MonotonicTime at) {
    const MonotonicTime begin = std::max(at, free_at_);
    const auto micros = static_cast<double>(bytes) / rate * 1e6;
    free_at_ = begin + Microseconds(static_cast<std::int64_t>(micros));
    // Attributes the bytes to the minutes in which they are transferred.
    const double rate_per_micro = rate / 1e6;
    for (MonotonicTime t = begin; t < free_at_;) {
      const auto since =
          static_cast<std::uint64_t>(t.time_since_epoch().count());
      const std::uint64_t minute = since / kMicrosPerMinute;
      const MonotonicTime next{Microseconds(
          static_cast<std::int64_t>((minute + 1) * kMicrosPerMinute))};
      const MonotonicTime until = std::min(next, free_at_);
      minutes_[minute] +=
          rate_per_micro * static_cast<double>((until - t).count());
      t = until;
    }
    return free_at_;
  }
  [[nodiscard]] double BusiestMinute() const {
    double most = 0;
    for (const auto& [minute, bytes] : minutes_)
      most = std::max(most, bytes);
    return most;
  }

 private:
  MonotonicTime free_at_{};
  std::unordered_map<std::uint64_t, double> minutes_;
};

struct FakeStore {
  StoreId id;
  Link link;
  std::uint64_t generation = 1;
  bool alive = true;
  std::map<std::string, Bytes> objects;
  Bytes used = 0;
};

struct EngineBlocks {
  Tokens tokens = 0;
  MonotonicTime used_at;
};

class Simulation {
 public:
  Simulation(const ReturningScenario& scenario, std::string_view strategy)
      : scenario_(scenario),
        planner_(OptionsFor(scenario, strategy)),
        measure_from_(MonotonicTime{} + scenario.warm_up),
        middle_(measure_from_ + scenario.measured / 2) {
    for (int i = 0; i < scenario.stores; ++i) {
      stores_.push_back(
          {StoreId("store-" + std::to_string(i)), {}, 1, true, {}, 0});
      planner_.stores().Declare(stores_.back().id, scenario.link_budget);
    }
  }

  ReturningReport Run(const std::vector<Turn>& turns) {
    for (const Turn& turn : turns) {
      AdvanceTo(turn.at);
      Serve(turn);
    }
    return Report();
  }

 private:
  struct Event {
    MonotonicTime at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  static CacheTransferPlannerOptions OptionsFor(
      const ReturningScenario& scenario,
      std::string_view strategy) {
    CacheTransferPlannerOptions options;
    options.strategy = &ExportStrategyNamed(strategy);
    options.engine_residence = scenario.engine_residence;
    options.prefill_tokens_per_second = kPrefillTokensPerSecond;
    return options;
  }

  void At(MonotonicTime at, std::function<void()> run) {
    events_.push({at, next_order_++, std::move(run)});
  }

  void AdvanceTo(MonotonicTime until) {
    while (true) {
      const MonotonicTime tick = std::min(next_plan_, next_status_);
      const MonotonicTime event = events_.empty() ? until : events_.top().at;
      const MonotonicTime next = std::min(tick, event);
      if (next >= until)
        break;
      now_ = next;
      if (event <= tick) {
        const auto run = events_.top().run;
        events_.pop();
        run();
      } else if (next_status_ <= next_plan_) {
        next_status_ += kStatusInterval;
        PollStores();
      } else {
        next_plan_ += kPlanInterval;
        Plan();
      }
    }
    now_ = until;
  }

  double LinkRate() const {
    const double speed =
        now_ < middle_ ? scenario_.link_speed : scenario_.late_link_speed;
    return static_cast<double>(scenario_.link_budget) * speed;
  }

  FakeStore& StoreOf(const StoreId& id) {
    return *std::ranges::find(stores_, id, &FakeStore::id);
  }

  void PollStores() {
    FakeStore& first = stores_.front();
    if (scenario_.store_dies && first.generation == 1 && now_ >= middle_) {
      first.alive = false;
      if (now_ >= middle_ + kStoreDownTime) {
        first.alive = true;
        ++first.generation;
        first.objects.clear();
        first.used = 0;
      }
    }
    for (const FakeStore& store : stores_) {
      Result<StoreStatus> status(Error{ResultCode::kStoreUnavailable, "dead"});
      if (store.alive) {
        status = StoreStatus{store.generation, store.used,
                             scenario_.store_capacity, 0, 0};
      }
      planner_.OnStoreStatus(store.id, status, now_);
    }
  }

  void Plan() {
    const PlannedTransfers moves = planner_.NextTransfers(now_);
    for (const BlockHandle& handle : moves.drops) {
      FakeStore& store = StoreOf(handle.store);
      const auto it = store.objects.find(handle.object);
      if (it == store.objects.end())
        continue;
      store.used -= it->second;
      store.objects.erase(it);
    }
    for (const ExportMove& move : moves.exports)
      Export(move);
  }

  void Export(const ExportMove& move) {
    FakeStore& store = StoreOf(move.store);
    if (!store.alive) {
      AnswerExport(move, Error{ResultCode::kStoreUnavailable, ""}, now_);
      return;
    }
    const auto held =
        engine_.find(static_cast<int>(move.blocks.front().high) - 1);
    if (held == engine_.end() ||
        now_ - held->second.used_at > scenario_.engine_residence) {
      AnswerExport(move, Error{ResultCode::kBlockRejected, ""}, now_);
      return;
    }
    if (store.used + move.bytes > scenario_.store_capacity) {
      AnswerExport(move, Error{ResultCode::kStoreFull, ""}, now_);
      return;
    }
    store.used += move.bytes;
    const std::string object = std::to_string(++last_object_);
    store.objects[object] = move.bytes;
    if (now_ >= measure_from_)
      report_.exported_gb += static_cast<double>(move.bytes) / kGigabyte;
    const BlockHandle handle{
        move.store,
        store.generation,
        1,
        object,
        move.blocks.back(),
        static_cast<Tokens>(move.blocks.size()) * kBlockTokens,
        move.bytes};
    AnswerExport(move, handle,
                 store.link.Transfer(move.bytes, LinkRate(), now_));
  }

  void AnswerExport(const ExportMove& move,
                    const Result<BlockHandle>& answer,
                    MonotonicTime at) {
    At(at, [this, move, answer] {
      planner_.OnExportEnd(move.id, move.transfer, answer, now_);
    });
  }

  // Tokens and duration of an import; zero if none was made.
  struct Imported {
    Tokens tokens = 0;
    Microseconds time{0};
  };

  Imported TryImport(const ConversationKey& key,
                     const std::vector<BlockHash>& chain) {
    const auto option = planner_.BestImport(key, Namespace(), chain, now_);
    const auto recompute = std::chrono::duration_cast<Milliseconds>(
        PrefillTime(option.has_value() ? option->tokens : 0));
    if (!option.has_value() || !ShouldImport(option->transfer, recompute))
      return {};
    FakeStore& store = StoreOf(option->store);
    if (const auto pin = planner_.BeginPin(*option, Namespace(), chain, now_)) {
      Status answer;
      if (!store.alive)
        answer = Error{ResultCode::kStoreUnavailable, ""};
      else if (!store.objects.contains(pin->handle.object))
        answer = Error{ResultCode::kBlockRejected, ""};
      planner_.OnPinEnd(*pin, answer, now_);
    }
    const auto grant = planner_.BeginImport(*option, Namespace(), chain,
                                            Milliseconds(0), now_);
    if (!grant.has_value())
      return {};
    const MonotonicTime end = store.link.Transfer(
        grant->handle.bytes, LinkRate(), now_ + grant->wait);
    At(end, [this, grant] {
      planner_.EndImport(*grant, ImportOutcome::kImported, now_);
    });
    CountImport(grant->handle, end - now_);
    return {grant->handle.tokens, end - now_ + kRoundTrip};
  }

  void CountImport(const BlockHandle& handle, Microseconds time) {
    if (now_ < measure_from_)
      return;
    ++report_.imports;
    report_.imported_gb += static_cast<double>(handle.bytes) / kGigabyte;
    const Microseconds lost = time - PrefillTime(handle.tokens);
    if (lost > Microseconds(0)) {
      ++report_.slower_imports;
      report_.lost_seconds += static_cast<double>(lost.count()) / 1e6;
    }
  }

  void Serve(const Turn& turn) {
    const ConversationKey key{
        AccountId("a"), ConversationId(std::to_string(turn.conversation))};
    const auto chain = ChainOf(turn.conversation, turn.prompt_tokens);
    EngineBlocks& held = engine_[turn.conversation];
    Tokens cached = 0;
    if (now_ - held.used_at <= scenario_.engine_residence)
      cached = held.tokens;
    Imported imported;
    if (cached == 0)
      imported = TryImport(key, chain);
    const Tokens reused = std::max(cached, imported.tokens);
    if (turn.number > 1 && now_ >= measure_from_) {
      const Tokens before = turn.prompt_tokens;
      prompt_tokens_ += static_cast<double>(before);
      recomputed_tokens_ += static_cast<double>(before - reused);
      const Microseconds first =
          turn.wait + imported.time + PrefillTime(before - reused) + kStep;
      first_tokens_.push_back(static_cast<double>(first.count()) / 1000);
    }
    held = {turn.prompt_tokens, now_};
    planner_.OnTurnEnd(
        {key, EndpointId("engine"), Namespace(), chain, kKvBytesPerToken},
        now_);
  }

  static const CacheNamespace& Namespace() {
    static const CacheNamespace kNamespace("simulated");
    return kNamespace;
  }

  ReturningReport Report() {
    std::sort(first_tokens_.begin(), first_tokens_.end());
    report_.returns = first_tokens_.size();
    if (!first_tokens_.empty()) {
      report_.first_token_p50_ms = first_tokens_[first_tokens_.size() / 2];
      report_.first_token_p95_ms =
          first_tokens_[first_tokens_.size() * 95 / 100];
      report_.recomputed_share = recomputed_tokens_ / prompt_tokens_;
    }
    for (const FakeStore& store : stores_) {
      report_.busiest_minute =
          std::max(report_.busiest_minute,
                   store.link.BusiestMinute() /
                       (60.0 * static_cast<double>(scenario_.link_budget)));
    }
    report_.evictions = planner_.Stats().evictions;
    return report_;
  }

  const ReturningScenario scenario_;
  CacheTransferPlanner planner_;
  const MonotonicTime measure_from_;
  const MonotonicTime middle_;
  std::vector<FakeStore> stores_;
  std::unordered_map<int, EngineBlocks> engine_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t next_order_ = 0;
  std::uint64_t last_object_ = 0;
  MonotonicTime now_{};
  MonotonicTime next_plan_{};
  MonotonicTime next_status_{};
  std::vector<double> first_tokens_;
  double prompt_tokens_ = 0;
  double recomputed_tokens_ = 0;
  ReturningReport report_;
};

}  // namespace

ReturningReport SimulateReturns(const ReturningScenario& scenario,
                                std::string_view strategy,
                                std::uint64_t seed) {
  return Simulation(scenario, strategy).Run(MakeTurns(scenario, seed));
}

}  // namespace carobshift
