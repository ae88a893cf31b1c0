// Selects the instances that keep the record of a stream.
//
//   for (const MemberInfo& owner : StreamOwners(key, members, kStreamOwners))
//     SendRecord(owner);
//
// All instances select the same owners without coordination, by hashing the key
// with the members' ids. The first owners are in different availability zones
// as far as there are any, since the instances of a zone are lost together.
// Members differ in their view for a second or two after a change; a record is
// then found at the owners that both views name, or further down the order.
//
// Pure, and therefore thread-safe.

#ifndef CAROBSHIFT_GATEWAY_STREAMS_STREAM_OWNERS_H_
#define CAROBSHIFT_GATEWAY_STREAMS_STREAM_OWNERS_H_

#include <cstddef>
#include <vector>

#include "carobshift/gateway/streams/stream_beginning.h"
#include "carobshift/membership/member.h"

namespace carobshift {

// Number of owners of a stream. Besides them, the instance that began the
// stream keeps its record.
inline constexpr std::size_t kStreamOwners = 3;

// Returns up to `count` members in the order in which they own the stream.
[[nodiscard]] std::vector<MemberInfo> StreamOwners(
    StreamKey key,
    const std::vector<MemberInfo>& members,
    std::size_t count);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_STREAMS_STREAM_OWNERS_H_
