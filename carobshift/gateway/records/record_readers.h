// Selects the instances that read the platform's records from the log, and the
// reader that each other instance queries for changes.
//
//   const std::vector<MemberInfo> readers = LogReaders(live);
//   if (readers.empty() || Contains(readers, self)) ReadLog();
//   else Query(ReaderOrderFor(self_info, readers).front());
//
// Load pattern: every endpoint writes its record about once a second, so a read
// of the log never waits. With a dozen instances, two reads a second each cost
// little. With ninety, the log serves some hundred calls a second that all
// return the same records; calls are billed, and the readers of a slow log
// delay each other. Beyond kMaxSelfReaders instances, one instance of each
// availability zone reads the log and the others of the zone query it, since
// traffic between zones is billed.
//
// All instances select the same readers without coordination, by hashing the
// members' ids. A reader that dies is replaced as soon as gossip reports it;
// until then its listeners query another reader or read the log themselves.

#ifndef CAROBSHIFT_GATEWAY_RECORDS_RECORD_READERS_H_
#define CAROBSHIFT_GATEWAY_RECORDS_RECORD_READERS_H_

#include <cstddef>
#include <vector>

#include "carobshift/membership/member.h"

namespace carobshift {

// Up to this many instances, each reads the log itself.
inline constexpr std::size_t kMaxSelfReaders = 12;
// Minimum number of readers, so that listeners have another one to fall back
// to.
inline constexpr std::size_t kMinReaders = 2;

// Returns the readers, ordered by rank; empty if every instance reads the log.
// `live` holds the live instances in any order.
[[nodiscard]] std::vector<MemberInfo> LogReaders(
    const std::vector<MemberInfo>& live);

// Returns the order in which `self` queries the readers: those of its own zone
// first, the others in an order specific to `self`, so that listeners do not
// all fall back to the same reader.
[[nodiscard]] std::vector<MemberInfo> ReaderOrderFor(
    const MemberInfo& self,
    std::vector<MemberInfo> readers);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_RECORDS_RECORD_READERS_H_
