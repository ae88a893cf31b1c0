// Holds the facts that entries spread by gossip: leaving and draining
// endpoints, and requests suspected of crashing engines. The table is bounded
// in size and every fact expires.
//
//   table.Publish(fact, now);
//   bool leaving = table.HasActive(kind, "engine-3", now);

#ifndef CAROBSHIFT_MEMBERSHIP_FACT_TABLE_H_
#define CAROBSHIFT_MEMBERSHIP_FACT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "carobshift/base/units.h"
#include "carobshift/membership/member.h"

namespace carobshift {

// Thread-compatible.
class FactTable {
 public:
  // 2,048 facts of at most 64 bytes take about 300 KB. A zone has 360
  // endpoints, and a suspected request stays for minutes. When the table is
  // full, the fact that expires first is evicted.
  static constexpr std::size_t kMaxFacts = 2048;
  static constexpr Milliseconds kMaxTimeToLive{600'000};
  // A fact of a version that is already known is extended only if it would last
  // longer by more than this. Each hop adds its transit time to the remaining
  // time; without the threshold, two entries could keep a fact alive
  // indefinitely by repeating it to each other.
  static constexpr Milliseconds kMinExtension{5000};

  // Stores the fact. Returns true if it is new or extends a known one, and must
  // therefore be gossiped.
  bool Publish(const Fact& fact, MonotonicTime now);

  // Returns whether an active, unexpired fact about `subject` is known.
  [[nodiscard]] bool HasActive(FactKind kind,
                               const std::string& subject,
                               MonotonicTime now) const;

  // Returns all active facts of a kind, each with its remaining time.
  [[nodiscard]] std::vector<Fact> Active(FactKind kind,
                                         MonotonicTime now) const;

  // Selects up to `budget` bytes of facts for a datagram: least often sent
  // first, each sent at most `max_sends` times.
  [[nodiscard]] std::vector<Fact> TakeForDatagram(std::size_t budget,
                                                  int max_sends,
                                                  MonotonicTime now);

  // Like TakeForDatagram, for a receiver that has recently started or rejoined
  // and missed earlier gossip: fills the rest of the budget with facts that
  // have reached `max_sends`, in rotation. Facts that expire within
  // kMinExtension are left out: an entry that has just dropped such a fact
  // would take it as new, and two entries could keep it alive between them.
  std::vector<Fact> TakeForNewMember(std::size_t budget,
                                     int max_sends,
                                     MonotonicTime now);

  // Removes expired facts.
  void Expire(MonotonicTime now);

  [[nodiscard]] std::size_t size() const { return facts_.size(); }

 private:
  using Key = std::pair<FactKind, std::string>;
  struct Entry {
    FactVersion version;
    bool active = true;
    MonotonicTime expires{};
    int sends = 0;
  };

  static Fact ToFact(const Key& key, const Entry& entry, MonotonicTime now);
  void EvictFirstToExpire();

  std::map<Key, Entry> facts_;
  // The last fact that TakeForNewMember has considered; the rotation continues
  // after it.
  Key cursor_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_MEMBERSHIP_FACT_TABLE_H_
