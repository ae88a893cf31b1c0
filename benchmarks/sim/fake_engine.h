// A model of an engine in virtual time: a queue, slots for running requests,
// one prefill at a time, decode at a fixed rate, and a prefix cache with LRU
// eviction.
//
//   FakeEngine engine(loop, "engine-1");
//   engine.Submit(job);
//
// The fault setters take effect between events.

#ifndef BENCHMARKS_SIM_FAKE_ENGINE_H_
#define BENCHMARKS_SIM_FAKE_ENGINE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "benchmarks/sim/event_loop.h"
#include "carobshift/base/ids.h"
#include "carobshift/base/result_code.h"
#include "carobshift/external/engine.h"

namespace carobshift {

inline constexpr int kEngineSlots = 16;
inline constexpr double kEnginePrefillTokensPerSecond = 8000;
inline constexpr Microseconds kDecodeInterval{16667};
inline constexpr Tokens kEngineCacheTokens = 400000;

struct EngineJob {
  // Identifies the cacheable prefix, and its length.
  std::uint64_t prefix = 0;
  Tokens prefix_tokens = 0;
  Tokens prompt_tokens = 0;
  Tokens decode_tokens = 0;
  // Whether the prefix is imported from a store, and when the import arrives.
  bool imported = false;
  MonotonicTime import_ready{};
  bool crashes_engine = false;
  std::function<void(Tokens cached)> on_first_token;
  // Called with kOk or the failure.
  std::function<void(ResultCode)> on_end;
};

class FakeEngine {
 public:
  FakeEngine(EventLoop& loop, std::string id);

  // Returns the number that cancels the job.
  std::uint64_t Submit(EngineJob job);
  void Cancel(std::uint64_t number);

  // Crash() fails all running requests. Restart() brings the engine back with
  // an empty cache.
  void Crash();
  void Restart();
  void set_slowdown(double factor) { slowdown_ = factor; }
  void set_stalled(bool stalled) { stalled_ = stalled; }
  // A leaving engine reports itself as leaving and refuses new requests;
  // running requests continue.
  void set_leaving(bool leaving) { leaving_ = leaving; }
  void ClearCache();

  [[nodiscard]] EngineStatus Status() const;
  [[nodiscard]] bool alive() const { return alive_; }
  [[nodiscard]] bool idle() const { return jobs_.empty(); }
  [[nodiscard]] bool stalled() const { return stalled_; }
  [[nodiscard]] Tokens CachedTokens(std::uint64_t prefix) const;
  [[nodiscard]] const EndpointId& id() const { return id_; }

 private:
  struct Running {
    EngineJob job;
    bool started = false;
    bool decoding = false;
  };

  void StartQueued();
  void Start(std::uint64_t number);
  void OnPrefilled(std::uint64_t number, Tokens cached);
  void OnDecoded(std::uint64_t number);
  void Touch(std::uint64_t prefix, Tokens tokens);
  [[nodiscard]] Microseconds ScaledTime(double seconds) const;

  EventLoop& loop_;
  EndpointId id_;
  bool alive_ = true;
  bool stalled_ = false;
  bool leaving_ = false;
  double slowdown_ = 1;
  std::uint64_t incarnation_ = 1;
  std::uint64_t next_number_ = 1;
  int running_count_ = 0;
  MonotonicTime prefill_idle_at_{};
  std::unordered_map<std::uint64_t, Running> jobs_;
  std::list<std::uint64_t> queue_;
  // Prefixes, least recently used first.
  std::list<std::uint64_t> lru_;
  struct Cached {
    Tokens tokens = 0;
    std::list<std::uint64_t>::iterator lru_position;
  };
  std::unordered_map<std::uint64_t, Cached> cache_;
  Tokens cached_tokens_ = 0;
};

}  // namespace carobshift

#endif  // BENCHMARKS_SIM_FAKE_ENGINE_H_
