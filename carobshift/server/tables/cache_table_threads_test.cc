// Runs requests, the event poller and the export threads on one cache table
// concurrently. Also run under the thread sanitizer.

#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "carobshift/server/tables/cache_table.h"

namespace carobshift {
namespace {

constexpr int kThreads = 6;
constexpr int kRounds = 200;
constexpr Bytes kBytesPerTokenOnLink = 16;
constexpr Bytes kLinkRate = 1000000000;

class FakeStoreClient : public StoreClient {
 public:
  Result<StoreStatus> FetchStatus(const NetAddress&) override {
    return StoreStatus{1, 0, kLinkRate, 0, 0};
  }
  Status Pin(const NetAddress&, const BlockHandle&, Milliseconds) override {
    return {};
  }
  Status Drop(const NetAddress&, const BlockHandle&) override { return {}; }
};

EndpointInfo Engine() {
  EndpointInfo engine;
  engine.id = EndpointId("engine-0");
  engine.status.emplace();
  engine.status->version = WeightVersion("1");
  // The KV memory is full, so exports do not wait for a pause.
  engine.status->kv_used = 100;
  engine.status->kv_capacity = 100;
  return engine;
}

EndpointInfo Store() {
  EndpointInfo store;
  store.id = EndpointId("store-0");
  return store;
}

class Deployment {
 public:
  Deployment() {
    cache_.SyncStores({{StoreId("store-0"), kLinkRate}}, {Store()});
    cache_.OnStoreStatus(StoreId("store-0"), stores_.FetchStatus({}),
                         MonotonicNow());
    cache_.SyncEngines({Engine()}, MonotonicNow());
    cache_.Relist(Engine().id, {1, 0, 0, {}});
  }

  void Request(int thread, int round) {
    const std::string prompt(4 * kBlockBytes,
                             static_cast<char>('a' + round % 4));
    const PromptIdentity identity{
        AccountId("account-" + std::to_string(thread % 2)),
        ConversationId(std::to_string(round % 8)), ModelName("m"),
        AdapterName(""), &prompt};
    const PromptCache cached =
        cache_.View(identity, {Engine()}, MonotonicNow());
    if (cached.stored) {
      // Must never be an object of another client account or conversation.
      if (cached.stored->tokens != 4 * kBlockTokens)
        faults_.fetch_add(1);
      if (const auto grant =
              cache_.BeginImport(stores_, cached, Milliseconds(0))) {
        imports_.fetch_add(1);
        cache_.EndImport(*grant, ImportOutcome::kImported, MonotonicNow());
      }
    }
    cache_.OnTurnEnd(cached, Engine().id, kBytesPerTokenOnLink, MonotonicNow());
    cache_.OnAddressLookup(*cached.key, MonotonicNow());
  }

  void Work() {
    while (const auto pin = cache_.NextPrefetch())
      cache_.OnPinEnd(*pin, stores_.Pin({}, pin->handle, pin->duration),
                      MonotonicNow());
    for (const ExportMove& move : cache_.NextMoves(MonotonicNow()).exports) {
      const BlockHandle handle{
          move.store,
          1,
          1,
          "o",
          move.blocks.back(),
          static_cast<Tokens>(move.blocks.size()) * kBlockTokens,
          move.bytes};
      cache_.OnExportEnd(move, handle, MonotonicNow());
    }
  }

  void Poll() {
    cache_.SyncEngines({Engine()}, MonotonicNow());
    const auto next = cache_.NextSequence(Engine().id);
    if (next)
      cache_.Apply(Engine().id, {1, *next, *next, {}});
    cache_.OnStoreStatus(StoreId("store-0"), stores_.FetchStatus({}),
                         MonotonicNow());
    if (!cache_.DumpState().contains("stores"))
      faults_.fetch_add(1);
  }

  [[nodiscard]] int imports() const { return imports_; }
  [[nodiscard]] int faults() const { return faults_; }
  [[nodiscard]] nlohmann::json Dump() const { return cache_.DumpState(); }

 private:
  FakeStoreClient stores_;
  CacheTable cache_{"secret of the deployment"};
  std::atomic<int> imports_{0};
  std::atomic<int> faults_{0};
};

}  // namespace

// Without the table's single lock, a request could be granted an object while
// another thread removes it.
TEST_CASE("requests, polls and exports share the cache table") {
  Deployment deployment;
  std::vector<std::thread> threads;
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&deployment, thread] {
      for (int round = 0; round < kRounds; ++round) {
        deployment.Request(thread, round);
        if ((thread + round) % 3 == 0)
          deployment.Poll();
        deployment.Work();
      }
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  INFO(deployment.Dump().dump());
  CHECK(deployment.imports() > 0);
  CHECK(deployment.faults() == 0);
}

}  // namespace carobshift
