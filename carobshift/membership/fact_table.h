// The facts that travel with the gossip: leaving and draining endpoints, and
// suspected requests. Bounded in number, and each expires.
//
//   table.Publish(fact, now);
//   bool leaving = table.Holds(FactKind::kEndpointLeaving, "engine-3", now);

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
  // 2,048 facts of at most 64 bytes are about 300 KB; a zone has 360
  // endpoints, and a suspected request stays for minutes. When full, the fact
  // that expires first makes room.
  static constexpr std::size_t kMaxFacts = 2048;
  static constexpr Milliseconds kMaxLife{600'000};
  // A fact of the version already known is extended only by more than this.
  // Each hop adds its transit time to what remains; without this threshold two
  // entries could keep a fact alive for ever by repeating it to each other.
  static constexpr Milliseconds kMinExtension{5000};

  // True if the fact was news: it is passed on then.
  bool Publish(const Fact& fact, MonotonicTime now);

  // Whether an active, unexpired fact about the subject is known.
  [[nodiscard]] bool Holds(FactKind kind,
                           const std::string& subject,
                           MonotonicTime now) const;

  // All active facts of a kind, with the time that remains of each.
  [[nodiscard]] std::vector<Fact> Active(FactKind kind,
                                         MonotonicTime now) const;

  // Up to `budget` bytes of facts for a datagram: those sent least often
  // first, each at most `max_sends` times.
  [[nodiscard]] std::vector<Fact> TakeForDatagram(std::size_t budget,
                                                  int max_sends,
                                                  MonotonicTime now);

  // The same for a member that has started or come back lately, and so hasn't
  // heard what the others were told before: the rest of the budget is filled
  // with facts that were sent often enough, in turn. What ends within
  // kMinExtension is left out: an entry that has just dropped it would take it
  // for news, and two entries could keep it alive between them.
  std::vector<Fact> TakeForNewcomer(std::size_t budget,
                                    int max_sends,
                                    MonotonicTime now);

  // Drops what has expired.
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
  void MakeRoom();

  std::map<Key, Entry> facts_;
  // Where TakeForNewcomer goes on.
  Key cursor_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_MEMBERSHIP_FACT_TABLE_H_
