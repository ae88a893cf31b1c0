// The platform's side of the world: polls, faults, and the oracle's look at the
// directory.

#include <algorithm>
#include <iterator>
#include <utility>

#include "fuzz/cache_world.h"

namespace carobshift {

std::string CacheWorld::TextOf(std::size_t topic, std::size_t blocks) {
  return std::string(blocks * kBlockBytes, static_cast<char>('a' + topic));
}

void CacheWorld::PollEngine() {
  const ModelEngine& engine = engines_[Pick(kEngines)];
  const EndpointId id = engine.id();
  // The version is learned with the status, late as all else.
  const WeightVersion version = engine.version();
  Send([this, id, version] { (void)directory_.Track(id, version); }, true);
  const auto next = directory_.NextSequence(id);
  if (!next.has_value()) {
    ++report_.listings;
    const CacheEventBatch listing = engine.Listing();
    Send([this, id, listing] { (void)directory_.Relist(id, listing); }, true);
    return;
  }
  CacheEventBatch batch = engine.EventsFrom(*next);
  if (batch.events.size() > 2 && Chance(5))
    batch.events.erase(batch.events.begin() + 1);
  Send([this, id, batch] { (void)directory_.Apply(id, batch); }, true);
}

void CacheWorld::PollStore() {
  const ModelStore& store = stores_[Pick(kStores)];
  const StoreId id = store.id();
  Result<StoreStatus> status(Error{ResultCode::kStoreUnavailable, "no answer"});
  if (store.alive())
    status = StoreStatus{store.generation(), 0, kLinkRate, 0, 0};
  Send([this, id, status] { planner_.OnStoreStatus(id, status, now_); }, true);
}

// The store's own wish for room. Sometimes another entry had ordered the same
// export, takes the place and dies half way through.
void CacheWorld::FreeSome(ModelStore& store) {
  if (store.objects().empty())
    return;
  const auto it = std::next(store.objects().begin(),
                            static_cast<long>(Pick(store.objects().size())));
  const std::string name = it->first;
  const ModelObject before = it->second;
  store.Free(name, now_);
  if (store.Find(name) != nullptr || !Chance(30))
    return;
  const auto again =
      store.Open(before.header.last_block, before.blocks, before.truth);
  if (again.has_value() && Chance(50) && before.blocks > 1)
    store.Write(*again, store.Find(*again)->identity);
}

void CacheWorld::ActOnPlatform() {
  ModelEngine& engine = engines_[Pick(kEngines)];
  ModelStore& store = stores_[Pick(kStores)];
  switch (Pick(16)) {
    case 0:
      engine.Restart();
      break;
    case 1:
      engine.Swap();
      break;
    case 2:
      store.Die();
      break;
    case 3:
    case 4:
      store.Restart();
      break;
    case 5:
    case 6:
    case 7:
    case 8:
      FreeSome(store);
      break;
    default:
      engine.Evict(Pick(kMaxBlocks));
  }
}

// What the directory says of an endpoint was true when its events had reached
// the number that the directory has reached.
void CacheWorld::Check() {
  for (const ModelEngine& engine : engines_) {
    const auto next = directory_.NextSequence(engine.id());
    if (!next.has_value())
      continue;
    const auto lives = engine.HeldAt(*next);
    const auto agrees = [&](const std::set<BlockHash>& held) {
      return std::all_of(
                 held.begin(), held.end(),
                 [&](const BlockHash& block) {
                   return directory_.PrefixOn(engine.id(), {&block, 1}) == 1;
                 }) &&
             directory_.Stats().blocks >= held.size();
    };
    const auto claims_only_held = [&](const std::set<BlockHash>& held) {
      for (const auto& account : {"a", "b"}) {
        for (const auto& version : {"1", "2"}) {
          const BlockTruth truth{AccountId(account), WeightVersion(version)};
          for (std::size_t topic = 0; topic < kTopics; ++topic) {
            for (const BlockHash& block :
                 BlockChain(NamespaceOf(truth), TextOf(topic, kMaxBlocks))) {
              if (directory_.PrefixOn(engine.id(), {&block, 1}) == 1 &&
                  !held.contains(block)) {
                return false;
              }
            }
          }
        }
      }
      return true;
    };
    const bool true_once =
        std::any_of(lives.begin(), lives.end(), [&](const auto& held) {
          return agrees(held) && claims_only_held(held);
        });
    if (!true_once)
      Violate("the directory says of an endpoint what never was so");
  }
}

}  // namespace carobshift
