// Which instances read the platform's records from the log, and whom the others
// ask for what has changed.
//
//   const std::vector<MemberInfo> readers = LogReaders(live);
//   if (readers.empty() || Contains(readers, self)) ReadLog();
//   else Ask(InOrderFor(self_info, readers).front());
//
// Load pattern: every endpoint writes its record about once a second, so a read
// of the log never waits. A dozen instances that each read twice a second cost
// little; with ninety the log serves some hundred calls a second that all bring
// the same, which is paid for by the call, and the readers of a slow log keep
// each other waiting. So beyond kMostReaders one instance of each availability
// zone reads, and those of its zone ask it, since bytes between zones cost.
//
// Without any talk all come to the same readers by hashing the members' ids. A
// reader that dies is replaced as soon as gossip tells; until then those that
// asked it ask another one, or read the log themselves.

#ifndef CAROBSHIFT_GATEWAY_RECORD_READERS_H_
#define CAROBSHIFT_GATEWAY_RECORD_READERS_H_

#include <cstddef>
#include <vector>

#include "carobshift/membership/member.h"

namespace carobshift {

// Up to as many instances each reads for itself.
inline constexpr std::size_t kMostReaders = 12;
// So that those that ask have another one to turn to.
inline constexpr std::size_t kLeastReaders = 2;

// By rank; empty if all read. `live`: the instances that live, in any order.
[[nodiscard]] std::vector<MemberInfo> LogReaders(
    const std::vector<MemberInfo>& live);

// The order in which `self` asks them: those of its zone first, and the others
// in an order of its own, so that not all turn to the same one.
[[nodiscard]] std::vector<MemberInfo> InOrderFor(
    const MemberInfo& self,
    std::vector<MemberInfo> readers);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_RECORD_READERS_H_
