// Which parts of prompts each KV cache store holds whole, as its events tell,
// and which store a part belongs to.
//
//   StoreContents contents;
//   contents.OnEvents(store, events, now);
//   if (contents.HoldsWhole(store, scope, part, now)) FetchFrom(store);
//
// A part is read from a store only after the store has said that it is whole
// there: a part that is still being written would give a prompt a torn memory.
// What goes wrong: a store restarts empty and a part is written to it anew
// while we still believe in the old one. So what is known of a store counts
// only while its event reader answers; a reader that is broken or silent for
// kTrust makes everything unknown, and a new epoch drops it.
//
// Thread-compatible. State: one entry a stored part, bounded by the stores'
// capacity and by kMaxParts.

#ifndef CAROBSHIFT_GATEWAY_STORE_CONTENTS_H_
#define CAROBSHIFT_GATEWAY_STORE_CONTENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/dialect.h"

namespace carobshift {

class StoreContents {
 public:
  // Longest time since the store last answered. The reader asks again as soon
  // as it has an answer and waits for kReaderWait, so this leaves half a second
  // for the way.
  static constexpr Milliseconds kReaderWait{900};
  static constexpr Milliseconds kTrust{1400};
  // At a hundred bytes an entry a few megabytes.
  static constexpr std::size_t kMaxParts = 50'000;

  // What the reader is to ask for next.
  [[nodiscard]] std::uint64_t next(const ServiceName& store) const;

  void OnEvents(const ServiceName& store,
                const StoreEvents& events,
                MonotonicTime now);
  void OnListing(const ServiceName& store,
                 const StoreListing& listing,
                 MonotonicTime now);
  // The reader's connection broke or stayed silent.
  void OnReaderLost(const ServiceName& store);
  // Whether the contents have to be listed, as events are missing.
  [[nodiscard]] bool NeedsListing(const ServiceName& store) const;

  [[nodiscard]] bool HoldsWhole(const ServiceName& store,
                                std::string_view scope,
                                std::string_view part,
                                MonotonicTime now) const;
  // Whether anything about the store is known at `now`.
  [[nodiscard]] bool Trusted(const ServiceName& store, MonotonicTime now) const;
  // The stores' calendar clock at `now`, if one has told it.
  [[nodiscard]] std::optional<WallTime> ClockAt(MonotonicTime now) const;

  [[nodiscard]] std::size_t size(const ServiceName& store) const;

 private:
  struct Store {
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    bool known = false;
    bool listed = true;
    MonotonicTime heard{};
    Tokens tokens = 0;
    std::unordered_set<std::string> whole;
  };

  static std::string Key(std::string_view scope, std::string_view part);
  static void Apply(Store& store, const StoreEvent& event);

  std::unordered_map<ServiceName, Store> stores_;
  std::optional<Microseconds> clock_offset_;
};

struct StoreChoice {
  ServiceName name;
  NetAddress address;
  // Parts are spread by it.
  double capacity = 1;
  std::uint64_t hash = 0;
};

// The store that a part belongs to, by weighted rendezvous hashing: every
// process comes to the same one, and a store that goes moves only its own
// parts. Null for no stores.
[[nodiscard]] const StoreChoice* ChooseStore(
    const std::vector<StoreChoice>& stores,
    std::string_view part);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_STORE_CONTENTS_H_
