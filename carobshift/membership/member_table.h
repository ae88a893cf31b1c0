// Holds the records of all members known to one entry, applies gossip to them,
// and selects the records for the next datagram.
//
//   MemberTable table(self, MemberMutation::kNone);
//   table.Merge(record, now);

#ifndef CAROBSHIFT_MEMBERSHIP_MEMBER_TABLE_H_
#define CAROBSHIFT_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/membership/member.h"

namespace carobshift {

// Disables one mechanism, to show that the fuzz test detects its absence. For
// tests only.
enum class MemberMutation {
  kNone,
  // A suspected member does not refute the suspicion.
  kNoRefutation,
  // A pause of this process counts as silence of the other members.
  kIgnoreOwnPause,
  // Dead members are never probed again.
  kNoRejoinProbe,
  // Replayed datagrams are accepted and no incarnation is challenged.
  kNoReplayGuard,
  // A suspect is never declared dead.
  kNoSuspicionTimeout,
};

// Thread-compatible.
class MemberTable {
 public:
  // Twice the size expected in two years. When the table is full, a dead
  // member's record is evicted first.
  static constexpr std::size_t kMaxMembers = 1024;
  // Dead members are remembered for this long, so that late gossip of an old
  // state can't revive them and a member behind a partition is probed again.
  static constexpr Milliseconds kDeadRetention{600'000};

  // How long a member counts as new. It receives about a hundred facts in this
  // time: with a period of 250 ms and seven members, about eight datagrams a
  // second reach it.
  static constexpr Milliseconds kNewMemberPeriod{15'000};

  MemberTable(const MemberInfo& self, MemberMutation mutation);

  // Applies a received record. If it is about this entry and says that the
  // entry is not alive, or belongs to another incarnation, the entry refutes it
  // by raising its own version.
  void Merge(const MemberRecord& received, MonotonicTime now);

  // Marks a live member that has answered no probe as suspect.
  void Suspect(const EntryId& id, MonotonicTime now);

  // Declares suspects dead after SuspicionTimeout() and removes dead records
  // after their retention time.
  void Expire(MonotonicTime now);

  // Adds the length of a pause of this process to all running timeouts.
  void ExtendTimeouts(Milliseconds pause);

  void SetOwnConfig(ConfigVersion version);
  void SetOwnLeaving();

  [[nodiscard]] const MemberRecord& self() const { return self_; }
  // Increases whenever a record changes or a member is added or removed.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  // Returns the suspect or dead record of the member at this address, or null.
  // It must be sent to that member, so that the member can refute it.
  [[nodiscard]] const MemberRecord* FindRefutable(
      const NetAddress& gossip_address) const;
  // Returns whether the member at this address is alive and its record changed
  // within kNewMemberPeriod. Such a member has started or was partitioned, and
  // may have missed earlier facts.
  [[nodiscard]] bool IsNewMember(const NetAddress& gossip_address,
                                 MonotonicTime now) const;
  // Returns null if unknown.
  [[nodiscard]] const MemberRecord* Find(const EntryId& id) const;
  // Returns the records of all other members, ordered by id.
  [[nodiscard]] std::vector<MemberRecord> Others() const;
  [[nodiscard]] std::vector<EntryId> IdsInState(MemberState state) const;
  // Number of members not known to be dead, including this entry.
  [[nodiscard]] std::size_t LiveCount() const;

  // How long a suspect has to refute the suspicion. It grows with the logarithm
  // of the number of members, as does the time for gossip to reach all of them.
  [[nodiscard]] Milliseconds SuspicionTimeout() const;

  // Selects up to `budget` bytes of records: first updates sent fewer than
  // `max_sends` times, then the other records in rotation, so that every entry
  // receives all records in bounded time.
  [[nodiscard]] std::vector<MemberRecord> TakeForDatagram(std::size_t budget,
                                                          int max_sends);

 private:
  struct Entry {
    MemberRecord record;
    MonotonicTime changed{};
    int sends = 0;
  };

  void MergeSelf(const MemberRecord& received);
  void EvictIfFull();

  MemberMutation mutation_;
  std::uint64_t revision_ = 0;
  MemberRecord self_;
  std::map<EntryId, Entry> others_;
  // The last record of the rotation; TakeForDatagram continues after it.
  EntryId cursor_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_MEMBERSHIP_MEMBER_TABLE_H_
