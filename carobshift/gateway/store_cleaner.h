// Which parts of a managed KV cache store to free: those that were made by
// weights which no engine has any more.
//
//   StoreCleaner cleaner;
//   cleaner.SetObsolete(ObsoleteScopes(engines, accounts), now);
//   for (const FreeOrder& order : cleaner.Next(stores, contents, now)) ...
//
// Load pattern: a managed store drops nothing by itself. Each time new weights
// are named, all sessions are kept anew under another scope; after two or three
// times the store is full of parts that nobody can read, every further part
// finds no room, and engines read whole sessions again until the store is
// restarted.
//
// What must not happen: a part is freed while an engine is fetching it, which
// would give a prompt a torn memory. A fetch names the engine's weights, and an
// engine with others refuses it. So a scope is obsolete only if every engine
// that could have the model tells of newer weights, and its parts are freed
// only when that has held for kSettled. Time in which the list of engines
// wasn't heard doesn't count: an engine may be back with older weights, and
// only the other instances know.
//
// Figures: kSettled covers a fetch under way (a second), an engine's record (up
// to two) and an engine that has left the list and is still sent to for two
// seconds. kListOld is above the time between two reads of the list that
// nothing is written to. kPartsPerOrder keeps an order below a hundred
// kilobytes.
//
// Thread-compatible. State: one entry an obsolete scope.

#ifndef CAROBSHIFT_GATEWAY_STORE_CLEANER_H_
#define CAROBSHIFT_GATEWAY_STORE_CLEANER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carobshift/gateway/cache_contents.h"

namespace carobshift {

// An engine and what is known of its weights.
struct ScopedEngine {
  ModelName model;
  std::optional<WeightNumber> weights;
};

// Scopes of weights older than those of every engine of their model.
// `isolated`: the accounts that have scopes of their own.
[[nodiscard]] std::set<std::string> ObsoleteScopes(
    const std::vector<ScopedEngine>& engines,
    const std::vector<AccountId>& isolated);

// One store's parts to be freed by one call, if its epoch is still this one.
struct FreeOrder {
  CacheHolder store;
  std::uint64_t epoch = 0;
  std::vector<StoreEvent> parts;
};

class StoreCleaner {
 public:
  static constexpr Milliseconds kSettled{5000};
  static constexpr Milliseconds kListOld{2500};
  static constexpr std::size_t kPartsPerOrder = 1000;

  void SetObsolete(const std::set<std::string>& scopes, MonotonicTime now);
  // When the list of engines was last heard. To be called before SetObsolete.
  void OnListHeard(MonotonicTime heard, MonotonicTime now);

  // At most one order a store.
  [[nodiscard]] std::vector<FreeOrder> Next(
      const std::vector<CacheHolder>& stores,
      const CacheContents& contents,
      MonotonicTime now) const;

 private:
  // Since when each scope has been obsolete without a break.
  std::map<std::string, MonotonicTime> obsolete_;
  bool list_old_ = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_STORE_CLEANER_H_
