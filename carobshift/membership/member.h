// The values that entries exchange by gossip: member records, facts and the
// messages that carry both.
//
//   MemberRecord record{.info = self, .state = MemberState::kAlive};
//   if (Supersedes(received, known)) known = received;

#ifndef CAROBSHIFT_MEMBERSHIP_MEMBER_H_
#define CAROBSHIFT_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/units.h"

namespace carobshift {

// Version of a member's record, raised only by the member itself. It starts as
// the calendar clock in milliseconds and goes up with each refutation or
// change. A restarted member whose clock was set back raises it above the
// version that others still gossip for its earlier incarnation.
using MemberVersion = StrongType<struct MemberVersionTag, std::uint64_t>;

// What a member states about itself. Other members only forward it.
struct MemberInfo {
  EntryId id{};
  Incarnation incarnation{};
  MemberVersion version{};
  ZoneName zone{};
  std::string host{};
  std::uint16_t gossip_port = 0;
  std::uint16_t peer_port = 0;
  std::uint16_t http_port = 0;
  // True once the member has announced a planned shutdown.
  bool leaving = false;

  [[nodiscard]] NetAddress gossip_address() const {
    return {host, gossip_port};
  }
  [[nodiscard]] NetAddress peer_address() const { return {host, peer_port}; }
  [[nodiscard]] NetAddress http_address() const { return {host, http_port}; }
  friend bool operator==(const MemberInfo&, const MemberInfo&) = default;
};

// The state of a member as judged by others, in order of severity.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead };

struct MemberRecord {
  MemberInfo info;
  MemberState state = MemberState::kAlive;
  // The configuration version that the member applies; it only increases within
  // one incarnation.
  ConfigVersion config_version{};
  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

// Returns true if `received` replaces `known`, a record with the same id. The
// higher version wins, then the higher incarnation, then the more severe state.
[[nodiscard]] bool Supersedes(const MemberRecord& received,
                              const MemberRecord& known);

enum class FactKind : std::uint8_t {
  // The endpoint has announced its shutdown or is listed as leaving.
  kEndpointLeaving,
  // The lease holder keeps new work off the endpoint while it executes an
  // order.
  kEndpointDraining,
  // The content fingerprint of a request suspected of crashing engines.
  kSuspectedRequest,
};

// Orders the facts about one subject. The term is the fencing number of the
// lease for drains, and 0 for other facts.
struct FactVersion {
  std::uint64_t term = 0;
  std::uint64_t counter = 0;
  friend auto operator<=>(const FactVersion&, const FactVersion&) = default;
};

// A statement about one subject that holds until it expires or a later version
// withdraws it.
struct Fact {
  FactKind kind = FactKind::kEndpointLeaving;
  // An endpoint id or a fingerprint, at most kMaxFactSubject bytes.
  std::string subject;
  FactVersion version{};
  bool active = true;
  // Time until the fact expires. Relative, because the clocks of two processes
  // are not comparable.
  Milliseconds remaining{0};
  friend bool operator==(const Fact&, const Fact&) = default;
};

inline constexpr std::size_t kMaxFactSubject = 64;

enum class GossipKind : std::uint8_t {
  kPing,
  kAck,
  // Asks the receiver to ping `target` and forward the ack.
  kPingRequest,
  // Carries updates only; not answered.
  kUpdate,
  // Asks a sender whose incarnation is unverified to echo `number`.
  kChallenge,
  kChallengeReply,
};

struct GossipMessage {
  GossipKind kind = GossipKind::kPing;
  MemberInfo sender{};
  ConfigVersion sender_config{};
  // Increases with each datagram of one incarnation.
  std::uint64_t sequence = 0;
  // The gossip address that the message was sent to. A receiver with another
  // address rejects it.
  NetAddress to{};
  // Probe number or challenge nonce.
  std::uint64_t number = 0;
  // kPingRequest: the member to ping. kAck: the member that is alive.
  EntryId target{};
  std::vector<MemberRecord> members{};
  std::vector<Fact> facts{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_MEMBERSHIP_MEMBER_H_
