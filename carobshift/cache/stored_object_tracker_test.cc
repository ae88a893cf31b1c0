#include "carobshift/cache/stored_object_tracker.h"

#include <catch2/catch.hpp>

#include "carobshift/cache/import_check.h"

namespace carobshift {
namespace {

const ConversationKey kOwner{AccountId("a"), ConversationId("c")};
const StoreId kStore("store-1");
const std::vector<BlockHash> kChain = {{1, 1}, {2, 2}, {3, 3}};
const MonotonicTime kStart{Seconds(1000)};

CacheNamespace Namespace(const std::string& account = "a") {
  return MakeCacheNamespace("s", AccountId(account), ModelName("m"),
                            WeightVersion("1"), AdapterName(""));
}

BlockHandle Handle() {
  return {kStore, 5, 77, "object", kChain[1], 2 * kBlockTokens, 1000};
}

HandleId Sealed(StoredObjectTracker& object_tracker) {
  const auto id =
      object_tracker.BeginExport(kOwner, Namespace(), kStore, kStart);
  REQUIRE(object_tracker.OnExportEnd(*id, Handle(), kStart));
  return *id;
}

HandleId Pinned(StoredObjectTracker& object_tracker) {
  const HandleId id = Sealed(object_tracker);
  const auto pin = object_tracker.BeginPin(id, Namespace(), kChain,
                                           Milliseconds(100), kStart);
  REQUIRE(pin.has_value());
  object_tracker.OnPinEnd(*pin, Status(), kStart);
  return id;
}

}  // namespace

TEST_CASE("only a sealed and pinned object is named") {
  StoredObjectTracker object_tracker(StoredObjectTrackerOptions{});
  const auto id =
      object_tracker.BeginExport(kOwner, Namespace(), kStore, kStart);
  const auto pin = [&] {
    return object_tracker.BeginPin(*id, Namespace(), kChain, Milliseconds(100),
                                   kStart);
  };
  const auto use = [&](MonotonicTime now) {
    return object_tracker.Use(*id, Namespace(), kChain, now);
  };
  CHECK_FALSE(pin().has_value());
  CHECK_FALSE(use(kStart).has_value());
  REQUIRE(object_tracker.OnExportEnd(*id, Handle(), kStart));
  CHECK_FALSE(use(kStart).has_value());
  const auto order = pin();
  REQUIRE(order.has_value());
  CHECK_FALSE(use(kStart).has_value());
  object_tracker.OnPinEnd(*order, Status(), kStart + Seconds(1));
  CHECK(use(kStart + Seconds(1)) == Handle());
  CHECK_FALSE(use(kStart + kMinPin - kPinMargin + Milliseconds(1)).has_value());
}

// Guards against naming a partly written object. It comes about when an engine
// dies during an export or its answer names another store.
TEST_CASE("a failed export leaves nothing to name") {
  StoredObjectTracker object_tracker(StoredObjectTrackerOptions{});
  const auto id =
      object_tracker.BeginExport(kOwner, Namespace(), kStore, kStart);
  SECTION("no answer") {
    CHECK_FALSE(object_tracker.OnExportEnd(
        *id, Error{ResultCode::kEndpointFailed, "died"}, kStart));
  }
  SECTION("another store") {
    BlockHandle other = Handle();
    other.store = StoreId("store-2");
    CHECK_FALSE(object_tracker.OnExportEnd(*id, other, kStart));
  }
  CHECK(object_tracker.Find(*id) == nullptr);
  // A delayed second answer changes nothing.
  CHECK_FALSE(object_tracker.OnExportEnd(*id, Handle(), kStart));
  CHECK(object_tracker.TakeForgotten().size() == 1);
}

// Guards against granting an object to another client account that guesses the
// conversation id, or across a weight swap between two turns. In both cases the
// prompt may equal the stored one.
TEST_CASE("a pinned object is granted to its own namespace and chain only") {
  StoredObjectTracker object_tracker(StoredObjectTrackerOptions{});
  const HandleId id = Pinned(object_tracker);
  CHECK_FALSE(
      object_tracker.Use(id, Namespace("b"), kChain, kStart).has_value());
  const std::vector<BlockHash> other = {{1, 1}, {2, 9}, {3, 3}};
  CHECK_FALSE(object_tracker.Use(id, Namespace(), other, kStart).has_value());
  const std::vector<BlockHash> shorter = {{1, 1}};
  CHECK_FALSE(object_tracker.Use(id, Namespace(), shorter, kStart).has_value());
  CHECK(object_tracker.Use(id, Namespace(), kChain, kStart).has_value());
}

TEST_CASE("an object in use or pinned is not given up") {
  StoredObjectTracker object_tracker(StoredObjectTrackerOptions{});
  const HandleId id = Pinned(object_tracker);
  CHECK_FALSE(object_tracker.MayDrop(id, kStart));
  REQUIRE(object_tracker.Use(id, Namespace(), kChain, kStart).has_value());
  const MonotonicTime later = kStart + kMinPin;
  CHECK_FALSE(object_tracker.MayDrop(id, later));
  object_tracker.EndUse(id, true, later);
  CHECK(object_tracker.MayDrop(id, later));
}

TEST_CASE("a rejected pin or import forgets, a silent store does not") {
  StoredObjectTracker object_tracker(StoredObjectTrackerOptions{});
  const HandleId id = Sealed(object_tracker);
  const auto pin = [&] {
    return object_tracker.BeginPin(id, Namespace(), kChain, Milliseconds(1),
                                   kStart);
  };
  object_tracker.OnPinEnd(*pin(), Error{ResultCode::kStoreUnavailable, ""},
                          kStart);
  CHECK(object_tracker.Find(id) != nullptr);
  CHECK_FALSE(object_tracker.Use(id, Namespace(), kChain, kStart).has_value());
  const auto second = pin();
  REQUIRE(second);
  SECTION("pin") {
    object_tracker.OnPinEnd(*second, Error{ResultCode::kBlockRejected, ""},
                            kStart);
  }
  SECTION("import") {
    object_tracker.OnPinEnd(*second, Status(), kStart);
    REQUIRE(object_tracker.Use(id, Namespace(), kChain, kStart));
    object_tracker.EndUse(id, false, kStart);
  }
  CHECK(object_tracker.Find(id) == nullptr);
}

// Guards against an import of an object that the store may free during the
// read. The answer to a pin arrives only after that pin has expired, while a
// second pin order is in progress, and must not be taken for the answer to the
// second one.
TEST_CASE("a late answer to an earlier pin pins nothing") {
  StoredObjectTracker object_tracker(StoredObjectTrackerOptions{});
  const HandleId id = Sealed(object_tracker);
  const auto pin = [&](MonotonicTime now) {
    return object_tracker.BeginPin(id, Namespace(), kChain, Milliseconds(1),
                                   now);
  };
  const auto first = pin(kStart);
  const MonotonicTime later = kStart + kMinPin;
  const auto second = pin(later);
  REQUIRE(second.has_value());
  object_tracker.OnPinEnd(*first, Status(), later);
  CHECK_FALSE(object_tracker.Use(id, Namespace(), kChain, later).has_value());
  object_tracker.OnPinEnd(*second, Status(), later);
  CHECK(object_tracker.Use(id, Namespace(), kChain, later).has_value());
}

// Guards against old handles after a store has restarted empty: they would
// refer to whatever is written under their names next.
TEST_CASE("a store's new generation forgets what the old one held") {
  StoredObjectTracker object_tracker(StoredObjectTrackerOptions{});
  const HandleId old = Sealed(object_tracker);
  const auto running =
      object_tracker.BeginExport(kOwner, Namespace(), kStore, kStart);
  CHECK(object_tracker.OnStoreGeneration(kStore, 5) == 0);
  CHECK(object_tracker.OnStoreGeneration(kStore, 6) == 1);
  CHECK(object_tracker.Find(old) == nullptr);
  CHECK(object_tracker.Find(*running) != nullptr);
  CHECK(object_tracker.OnStoreGone(kStore) == 1);
}

TEST_CASE("an import accepts only the named object, sealed") {
  const StoredObject good{5, 77, kChain[1], true};
  CHECK(CheckImport(Handle(), good) == ImportVerdict::kUsable);
  StoredObject bad = good;
  bad.sealed = false;
  CHECK(CheckImport(Handle(), bad) == ImportVerdict::kNotSealed);
  bad = good;
  bad.generation = 6;
  CHECK(CheckImport(Handle(), bad) == ImportVerdict::kOtherGeneration);
  bad = good;
  bad.checksum = 78;
  CHECK(CheckImport(Handle(), bad) == ImportVerdict::kOtherChecksum);
}

}  // namespace carobshift
