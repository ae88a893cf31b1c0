// Chooses the peers that an instance asks for configuration and endpoints while
// the log is unreachable, and decides whether an instance that is leaving must
// delay its shutdown to serve them.
//
//   const auto peers = SelectSyncPeers(members, self);
//   if (MustDelayShutdown(members, self, log_unreachable)) DelayShutdown();
//
// Load pattern: the log is unreachable while all instances are restarted in
// turn. Instances that start have no configuration. If they asked only
// instances that stay, and none with a configuration stays, they would ask each
// other in a circle, and all instances would refuse every caller for want of a
// configuration until the log is back. An instance that is leaving has the
// configuration for some seconds more, so it is asked like the others. The last
// one with a configuration doesn't shut down before an instance that stays has
// it.

#ifndef CAROBSHIFT_GATEWAY_INSTANCES_PEER_CHOICE_H_
#define CAROBSHIFT_GATEWAY_INSTANCES_PEER_CHOICE_H_

#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/membership/member.h"

namespace carobshift {

// Returns the live members with a configuration, leaving ones included; all
// live members if none has one, as gossip about it may be on its way. Sorted by
// id, without `self`.
[[nodiscard]] std::vector<MemberInfo> SelectSyncPeers(
    const std::vector<MemberRecord>& members,
    const EntryId& self);

// Returns whether an instance that is leaving must delay its shutdown.
// `log_unreachable`: instances that start now can't read the log. True for at
// most one instance as long as all know the same members: if all delayed their
// shutdown, none would restart and fetch the configuration.
[[nodiscard]] bool MustDelayShutdown(const std::vector<MemberRecord>& members,
                                     const EntryId& self,
                                     bool log_unreachable);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_INSTANCES_PEER_CHOICE_H_
