// Replays a load against the gateways' decisions in virtual time: instances
// that place, refuse, share what they know and free stores as the product does,
// before engines and stores that are modelled, and callers who count what they
// get.
//
//   LoadReplay replay(options, seed);
//   replay.At(Seconds(5), [&] { replay.NameWeights(2); });
//   const ReplayResult result = replay.Run(Seconds(20));

#ifndef BENCHMARKS_GATEWAY_LOAD_REPLAY_H_
#define BENCHMARKS_GATEWAY_LOAD_REPLAY_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "benchmarks/gateway/holder_model.h"
#include "carobshift/gateway/cache_relay.h"
#include "carobshift/gateway/load_scout.h"
#include "carobshift/gateway/overload_guard.h"
#include "carobshift/gateway/store_cleaner.h"

namespace carobshift {

// Requests of one kind; the first kind is the most urgent.
struct KindLoad {
  double per_second = 0;
  int sessions = 1;
  Tokens session_tokens = 1000;
  Tokens own_tokens = 300;
  Tokens output_tokens = 40;
  Milliseconds target{800};
  // Standard deviation of the logarithm of the sizes of sessions and of own
  // parts; 0 for prompts that are all alike.
  double size_spread = 0;
};

struct ReplayOptions {
  int instances = 3;
  int engines = 6;
  // Event readers that one holder serves.
  int event_readers = 12;
  Tokens store_capacity = 2'000'000;
  // Tokens a millisecond.
  double store_link = 800;
  EngineOptions engine;
  std::vector<KindLoad> kinds;
  // Mechanisms left out, to show what they are for.
  bool refuses = true;
  bool tells_news = true;
  bool frees_stores = true;
  bool asks_keepers = true;
  bool gives_up_fetches = true;
};

// What came of one prompt.
struct SizedOutcome {
  Tokens prompt_tokens = 0;
  // Its answer has begun, in time or late.
  bool served = false;
};

struct KindResult {
  int asked = 0;
  int in_target = 0;
  int late = 0;
  // Refused twice: when it came and when it came back.
  int refused = 0;
  // One for each prompt that was served or refused.
  std::vector<SizedOutcome> outcomes;

  [[nodiscard]] double InTarget() const {
    return asked == 0 ? 0 : static_cast<double>(in_target) / asked;
  }
  // Share served of those whose place in the order of sizes is between these
  // shares of all, the largest last.
  [[nodiscard]] double ServedBetween(double from, double to) const;
};

struct ReplayResult {
  std::vector<KindResult> kinds;
  ReadCounts counts;
  int most_running = 0;
  // From a caller's first try to the first token, at most.
  Milliseconds longest_wait{0};

  // Of all tokens read, those of parts that had been read before.
  [[nodiscard]] double ReadAgainShare() const {
    return counts.read == 0 ? 0 : counts.read_again / counts.read;
  }
};

class LoadReplay {
 public:
  LoadReplay(const ReplayOptions& options, std::uint64_t seed);
  ~LoadReplay();

  void At(Milliseconds time, std::function<void()> event) {
    simulation_.After(time, std::move(event));
  }
  // Engines load new weights two at a time.
  void NameWeights(std::uint64_t number);
  // The first `count` engines are gone from now on.
  void LoseEngines(int count);

  [[nodiscard]] ReplayResult Run(Milliseconds time);

 private:
  struct Instance;
  struct Call {
    std::size_t kind = 0;
    ExchangeSetup setup;
    MonotonicTime arrived{};
    bool came_back = false;
  };

  void AddHolders();
  void ArriveLater(std::size_t kind);
  // A size of the kind's spread around `mean`.
  [[nodiscard]] static Tokens DrawSize(const KindLoad& load,
                                       Tokens mean,
                                       SeededRandom& random);
  [[nodiscard]] PromptTraits DrawPrompt(std::size_t kind,
                                        const RequestId& request);
  void NoteOutcome(const Call& call, bool served);
  void Ask(const std::shared_ptr<Call>& call);
  void Serve(Instance& instance, const std::shared_ptr<Call>& call);
  void Place(Instance& instance,
             const std::shared_ptr<Call>& call,
             const std::vector<EndpointId>& shortlist);
  // Whether so many instances live that they ask before they place.
  [[nodiscard]] bool AsksKeepers() const;
  [[nodiscard]] Instance& KeeperAt(std::uint64_t endpoint);
  void TellKeeper(Instance& instance, const EndpointId& endpoint);
  void ExpireLoads();
  void Send(Instance& instance,
            const std::shared_ptr<Call>& call,
            const AttemptPlan& plan);
  void LoadNext(std::uint64_t number, int engine);
  void TellWeights(int engine, std::uint64_t number);
  void ShareLoads();
  void ReadEvents();
  [[nodiscard]] CacheReaderRole RoleOf(const CacheHolder& holder,
                                       std::size_t instance) const;
  // Instances stay the same all through a replay, and so do their roles.
  void AssignRoles();
  void ReadEventsAt(std::size_t index);
  void Tell(const CacheNews& news);
  void FreeStores();

  ReplayOptions options_;
  Simulation simulation_;
  ReplayResult result_;
  Holders holders_;
  std::map<NetAddress, StoreModel*> store_addresses_;
  std::vector<std::unique_ptr<EngineModel>> engines_;
  std::vector<EndpointRecord> records_;
  std::vector<std::unique_ptr<StoreModel>> stores_;
  std::map<CacheHolder, HolderModel*> by_name_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<EntryId> live_;
  std::vector<MemberInfo> members_;
  // By holder, in the order of the instances.
  std::map<CacheHolder, std::vector<CacheReaderRole>> roles_;
  std::vector<Route> routes_;
  StoreCleaner cleaner_;
  std::uint64_t calls_ = 0;
};

}  // namespace carobshift

#endif  // BENCHMARKS_GATEWAY_LOAD_REPLAY_H_
