// Tracks the state of each stored object that this instance knows of, from the
// order to export it until it is forgotten. Only a sealed and pinned object is
// ever named to an engine.
//
//   HandleId id = tracker.BeginExport(owner, ns, store);
//   tracker.OnExportEnd(id, engine.Export(...), now);      // sealed, or gone
//   std::optional<PinOrder> pin = tracker.BeginPin(id, ns, chain, now, length);
//   tracker.OnPinEnd(*pin, store.Pin(...), now);
//   std::optional<BlockHandle> handle = tracker.Use(id, now);
//
// States: exporting -> sealed -> pinning -> pinned -> sealed. Every failure
// leads to "forgotten", and a forgotten object costs a recompute.
//
// It guards against three faults: an engine dies during an export and the
// partly written object is imported; a store evicts an object between the
// decision to import it and the read; a store restarts and an old handle refers
// to another object of the same name. Each would show as an answer computed
// from corrupt context or from the context of another conversation, or at best
// as a failed import after the request has waited for it.
//
// A pin lasts for four times the estimated transfer time, with a minimum of 10
// s and a maximum of 120 s. The import over a slow link is abandoned as slower
// than a recompute well before a factor of four, and a pin whose instance died
// blocks the space for at most two minutes. The duration counts from the time
// at which the order was sent, so that the store's pin always expires later
// than the local one. The reader aborts kCancelMargin before the pin expires,
// which is enough for a closed connection to stop the engine's read.
// kMaxObjects bounds the state: 4 handles for each of 10,000 conversations.

#ifndef CAROBSHIFT_CACHE_STORED_OBJECT_TRACKER_H_
#define CAROBSHIFT_CACHE_STORED_OBJECT_TRACKER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "carobshift/cache/block_chain.h"
#include "carobshift/cache/conversation_table.h"
#include "carobshift/cache/mutation.h"
#include "carobshift/external/engine.h"
#include "carobshift/external/store.h"

namespace carobshift {

inline constexpr Milliseconds kMinPin{10000};
inline constexpr Milliseconds kMaxPin{120000};
inline constexpr int kPinTransferFactor = 4;
// An import must begin at least this long before the pin expires.
inline constexpr Milliseconds kPinMargin{2000};
inline constexpr Milliseconds kCancelMargin{1000};
inline constexpr std::size_t kMaxObjects = 40000;

enum class ObjectState { kExporting, kSealed, kPinning, kPinned };

struct TrackedObject {
  HandleId id;
  ObjectState state = ObjectState::kExporting;
  ConversationKey owner;
  CacheNamespace cache_namespace;
  // Complete once sealed. Before that only `store` is set.
  BlockHandle handle;
  MonotonicTime last_used;
  MonotonicTime pinned_until;
  std::uint64_t pins_ordered = 0;
  // Number of turns that were granted the handle and have not ended.
  int users = 0;
};

// A request to pin an object, to be sent to the store. Its answer goes to
// OnPinEnd.
struct PinOrder {
  HandleId id;
  // Sequence number of the pin among those of the object. The answer to an
  // earlier order is ignored, because that pin may have expired.
  std::uint64_t number = 0;
  BlockHandle handle;
  Milliseconds duration{0};
};

struct StoredObjectTrackerOptions {
  std::size_t max_objects = kMaxObjects;
  // For tests only.
  CacheMutation mutation = CacheMutation::kNone;
};

// Thread-compatible.
class StoredObjectTracker {
 public:
  explicit StoredObjectTracker(const StoredObjectTrackerOptions& options);

  // Starts tracking an export that is about to be ordered. Returns nullopt if
  // max_objects are tracked already.
  [[nodiscard]] std::optional<HandleId> BeginExport(
      const ConversationKey& owner,
      const CacheNamespace& cache_namespace,
      const StoreId& store,
      MonotonicTime now);
  // Applies the engine's answer. Returns true if the object is now sealed.
  // Otherwise the object is forgotten, also if the answer names another store.
  bool OnExportEnd(HandleId id,
                   const Result<BlockHandle>& answer,
                   MonotonicTime now);

  // Returns a pin order if the object is sealed, belongs to this namespace and
  // is a prefix of `chain`. Returns nullopt also if the object is pinned for
  // long enough already; Use() then grants it.
  [[nodiscard]] std::optional<PinOrder> BeginPin(
      HandleId id,
      const CacheNamespace& cache_namespace,
      std::span<const BlockHash> chain,
      Milliseconds transfer,
      MonotonicTime now);
  // Like BeginPin, but before the prompt is known: for a caller that has just
  // requested addresses. Does not make the object usable for any chain.
  [[nodiscard]] std::optional<PinOrder> BeginPrefetch(HandleId id,
                                                      MonotonicTime now);
  void OnPinEnd(const PinOrder& order, const Status& answer, MonotonicTime now);

  // Returns the handle to name in a GenerateRequest that is sent now, or
  // nullopt. The caller reports the end of the import by EndUse.
  [[nodiscard]] std::optional<BlockHandle> Use(
      HandleId id,
      const CacheNamespace& cache_namespace,
      std::span<const BlockHash> chain,
      MonotonicTime now);
  // `usable` is false if the engine had to compute tokens that the handle
  // covers. The object is then forgotten, because it failed a check.
  void EndUse(HandleId id, bool usable, MonotonicTime now);

  // Returns true if the object may be dropped from its store now: it is sealed,
  // not pinned and not in use.
  [[nodiscard]] bool MayDrop(HandleId id, MonotonicTime now) const;
  void Forget(HandleId id);
  // Forgets all objects of a store whose generation differs from this one,
  // because a restarted store no longer has the objects of old handles. Returns
  // the number of forgotten objects.
  std::size_t OnStoreGeneration(const StoreId& store, std::uint64_t generation);
  // Forgets all objects of a store that is dead or was removed. Returns their
  // number.
  std::size_t OnStoreGone(const StoreId& store);

  // Returns null if forgotten. The pointer is valid until the next change.
  [[nodiscard]] const TrackedObject* Find(HandleId id) const;
  // Returns up to `count` objects after `after`, wrapping around at the end.
  // Lets an eviction examine a bounded sample.
  [[nodiscard]] std::vector<const TrackedObject*> Sample(
      HandleId after,
      std::size_t count) const;
  // Returns the objects that were forgotten since the last call, so that the
  // conversation table can be updated.
  [[nodiscard]] std::vector<TrackedObject> TakeForgotten();
  [[nodiscard]] std::size_t size() const { return objects_.size(); }

 private:
  using Objects = std::map<HandleId, TrackedObject>;

  [[nodiscard]] TrackedObject* FindMutable(HandleId id);
  // Finds an object and changes its state back to sealed if its pin has
  // expired.
  [[nodiscard]] TrackedObject* FindAndExpirePin(HandleId id, MonotonicTime now);
  Objects::iterator Erase(Objects::iterator it);
  template <typename Predicate>
  std::size_t ForgetIf(Predicate predicate);
  PinOrder OrderPin(TrackedObject& object,
                    Milliseconds duration,
                    MonotonicTime now);

  StoredObjectTrackerOptions options_;
  std::uint64_t next_id_ = 1;
  Objects objects_;
  std::vector<TrackedObject> forgotten_;
};

// Returns true if the object's blocks are a prefix of `chain`.
[[nodiscard]] bool IsPrefixOf(const BlockHandle& handle,
                              std::span<const BlockHash> chain);

}  // namespace carobshift

#endif  // CAROBSHIFT_CACHE_STORED_OBJECT_TRACKER_H_
