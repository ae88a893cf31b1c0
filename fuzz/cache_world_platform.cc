// The platform part of CacheWorld: polls, fault injection, and the oracle's
// check of the directory.

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
  // The version arrives with the status, which is delayed like every message.
  const WeightVersion version = engine.version();
  Send([this, id, version] { (void)directory_.Track(id, version); }, true);
  const auto next = directory_.NextSequence(id);
  if (!next.has_value()) {
    ++report_.listings;
    const CacheEventBatch listing = engine.Listing();
    Send([this, id, listing] { (void)directory_.ApplyListing(id, listing); },
         true);
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

// Simulates eviction by the store itself. Sometimes another entry has ordered
// the same export, reuses the freed slot and fails during the write.
void CacheWorld::FreeRandomObject(ModelStore& store) {
  if (store.objects().empty())
    return;
  const auto it = std::next(store.objects().begin(),
                            static_cast<long>(Pick(store.objects().size())));
  const std::string name = it->first;
  const ModelObject before = it->second;
  store.Free(name, now_);
  if (store.Find(name) != nullptr || !Chance(30))
    return;
  const auto rewritten =
      store.Open(before.header.last_block, before.blocks, before.origin);
  if (rewritten.has_value() && Chance(50) && before.blocks > 1)
    store.Write(*rewritten, store.Find(*rewritten)->identity);
}

void CacheWorld::InjectPlatformFault() {
  ModelEngine& engine = engines_[Pick(kEngines)];
  ModelStore& store = stores_[Pick(kStores)];
  switch (Pick(16)) {
    case 0:
      engine.Restart();
      break;
    case 1:
      engine.SwapWeights();
      break;
    case 2:
      store.Crash();
      break;
    case 3:
    case 4:
      store.Restart();
      break;
    case 5:
    case 6:
    case 7:
    case 8:
      FreeRandomObject(store);
      break;
    default:
      engine.Evict(Pick(kMaxBlocks));
  }
}

// Checks that the directory's contents for an endpoint were true when the
// endpoint's events had reached the sequence number that the directory has
// reached.
void CacheWorld::CheckDirectory() {
  for (const ModelEngine& engine : engines_) {
    const auto next = directory_.NextSequence(engine.id());
    if (!next.has_value())
      continue;
    const auto held_sets = engine.HeldAt(*next);
    const auto reports_all_held = [&](const std::set<BlockHash>& held) {
      return std::all_of(held.begin(), held.end(),
                         [&](const BlockHash& block) {
                           return directory_.PrefixLength(engine.id(),
                                                          {&block, 1}) == 1;
                         }) &&
             directory_.Stats().blocks >= held.size();
    };
    const auto reports_only_held = [&](const std::set<BlockHash>& held) {
      for (const auto& account : {"a", "b"}) {
        for (const auto& version : {"1", "2"}) {
          const BlockOrigin origin{AccountId(account), WeightVersion(version)};
          for (std::size_t topic = 0; topic < kTopics; ++topic) {
            for (const BlockHash& block :
                 BlockChain(NamespaceOf(origin), TextOf(topic, kMaxBlocks))) {
              if (directory_.PrefixLength(engine.id(), {&block, 1}) == 1 &&
                  !held.contains(block)) {
                return false;
              }
            }
          }
        }
      }
      return true;
    };
    const bool matches_history =
        std::any_of(held_sets.begin(), held_sets.end(), [&](const auto& held) {
          return reports_all_held(held) && reports_only_held(held);
        });
    if (!matches_history)
      AddViolation("the directory reports a state that the endpoint never had");
  }
}

}  // namespace carobshift
