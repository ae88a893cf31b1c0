#include "carobshift/server/tables/cache_table.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

namespace carobshift {
namespace {

const StoreId kStore("store-0");
const EndpointId kEngine("engine-0");
const ConversationKey kConversation{AccountId("club"), ConversationId("round")};

class PinningStore : public StoreClient {
 public:
  Result<StoreStatus> FetchStatus(const NetAddress&) override {
    return StoreStatus{1, 0, Bytes{1} << 30, 0, 0};
  }
  Status Pin(const NetAddress&, const BlockHandle&, Milliseconds) override {
    ++pins;
    return {};
  }
  Status Drop(const NetAddress&, const BlockHandle&) override { return {}; }

  int pins = 0;
};

EndpointInfo StoreInstance() {
  EndpointInfo info;
  info.id = EndpointId(kStore.value());
  info.address = {"127.0.0.1", 1};
  return info;
}

EndpointInfo EngineInstance() {
  EndpointInfo info;
  info.id = kEngine;
  info.address = {"127.0.0.1", 2};
  info.status = EngineStatus{};
  info.status->version = WeightVersion("v1");
  info.status->kv_used = 99;
  info.status->kv_capacity = 100;
  return info;
}

BlockHandle HandleOf(const ExportMove& move) {
  BlockHandle handle;
  handle.store = move.store;
  handle.generation = 1;
  handle.object = "o1";
  handle.last_block = move.blocks.back();
  handle.tokens = static_cast<Tokens>(move.blocks.size()) * kBlockTokens;
  handle.bytes = move.bytes;
  return handle;
}

}  // namespace

// A caller asks for addresses and sends its request at once, while this entry's
// export thread is busy. The prefetch pin that the address lookup ordered is
// still queued for that thread. A request that treated the pin as in progress
// would recompute its whole prompt although the store holds it.
TEST_CASE("a queued prefetch pin doesn't keep a request from importing") {
  MonotonicTime now = MonotonicNow();
  PinningStore stores;
  CacheTable table("secret");
  table.SyncStores({{kStore, 100'000'000}}, {StoreInstance()});
  table.OnStoreStatus(kStore, stores.FetchStatus({}), now);
  const std::string prompt(64 * kBlockBytes, 'p');
  PromptIdentity identity;
  identity.account = kConversation.account;
  identity.conversation = kConversation.conversation;
  identity.prompt = &prompt;
  const auto view = [&] {
    return table.View(identity, {EngineInstance()}, now);
  };
  table.OnTurnEnd(view(), kEngine, 1024, now);
  table.SyncEngines({EngineInstance()}, now);
  now += Seconds(1);
  const PlannedTransfers moves = table.NextMoves(now);
  REQUIRE(moves.exports.size() == 1);
  table.OnExportEnd(moves.exports[0], HandleOf(moves.exports[0]), now);

  table.OnAddressLookup(kConversation, now);
  const PromptCache cached = view();
  REQUIRE(cached.stored);
  CHECK(table.BeginImport(stores, cached, Milliseconds(0)));
  CHECK(stores.pins == 1);
  CHECK_FALSE(table.NextPrefetch());
}

}  // namespace carobshift
