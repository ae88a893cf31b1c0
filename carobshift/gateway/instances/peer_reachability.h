// PeerReachability knows which services each instance announced that it
// doesn't reach, and which instances to leave out of address answers for that.
//
//   PeerReachability peers;
//   peers.OnAnnouncement(announcement, now);
//   if (peers.Reaches(peer, service, now)) ...
//   if (peers.MayBeTold(peer, service, now)) ...
//
// Load pattern: all instances of a zone lose the paths to all endpoints for a
// few seconds, one after the other comes back, and loses them again. Address
// answers are cached by callers for seconds. An instance that was left out at
// once would empty the zone's answers on a false alarm of a few tenths of a
// second, and instances that were taken back at once and together would get
// all callers back just before the next loss. An instance is left out after
// kLeaveDelay of loss, and taken back kReturnDelay after its return plus a part
// of kReturnSpread that depends on its id. Reaches() follows the announcements
// at once.
//
// An announcement names all services that its sender doesn't reach; it is
// repeated while it is in force. One that isn't repeated for
// kAnnouncementLifetime has ended: its sender has stopped or can't be heard,
// and counts as reaching like an instance that announced nothing. An older
// announcement that arrives late is ignored.
//
// This instance's own announcements are recorded like those of the others.
//
// Thread-compatible. Holds one entry for each instance that announced a loss
// within the last seconds.

#ifndef CAROBSHIFT_GATEWAY_INSTANCES_PEER_REACHABILITY_H_
#define CAROBSHIFT_GATEWAY_INSTANCES_PEER_REACHABILITY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

// The services that an instance doesn't reach; empty if it reaches all.
struct ReachabilityAnnouncement {
  EntryId sender;
  Incarnation incarnation{};
  // Increases with each announcement of one incarnation.
  std::uint64_t sequence = 0;
  // Hashes of the services' names.
  std::vector<std::uint64_t> unreached;
};

// Returns the hash by which announcements name a service.
[[nodiscard]] std::uint64_t ServiceHash(const ServiceName& service);

class PeerReachability {
 public:
  static constexpr Milliseconds kAnnouncementLifetime{1000};
  static constexpr Milliseconds kLeaveDelay{300};
  static constexpr Milliseconds kReturnDelay{2000};
  static constexpr Milliseconds kReturnSpread{3000};

  void OnAnnouncement(const ReachabilityAnnouncement& announcement,
                      MonotonicTime now);
  // Drops what has ended; call about every 100 ms.
  void Expire(MonotonicTime now);

  [[nodiscard]] bool Reaches(const EntryId& peer,
                             const ServiceName& service,
                             MonotonicTime now) const;
  // Returns whether callers of the service may be told the peer's address.
  [[nodiscard]] bool MayBeTold(const EntryId& peer,
                               const ServiceName& service,
                               MonotonicTime now) const;

 private:
  struct Loss {
    MonotonicTime since;
    MonotonicTime last_heard;
  };
  struct Peer {
    Incarnation incarnation{};
    std::uint64_t sequence = 0;
    std::map<std::uint64_t, Loss> losses;
    // Until when the peer is left out of address answers after a loss.
    std::map<std::uint64_t, MonotonicTime> left_out_until;
    MonotonicTime last_heard{};
  };

  static void EndLoss(const EntryId& id,
                      Peer& peer,
                      std::uint64_t service,
                      MonotonicTime end);

  std::map<EntryId, Peer> peers_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_INSTANCES_PEER_REACHABILITY_H_
