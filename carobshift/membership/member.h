// What entries know of each other: the member record, the facts that travel
// with it and the messages that carry both.
//
//   MemberRecord record{.info = self, .state = MemberState::kAlive};
//   if (Supersedes(heard, known)) known = heard;

#ifndef CAROBSHIFT_MEMBERSHIP_MEMBER_H_
#define CAROBSHIFT_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/units.h"

namespace carobshift {

// Raised only by the member itself: at its start it is the calendar clock in
// milliseconds, and it goes up by one with each refutation or change. A
// restarted member whose clock was set back raises it above what it hears of
// its former life.
using MemberVersion = StrongType<struct MemberVersionTag, std::uint64_t>;

// Written by the member itself; others only pass it on.
struct MemberInfo {
  EntryId id{};
  Incarnation incarnation{};
  MemberVersion version{};
  ZoneName zone{};
  std::string host{};
  std::uint16_t gossip_port = 0;
  std::uint16_t peer_port = 0;
  std::uint16_t http_port = 0;
  // True once the member has announced its planned stop.
  bool leaving = false;

  [[nodiscard]] NetAddress gossip_address() const {
    return {host, gossip_port};
  }
  [[nodiscard]] NetAddress peer_address() const { return {host, peer_port}; }
  [[nodiscard]] NetAddress http_address() const { return {host, http_port}; }
  friend bool operator==(const MemberInfo&, const MemberInfo&) = default;
};

// The opinion of others, in rising severity.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead };

struct MemberRecord {
  MemberInfo info;
  MemberState state = MemberState::kAlive;
  // The configuration that the member has in force; only rises in one life.
  ConfigVersion config_version{};
  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

// True if `heard` replaces `known` of the same id: a higher version wins;
// within one version the more severe state does.
[[nodiscard]] bool Supersedes(const MemberRecord& heard,
                              const MemberRecord& known);

enum class FactKind : std::uint8_t {
  // An endpoint that announced that it stops, or is listed as leaving.
  kEndpointLeaving,
  // An endpoint that the lease holder keeps free of new work for an order.
  kEndpointDraining,
  // The content fingerprint of a request that coincides with crashes.
  kSuspectedRequest,
};

// Orders the statements about one subject. For drains the term is the
// fencing number of the lease, for other facts 0.
struct FactVersion {
  std::uint64_t term = 0;
  std::uint64_t counter = 0;
  friend auto operator<=>(const FactVersion&, const FactVersion&) = default;
};

// One statement about one subject, true until it expires or a later version
// withdraws it.
struct Fact {
  FactKind kind = FactKind::kEndpointLeaving;
  // An endpoint id or a fingerprint, at most kMaxFactSubject bytes.
  std::string subject;
  FactVersion version{};
  bool active = true;
  // Time that the statement still holds. Relative, because clocks of two
  // processes are not comparable.
  Milliseconds remaining{0};
  friend bool operator==(const Fact&, const Fact&) = default;
};

inline constexpr std::size_t kMaxFactSubject = 64;

enum class GossipKind : std::uint8_t {
  kPing,
  kAck,
  // Asks the receiver to ping `target` and to pass its answer on.
  kPingRequest,
  // Carries updates only; is not answered.
  kUpdate,
  // Asks a sender that the receiver has not verified to echo `number`.
  kChallenge,
  kChallengeReply,
};

struct GossipMessage {
  GossipKind kind = GossipKind::kPing;
  MemberInfo sender{};
  ConfigVersion sender_config{};
  // Rises with each datagram of one incarnation.
  std::uint64_t sequence = 0;
  // The gossip address it was sent to; a receiver with another one refuses it.
  NetAddress to{};
  // Probe number or challenge nonce.
  std::uint64_t number = 0;
  // For kPingRequest the member to ping; for kAck the member that is alive.
  EntryId target{};
  std::vector<MemberRecord> members{};
  std::vector<Fact> facts{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_MEMBERSHIP_MEMBER_H_
