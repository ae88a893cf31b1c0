// Whom an instance asks for configuration and endpoints while the log doesn't
// answer it, and whether an instance that is going must stay to be asked.
//
//   const auto peers = PeersToAsk(members, self);
//   if (MustHandOn(members, self, log_silent)) ...  // don't end yet
//
// Load pattern: the log is silent while all instances are stopped and started
// in turn. Those that start know nothing. If they ask only those that stay, and
// nobody stays, they ask each other in a circle, and every caller is turned
// away until the log is back; one would notice refusals for want of a
// configuration from all instances at once. An instance that is leaving knows
// all for seconds more, so it is asked like the others, and the last one that
// knows does not end before it has told somebody who stays.

#ifndef CAROBSHIFT_GATEWAY_PEER_CHOICE_H_
#define CAROBSHIFT_GATEWAY_PEER_CHOICE_H_

#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/membership/member.h"

namespace carobshift {

// Those that live, leaving ones included, and have a configuration; all that
// live if none has, as news of it may be on its way. By id, without `self`.
[[nodiscard]] std::vector<MemberInfo> PeersToAsk(
    const std::vector<MemberRecord>& members,
    const EntryId& self);

// For an instance that is leaving. `log_silent`: whoever starts now can't read
// the log. True for one instance at most as far as all know the same members:
// if all stayed, none would start again to be told.
[[nodiscard]] bool MustHandOn(const std::vector<MemberRecord>& members,
                              const EntryId& self,
                              bool log_silent);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_PEER_CHOICE_H_
