// The life of each stored object that this entry knows of, from the order to
// export it until it is forgotten. Nothing but a sealed and pinned object is
// ever named to an engine.
//
//   HandleId id = guard.BeginExport(owner, ns, store);
//   guard.OnExportEnd(id, engine.Export(...), now);      // sealed, or gone
//   std::optional<PinOrder> pin = guard.BeginPin(id, ns, chain, now, length);
//   guard.OnPinEnd(*pin, store.Pin(...), now);
//   std::optional<BlockHandle> handle = guard.Use(id, now);
//
// States: exporting -> sealed -> pinning -> pinned -> sealed. Every failure
// leads to "forgotten", and a forgotten object costs a recompute.
//
// What goes wrong without it: an engine dies half way through an export and
// the half-written object is imported; a store evicts an object between the
// decision to import it and the read; a store restarts and an old handle meets
// another object under the same name. Each shows as an answer computed from
// broken or foreign context, or at best as a failed import after the request
// has waited for it.
//
// Grounds for the figures: a pin lasts for the estimated transfer four times
// over, but 10 s at least and 120 s at most: a slow link is given up as slower
// than recompute well before a factor of four, and a pin that its entry dies
// with blocks the place for two minutes at most. It counts from the moment
// the order was sent, so that the store's own count always ends later.
// The reader gives up kCancelMargin before the pin ends, the time in which a
// closed connection surely stops the engine's read. kMaxObjects bounds the
// state: 4 handles for each of 10,000 conversations.

#ifndef CAROBSHIFT_CACHE_HANDLE_GUARD_H_
#define CAROBSHIFT_CACHE_HANDLE_GUARD_H_

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
// An import must begin this long before the pin ends at the latest.
inline constexpr Milliseconds kPinMargin{2000};
inline constexpr Milliseconds kCancelMargin{1000};
inline constexpr std::size_t kMaxObjects = 40000;

enum class ObjectState { kExporting, kSealed, kPinning, kPinned };

// What is known of one stored object.
struct TrackedObject {
  HandleId id;
  ObjectState state = ObjectState::kExporting;
  ConversationKey owner;
  CacheNamespace cache_namespace;
  // Complete once sealed; before that only `store` is set.
  BlockHandle handle;
  MonotonicTime last_used;
  MonotonicTime pinned_until;
  std::uint64_t pins_ordered = 0;
  // Turns that were granted the handle and have not ended.
  int users = 0;
};

// Ask the store to pin; the answer goes to OnPinEnd.
struct PinOrder {
  HandleId id;
  // The object's n-th pin. An answer to an earlier order says nothing about
  // the present one: its pin may have ended.
  std::uint64_t number = 0;
  BlockHandle handle;
  Milliseconds duration{0};
};

struct GuardOptions {
  std::size_t max_objects = kMaxObjects;
  // For tests only.
  CacheMutation mutation = CacheMutation::kNone;
};

// Thread-compatible.
class HandleGuard {
 public:
  explicit HandleGuard(const GuardOptions& options);

  // Starts to track an export that is about to be ordered. Nothing if the
  // limit is reached.
  [[nodiscard]] std::optional<HandleId> BeginExport(
      const ConversationKey& owner,
      const CacheNamespace& cache_namespace,
      const StoreId& store,
      MonotonicTime now);
  // Takes the engine's answer. True if the object is sealed now; otherwise it
  // is forgotten, also if the answer names another store.
  bool OnExportEnd(HandleId id,
                   const Result<BlockHandle>& answer,
                   MonotonicTime now);

  // Asks for a pin if the object is sealed, of this namespace and a prefix of
  // `chain`. An object that is pinned for long enough needs none: nothing is
  // returned and Use() grants it.
  [[nodiscard]] std::optional<PinOrder> BeginPin(
      HandleId id,
      const CacheNamespace& cache_namespace,
      std::span<const BlockHash> chain,
      Milliseconds transfer,
      MonotonicTime now);
  // As BeginPin, before the prompt is known: for a caller that has just asked
  // for addresses. Does not make the object usable for any chain.
  [[nodiscard]] std::optional<PinOrder> BeginPrefetch(HandleId id,
                                                      MonotonicTime now);
  void OnPinEnd(const PinOrder& order, const Status& answer, MonotonicTime now);

  // The handle to name in a GenerateRequest that is sent now, or nothing. The
  // caller reports the end of the import by EndUse.
  [[nodiscard]] std::optional<BlockHandle> Use(
      HandleId id,
      const CacheNamespace& cache_namespace,
      std::span<const BlockHash> chain,
      MonotonicTime now);
  // `usable` is false if the engine had to compute tokens that the handle
  // covers; the object is then forgotten, for it failed a check.
  void EndUse(HandleId id, bool usable, MonotonicTime now);

  // True if the object may be dropped from its store now: sealed, not pinned
  // and in no use.
  [[nodiscard]] bool MayDrop(HandleId id, MonotonicTime now) const;
  void Forget(HandleId id);
  // Forgets all objects of a store with another generation than this one. A
  // restarted store keeps nothing that the old handles name. Returns the
  // forgotten ones' count.
  std::size_t OnStoreGeneration(const StoreId& store, std::uint64_t generation);
  // Forgets all objects of a store that is given up.
  std::size_t OnStoreGone(const StoreId& store);

  // Null if forgotten; valid until the next change.
  [[nodiscard]] const TrackedObject* Find(HandleId id) const;
  // Up to `count` objects following `after`, going round at the end. Lets an
  // eviction look at a bounded sample.
  [[nodiscard]] std::vector<const TrackedObject*> Sample(
      HandleId after,
      std::size_t count) const;
  // Forgotten objects since the last call, with their owners, so that the
  // conversation table can be told.
  [[nodiscard]] std::vector<TrackedObject> TakeForgotten();
  [[nodiscard]] std::size_t size() const { return objects_.size(); }

 private:
  using Objects = std::map<HandleId, TrackedObject>;

  [[nodiscard]] TrackedObject* FindMutable(HandleId id);
  // Also turns a pin that has ended back into a sealed object.
  [[nodiscard]] TrackedObject* FindSettled(HandleId id, MonotonicTime now);
  Objects::iterator Erase(Objects::iterator it);
  template <typename Predicate>
  std::size_t ForgetIf(Predicate predicate);
  PinOrder OrderPin(TrackedObject& object,
                    Milliseconds duration,
                    MonotonicTime now);

  GuardOptions options_;
  std::uint64_t next_id_ = 1;
  Objects objects_;
  std::vector<TrackedObject> forgotten_;
};

// True if the object's blocks are a prefix of `chain`.
[[nodiscard]] bool IsPrefixOf(const BlockHandle& handle,
                              std::span<const BlockHash> chain);

}  // namespace carobshift

#endif  // CAROBSHIFT_CACHE_HANDLE_GUARD_H_
