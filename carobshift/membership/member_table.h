// The member records of one entry, the rules by which gossip changes them,
// and the choice of records for the next datagram.
//
//   MemberTable table(self, MemberMutation::kNone, now);
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

// Removes one mechanism, to show that the fuzz test notices. For tests only.
enum class MemberMutation {
  kNone,
  // A member that hears that it is suspected does not contradict.
  kNoRefutation,
  // Own pauses count as silence of the others.
  kIgnoreOwnPause,
  // Members found dead are never tried again.
  kNoRejoinProbe,
  // Recorded datagrams are taken, and no incarnation is challenged.
  kNoReplayGuard,
  // A suspect never becomes dead.
  kNoSuspicionTimeout,
};

// Thread-compatible.
class MemberTable {
 public:
  // Twice the two-year size; a record of a dead member makes room first.
  static constexpr std::size_t kMaxMembers = 1024;
  // Dead members are remembered for this long, so that late gossip of an old
  // state can't bring one back, and so that one cut off is tried again.
  static constexpr Milliseconds kDeadLife{600'000};

  // In which a newcomer hears of some hundred facts: at a period of 250 ms and
  // seven members about eight datagrams a second reach it, by calculation.
  static constexpr Milliseconds kNewcomerFor{15'000};

  MemberTable(const MemberInfo& self, MemberMutation mutation);

  // Takes a record that was heard. A record about this entry itself that is
  // not alive, or from another life, is contradicted by a higher version.
  void Merge(const MemberRecord& heard, MonotonicTime now);

  // A member that answered no probe.
  void Suspect(const EntryId& id, MonotonicTime now);

  // Suspects whose time is over become dead; old dead records go.
  void Expire(MonotonicTime now);

  // Adds the length of a pause of this process to all running time limits.
  void ForgivePause(Milliseconds pause);

  void SetOwnConfig(ConfigVersion version);
  void SetOwnLeaving();

  [[nodiscard]] const MemberRecord& self() const { return self_; }
  // Rises with each change of a record or of who is known.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  // The record that others hold against the member at this address, if any:
  // it must hear of it to contradict.
  [[nodiscard]] const MemberRecord* FindAccused(
      const NetAddress& gossip_address) const;
  // Whether the member at this address lives and its record changed within
  // kNewcomerFor: it has started, or was cut off, and may lack what was told.
  [[nodiscard]] bool IsNewcomer(const NetAddress& gossip_address,
                                MonotonicTime now) const;
  // Null if unknown.
  [[nodiscard]] const MemberRecord* Find(const EntryId& id) const;
  // All but this entry, by id.
  [[nodiscard]] std::vector<MemberRecord> Others() const;
  [[nodiscard]] std::vector<EntryId> IdsInState(MemberState state) const;
  // Members not known to be dead, this entry included.
  [[nodiscard]] std::size_t LiveCount() const;

  // How long a suspect has to contradict: grows with the logarithm of the
  // number of members, as the time does that gossip takes to reach it.
  [[nodiscard]] Milliseconds SuspicionTimeout() const;

  // News sent fewer than `max_sends` times first, then a window that moves
  // over all records, so that every entry hears of all in bounded time.
  [[nodiscard]] std::vector<MemberRecord> TakeForDatagram(std::size_t budget,
                                                          int max_sends);

 private:
  struct Entry {
    MemberRecord record;
    MonotonicTime changed{};
    int sends = 0;
  };

  void MergeSelf(const MemberRecord& heard);
  void MakeRoom();

  MemberMutation mutation_;
  std::uint64_t revision_ = 0;
  MemberRecord self_;
  std::map<EntryId, Entry> others_;
  // Where the moving window goes on.
  EntryId cursor_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_MEMBERSHIP_MEMBER_TABLE_H_
