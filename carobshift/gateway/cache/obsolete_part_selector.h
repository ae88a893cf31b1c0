// Selects the parts of a managed KV cache store to free: those computed with
// weights that no engine has any more.
//
//   ObsoletePartSelector selector;
//   selector.SetObsolete(ObsoleteScopes(engines, accounts), now);
//   for (const FreeOrder& order : selector.NextOrders(stores, contents, now))
//     Free(order);
//
// A managed store does not evict by itself. Each time new weights are named,
// all sessions are stored again under another scope. After two or three times
// the store is full of parts that no engine can read, further parts find no
// space, and engines recompute whole sessions until the store is restarted.
//
// A part must not be freed while an engine fetches it, which would give a
// prompt inconsistent KV data. A fetch names the engine's weights, and an
// engine with other weights refuses it. A scope is therefore obsolete only if
// every engine that could have the model reports newer weights, and its parts
// are freed only after this has held for kFreeDelay. Time without an update of
// the engine list does not count: an engine may have returned with older
// weights, and only the other instances know of it.
//
// kFreeDelay covers a fetch in progress (one second), an engine's record (up to
// two seconds) and an engine that has left the list and still receives requests
// for two seconds. kMaxListAge is longer than the time between two reads of a
// list without changes. kPartsPerOrder keeps an order below a hundred
// kilobytes.
//
// Thread-compatible. State: one entry per obsolete scope.

#ifndef CAROBSHIFT_GATEWAY_CACHE_OBSOLETE_PART_SELECTOR_H_
#define CAROBSHIFT_GATEWAY_CACHE_OBSOLETE_PART_SELECTOR_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carobshift/gateway/cache/cache_contents.h"
#include "carobshift/gateway/cache/cache_scope.h"

namespace carobshift {

// An engine and its weights of one model, nullopt if they are unknown.
struct ScopedEngine {
  ModelName model;
  std::optional<WeightNumber> weights;
};

// Returns the scopes of weights older than those of every engine of their
// model, for `audiences` and for requests that are bound to no account or
// region.
[[nodiscard]] std::set<std::string> ObsoleteScopes(
    const std::vector<ScopedEngine>& engines,
    const std::vector<CacheAudience>& audiences);

// Parts of one store to free by one call, valid only for this epoch of the
// store.
struct FreeOrder {
  CacheHolder store;
  std::uint64_t epoch = 0;
  std::vector<StoreEvent> parts;
};

class ObsoletePartSelector {
 public:
  static constexpr Milliseconds kFreeDelay{5000};
  static constexpr Milliseconds kMaxListAge{2500};
  static constexpr std::size_t kPartsPerOrder = 1000;

  void SetObsolete(const std::set<std::string>& scopes, MonotonicTime now);
  // Sets the time of the last update of the engine list. To be called before
  // SetObsolete.
  void OnListRefreshed(MonotonicTime refreshed, MonotonicTime now);

  // Returns at most one order per store.
  [[nodiscard]] std::vector<FreeOrder> NextOrders(
      const std::vector<CacheHolder>& stores,
      const CacheContents& contents,
      MonotonicTime now) const;

 private:
  // The time since which each scope has been obsolete without interruption.
  std::map<std::string, MonotonicTime> obsolete_;
  bool list_stale_ = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_CACHE_OBSOLETE_PART_SELECTOR_H_
